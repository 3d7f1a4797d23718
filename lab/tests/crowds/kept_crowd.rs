//! Clients whose connections hold memory beside a request that is being served: behind it, while it is
//! answered, or once it was.

use std::cell;
use std::io;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use zinnia_lab::http;

use crate::fronts;

/// The number of clients that keep connections after an upload, or send requests ahead.
const CLIENTS: usize = 220;
/// The size of an upload, in bytes.
const UPLOAD_BYTES: usize = 240_000;
/// The number of requests that a client sends ahead.
const PIPELINED_REQUESTS: usize = 24;
/// The size of a header of each such request, in bytes.
const HEADER_BYTES: usize = 3_000;
/// How long a client takes to send such requests, where the process does not read them.
const SEND_TIME: time::Duration = time::Duration::from_millis(20);
/// The number of clients that pause before they read.
const READERS: usize = 60;
/// The size of a response that they ask for, in bytes.
const RESPONSE_BYTES: usize = 8 << 20;
/// How long they pause.
const READ_PAUSE: time::Duration = time::Duration::from_secs(3);
/// How long a client waits for a response before it does without.
const RESPONSE_TIME: time::Duration = time::Duration::from_secs(2);
/// The connections on which nothing is sent: more than a process takes.
const IDLE_CONNECTIONS: usize = 300;
/// The requests that are sent then, each on a connection of its own.
const LATE_REQUESTS: usize = 60;
/// How long a request that was refused has to reach a server all the same.
const RUN_TIME: time::Duration = time::Duration::from_secs(1);

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeptKind {
    /// Sends an upload, reads the response and keeps the connection.
    IdleAfterUpload,
    /// Sends further requests before the first of them was answered.
    Pipelining,
    /// Asks for a large response and pauses before it reads.
    PausedReader,
}

/// A crowd whose clients keep their connections until it is dropped.
pub(crate) struct KeptCrowd {
    clients: tokio::task::JoinHandle<()>,
    is_settled: rc::Rc<cell::Cell<bool>>,
}

impl KeptCrowd {
    pub(crate) fn start(front: &fronts::FrontProcess, kind: KeptKind) -> Self {
        let is_settled = rc::Rc::new(cell::Cell::new(false));
        let settled = rc::Rc::clone(&is_settled);
        let front = front.clone();
        let clients = actix::spawn(async move {
            let kept = match kind {
                KeptKind::IdleAfterUpload => upload_in_turn(&front).await,
                KeptKind::Pipelining => pipeline_in_turn(&front).await,
                KeptKind::PausedReader => ask_at_once(&front).await,
            };
            println!("{kind:?}: {} connections kept", kept.len());
            settled.set(true);
            std::future::pending::<()>().await;
        });
        Self {
            clients,
            is_settled,
        }
    }

    /// Reports whether all clients have sent what they send.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled.get()
    }
}

impl Drop for KeptCrowd {
    fn drop(&mut self) {
        self.clients.abort();
    }
}

// One after the other, so that each is served. Returns the connections that are still open.
async fn upload_in_turn(front: &fronts::FrontProcess) -> Vec<tokio::net::TcpStream> {
    let body = vec![b'u'; UPLOAD_BYTES];
    let header = format!("content-length: {UPLOAD_BYTES}\r\n");
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let head = front.head(&format!("u{number}"), &header);
        kept.extend(exchange(front, head.as_bytes(), &body).await.ok());
    }
    kept
}

// Each client has been answered once before any of them sends requests ahead.
async fn pipeline_in_turn(front: &fronts::FrontProcess) -> Vec<tokio::net::TcpStream> {
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let head = front.head(&format!("f{number}"), "content-length: 0\r\n");
        kept.extend(exchange(front, head.as_bytes(), b"").await.ok());
    }
    let header = format!("cookie: {}\r\n", "c".repeat(HEADER_BYTES));
    let header = format!("{header}content-length: 0\r\n");
    for (number, stream) in kept.iter_mut().enumerate() {
        let heads = (0..PIPELINED_REQUESTS).map(|n| front.head(&format!("p{number}-{n}"), &header));
        let heads = heads.collect::<String>();
        // What the process does not read in time is not sent.
        let _ = tokio::time::timeout(SEND_TIME, stream.write_all(heads.as_bytes())).await;
    }
    kept
}

async fn ask_at_once(front: &fronts::FrontProcess) -> Vec<tokio::net::TcpStream> {
    let header = http::RESPONSE_BYTES_HEADER;
    let header = format!("{header}: {RESPONSE_BYTES}\r\ncontent-length: 0\r\n");
    let mut kept = Vec::new();
    for number in 0..READERS {
        let head = front.head(&format!("r{number}"), &header);
        let Ok(mut stream) = tokio::net::TcpStream::connect(front.address).await else {
            continue;
        };
        if stream.write_all(head.as_bytes()).await.is_ok() {
            kept.push(stream);
        }
    }
    tokio::time::sleep(READ_PAUSE).await;
    kept
}

// Sends a request on a new connection and reads the head of its response.
async fn exchange(
    front: &fronts::FrontProcess,
    head: &[u8],
    body: &[u8],
) -> io::Result<tokio::net::TcpStream> {
    let mut stream = tokio::net::TcpStream::connect(front.address).await?;
    stream.write_all(head).await?;
    stream.write_all(body).await?;
    let mut response = [0; 4_096];
    let read = tokio::time::timeout(RESPONSE_TIME, stream.read(&mut response)).await;
    match read {
        Ok(Ok(0)) => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        Ok(Err(error)) => Err(error),
        _ => Ok(stream),
    }
}

/// Takes up the connections of a process, and then sends requests on further ones. Returns the ids of those that
/// were refused.
pub(crate) async fn send_beyond_connections(front: &fronts::FrontProcess) -> Vec<String> {
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.extend(tokio::net::TcpStream::connect(front.address).await.ok());
    }
    let requests = (0..LATE_REQUESTS).map(|number| {
        let front = front.clone();
        actix::spawn(async move {
            let id = format!("l{number}");
            let is_refused = is_refused(&front, &id).await.unwrap_or(false);
            is_refused.then_some(id)
        })
    });
    let requests: Vec<_> = requests.collect();
    let ended = futures_util::future::join_all(requests).await;
    tokio::time::sleep(RUN_TIME).await;
    let refused = ended.into_iter().filter_map(Result::ok).flatten();
    refused.collect()
}

// Sends a request at once on a new connection; reports whether the response says that it did not run.
async fn is_refused(front: &fronts::FrontProcess, id: &str) -> io::Result<bool> {
    let mut stream = tokio::net::TcpStream::connect(front.address).await?;
    let head = front.head(id, "content-length: 0\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut response = vec![0; 4_096];
    let read = tokio::time::timeout(RESPONSE_TIME, stream.read(&mut response)).await;
    let count = read.map_err(io::Error::from)??;
    Ok(response[..count].starts_with(b"HTTP/1.1 503"))
}
