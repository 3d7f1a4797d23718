//! The record of a case: what was sent, answered and run.

use std::fs;
use std::io;
use std::io::Write as _;
use std::path;
use std::sync;
use std::time;

/// A record that threads share.
#[derive(Clone)]
pub struct Record {
    started: time::Instant,
    file: sync::Arc<sync::Mutex<io::BufWriter<fs::File>>>,
}

impl Record {
    /// Creates the record file of a case.
    pub fn create(path: &path::Path) -> io::Result<Self> {
        let file = io::BufWriter::new(fs::File::create(path)?);
        Ok(Self {
            started: time::Instant::now(),
            file: sync::Arc::new(sync::Mutex::new(file)),
        })
    }

    /// Returns the milliseconds since the case began.
    pub fn millis(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let at = self.millis();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written is found empty.
        let _ = writeln!(file, "{at:>7} ms  {text}");
        let _ = file.flush();
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
