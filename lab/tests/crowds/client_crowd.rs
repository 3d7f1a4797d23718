//! Clients that send bodies without an end, or read a response a byte at a time, all at once on connections of
//! their own.

use std::cell;
use std::net;
use std::rc;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use zinnia_lab::http;

use crate::fronts;

/// The number of clients in a crowd.
const CLIENTS: usize = 400;
/// Each client whose number is divisible by this sends its whole body.
const WHOLE_EVERY: usize = 10;
/// The size of a body that is streamed, in bytes.
const LARGE_BYTES: usize = 2_500_000;
/// What a client sends of a body over the limit, in bytes.
const EXCESS_BYTES: usize = 4_000_000;
/// The length that such a body is announced with, in bytes.
const ANNOUNCED_BYTES: usize = 1_000_000_000;
/// The size of a body that is sent in chunks of one byte. The library of the test build, which is not
/// optimized, takes several seconds to decode a crowd of these.
const BYTEWISE_BYTES: usize = 40_000;
/// The size of a piece of a body that is sent in pieces, in bytes.
const PIECE_BYTES: usize = 10_000;
/// The size of a response, in bytes.
const RESPONSE_BYTES: usize = 1_000_000;
/// The pause between two bytes that a slow reader takes, in milliseconds.
const READ_PAUSE_MS: u64 = 100;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrowdKind {
    /// Sends a body in one chunk.
    LargeChunk,
    /// Sends a body in chunks of one byte.
    ByteChunks,
    /// Sends a body with its length at once.
    WholeBody,
    /// Sends a body with its length in pieces.
    PiecewiseBody,
    /// Announces a body far over the limit.
    AnnouncedExcess,
    /// Sends a body far over the limit without announcing it.
    SentExcess,
    /// Reads a large response a byte at a time.
    SlowReader,
}

/// The bytes that each client sends after the head of its request.
#[derive(Clone)]
struct CrowdBody {
    headers: String,
    bytes: sync::Arc<[u8]>,
    // Those that leave out the end send this many bytes.
    short: usize,
    piece: usize,
}

impl CrowdBody {
    fn new(kind: CrowdKind, buffered: usize) -> Self {
        let chunked = "transfer-encoding: chunked\r\n".to_owned();
        let length = |bytes: usize| format!("content-length: {bytes}\r\n");
        let (headers, bytes, cut) = match kind {
            CrowdKind::LargeChunk => (chunked, chunks(1, buffered), 6),
            CrowdKind::ByteChunks => (chunked, chunks(BYTEWISE_BYTES, 1), 5),
            CrowdKind::WholeBody | CrowdKind::PiecewiseBody => {
                (length(LARGE_BYTES), vec![b'x'; LARGE_BYTES], 1)
            }
            CrowdKind::AnnouncedExcess => (length(ANNOUNCED_BYTES), vec![b'x'; EXCESS_BYTES], 0),
            CrowdKind::SentExcess => (chunked, chunks(EXCESS_BYTES / 50_000, 50_000), 5),
            CrowdKind::SlowReader => {
                let header = http::RESPONSE_BYTES_HEADER;
                let asked = format!("{header}: {RESPONSE_BYTES}\r\n");
                (asked + &length(0), Vec::new(), 0)
            }
        };
        let piece = if kind == CrowdKind::PiecewiseBody {
            PIECE_BYTES
        } else {
            bytes.len().max(1)
        };
        Self {
            headers,
            short: bytes.len() - cut,
            bytes: bytes.into(),
            piece,
        }
    }
}

// A chunked body with its end.
fn chunks(count: usize, size: usize) -> Vec<u8> {
    let mut wire = Vec::new();
    for _ in 0..count {
        wire.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        wire.extend(std::iter::repeat_n(b'x', size));
        wire.extend_from_slice(b"\r\n");
    }
    wire.extend_from_slice(b"0\r\n\r\n");
    wire
}

/// A crowd whose clients keep their connections open until it is dropped.
pub(crate) struct ClientCrowd {
    clients: Vec<tokio::task::JoinHandle<()>>,
    settled: rc::Rc<cell::Cell<usize>>,
}

impl ClientCrowd {
    pub(crate) fn start(front: &fronts::FrontProcess, kind: CrowdKind) -> Self {
        let settled = rc::Rc::new(cell::Cell::new(0));
        let body = CrowdBody::new(kind, front.buffered);
        let clients = (0..CLIENTS).map(|number| {
            let head = front.head(&format!("c{number}"), &body.headers);
            let client = run_client(front.address, head, body.clone(), kind, number);
            let settled = rc::Rc::clone(&settled);
            actix::spawn(async move {
                let stream = client.await;
                settled.set(settled.get() + 1);
                if let Some(stream) = stream {
                    hold(stream, kind).await;
                }
            })
        });
        Self {
            clients: clients.collect(),
            settled,
        }
    }

    /// Reports whether each client has sent what it sends.
    pub(crate) fn is_settled(&self) -> bool {
        self.settled.get() == self.clients.len()
    }

    /// Returns how many clients have sent what they send.
    pub(crate) fn settled(&self) -> usize {
        self.settled.get()
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

// Sends a request; returns its connection unless the process closed it.
async fn run_client(
    address: net::SocketAddr,
    head: String,
    body: CrowdBody,
    kind: CrowdKind,
    number: usize,
) -> Option<tokio::net::TcpStream> {
    let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
    stream.write_all(head.as_bytes()).await.ok()?;
    let end = if number.is_multiple_of(WHOLE_EVERY) {
        body.bytes.len()
    } else {
        body.short
    };
    for piece in body.bytes[..end].chunks(body.piece) {
        stream.write_all(piece).await.ok()?;
        if kind == CrowdKind::PiecewiseBody {
            tokio::task::yield_now().await;
        }
    }
    Some(stream)
}

// Keeps a connection open. A slow reader takes a byte at a time, the others read nothing.
async fn hold(stream: tokio::net::TcpStream, kind: CrowdKind) {
    let mut stream = stream;
    if kind == CrowdKind::SlowReader {
        while let Ok(1) = stream.read(&mut [0]).await {
            tokio::time::sleep(time::Duration::from_millis(READ_PAUSE_MS)).await;
        }
    }
    std::future::pending::<()>().await;
}
