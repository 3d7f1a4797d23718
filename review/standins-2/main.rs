//! Runs a case of the second review: `cases-2 NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. Without the disruption where `TROUBLE` is 0.

mod http;
mod machines;
mod memory_cases;
mod ordinary;
mod record;
mod site;
mod stop_case;
mod store;
mod worker;

use std::env;
use std::io;
use std::path;
use std::process;

fn run(name: &str, record: &record::Record, trouble: bool) -> io::Result<bool> {
    match name {
        "idle-after-upload" => memory_cases::idle_after_upload(record, trouble),
        "pipelined-requests" => memory_cases::pipelined_requests(record, trouble),
        "slow-readers" => memory_cases::slow_readers(record, trouble),
        "slow-reader-at-stop" => stop_case::slow_reader_at_stop(record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}

fn main() -> process::ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: cases-2 NAME RECORD");
        return process::ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(path::Path::new(path));
    let broken = record.and_then(|record| run(name, &record, trouble));
    match broken {
        Ok(true) => process::ExitCode::from(1),
        Ok(false) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            process::ExitCode::from(2)
        }
    }
}
