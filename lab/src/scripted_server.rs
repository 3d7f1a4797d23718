//! A stand-in for a server that reads and writes bytes as a script says, for responses that no HTTP
//! library sends.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::time;

use crate::http;

/// The header with a request's id, by which scripts and records tell requests apart.
const ID_HEADERS: [&str; 2] = ["x-request-id: ", "zinnia-request-id: "];
/// What a script's text has in place of the request's id.
pub const ID_MARK: &str = "{id}";

/// One step of a script, which runs once the head of a request was read.
#[derive(Clone, Debug)]
pub enum ServerStep {
    /// Sends a text, with the request's id in place of [`ID_MARK`].
    Send(String),
    /// Reads this many bytes of the body, or what there is of it.
    Read(usize),
    /// Reads the body to the length that the head states.
    ReadBody,
    /// Waits.
    Pause(time::Duration),
    /// Ends its direction of the connection and goes on.
    ShutDown,
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    Close,
}

/// A running stand-in.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: net::SocketAddr,
    received: http::Shared<Vec<String>>,
}

struct RequestHead {
    id: String,
    body_bytes: usize,
}

impl ScriptedServer {
    /// Starts a server that runs `script` for each request.
    #[must_use]
    pub fn start(script: Vec<ServerStep>) -> Self {
        Self::with_scripts(vec![script])
    }

    /// Starts a server that runs the first script for the first request, and so on; the last one for all
    /// others.
    ///
    /// # Panics
    /// Panics when no port is free.
    #[must_use]
    pub fn with_scripts(scripts: Vec<Vec<ServerStep>>) -> Self {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0));
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let received = http::shared(Vec::new());
        let ids = sync::Arc::clone(&received);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (scripts, ids) = (scripts.clone(), sync::Arc::clone(&ids));
                // A connection that the host cuts ends its thread.
                std::thread::spawn(move || serve(stream, &scripts, &ids).is_ok());
            }
        });
        Self { address, received }
    }

    /// Returns the ids of the requests whose heads were read, in order.
    #[must_use]
    pub fn received(&self) -> Vec<String> {
        http::lock(&self.received).clone()
    }
}

fn serve(
    stream: net::TcpStream,
    scripts: &[Vec<ServerStep>],
    ids: &http::Shared<Vec<String>>,
) -> io::Result<()> {
    let mut stream = stream;
    while let Some(head) = read_head(&mut stream)? {
        let number = {
            let mut ids = http::lock(ids);
            ids.push(head.id.clone());
            ids.len() - 1
        };
        let mut unread = head.body_bytes;
        for step in &scripts[number.min(scripts.len() - 1)] {
            match step {
                ServerStep::Send(text) => {
                    stream.write_all(text.replace(ID_MARK, &head.id).as_bytes())?;
                }
                ServerStep::Read(count) => unread -= skip(&mut stream, unread.min(*count))?,
                ServerStep::ReadBody => unread -= skip(&mut stream, unread)?,
                ServerStep::Pause(pause) => std::thread::sleep(*pause),
                ServerStep::ShutDown => stream.shutdown(net::Shutdown::Write)?,
                ServerStep::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    return socket.set_linger(Some(time::Duration::ZERO));
                }
                ServerStep::Close => return Ok(()),
            }
        }
        skip(&mut stream, unread)?;
    }
    Ok(())
}

// Reads the head of a request; `None` where the connection ends first.
fn read_head(stream: &mut net::TcpStream) -> io::Result<Option<RequestHead>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let value = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let id = ID_HEADERS.into_iter().find_map(value).unwrap_or_default();
    let length = value("content-length: ").and_then(|length| length.parse().ok());
    Ok(Some(RequestHead {
        id: id.to_owned(),
        body_bytes: length.unwrap_or(0),
    }))
}

fn skip(stream: &mut net::TcpStream, count: usize) -> io::Result<usize> {
    let limit = u64::try_from(count).unwrap_or(u64::MAX);
    let read = io::copy(&mut stream.take(limit), &mut io::sink())?;
    Ok(usize::try_from(read).unwrap_or(count))
}
