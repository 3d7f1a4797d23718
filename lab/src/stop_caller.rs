//! A caller that goes on sending requests to a host that stops, and counts those that are cut off.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Upper bound on one exchange. It only ends a hung test.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Which connections a caller sends its requests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A new connection for each request.
    New,
    /// The same connection, until the host announces that it closes it.
    Kept,
}

/// How the requests of a caller ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallTally {
    /// How many got a complete response.
    pub answered: usize,
    /// How many were sent on a connection that ended without one, with the reason.
    pub cut: Vec<String>,
}

/// How one exchange ended.
enum ExchangeEnd {
    Answered { closes: bool },
    Cut(String),
}

/// The number of callers of each kind.
pub const CALLERS: usize = 6;

/// Lets callers of both kinds send requests to a host until it has ended, while `stop` stops it.
/// `request` makes a request from a caller's name and a number.
pub async fn call_through_stop(
    host: net::SocketAddr,
    request: impl Fn(&str, usize) -> String,
    stop: impl Future<Output = ()>,
) -> CallTally {
    let request = &request;
    let callers = [ConnectionUse::New, ConnectionUse::Kept].map(|usage| {
        (0..CALLERS).map(move |caller| {
            let name = format!("{usage:?}-{caller}");
            call_until_refused(host, usage, move |number| request(&name, number))
        })
    });
    let callers = futures_util::future::join_all(callers.into_iter().flatten());
    let (tallies, ()) = futures_util::future::join(callers, stop).await;
    CallTally {
        answered: tallies.iter().map(|tally| tally.answered).sum(),
        cut: tallies.into_iter().flat_map(|tally| tally.cut).collect(),
    }
}

// Sends requests one after another until the host refuses connections.
async fn call_until_refused(
    host: net::SocketAddr,
    usage: ConnectionUse,
    request: impl Fn(usize) -> String,
) -> CallTally {
    let mut tally = CallTally::default();
    let mut number = 0;
    while let Ok(mut stream) = tokio::net::TcpStream::connect(host).await {
        loop {
            let sent = request(number);
            number += 1;
            let exchange = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(&mut stream, &sent));
            let end = exchange.await;
            match end.unwrap_or_else(|_| ExchangeEnd::Cut("no response in time".to_owned())) {
                ExchangeEnd::Answered { closes } => {
                    tally.answered += 1;
                    if closes || usage == ConnectionUse::New {
                        break;
                    }
                }
                ExchangeEnd::Cut(reason) => {
                    tally.cut.push(reason);
                    break;
                }
            }
        }
    }
    tally
}

async fn exchange(stream: &mut tokio::net::TcpStream, request: &str) -> ExchangeEnd {
    if let Err(error) = stream.write_all(request.as_bytes()).await {
        return ExchangeEnd::Cut(format!("sending: {error}"));
    }
    let mut received = Vec::new();
    loop {
        if let Some(closes) = read_complete(&received) {
            return ExchangeEnd::Answered { closes };
        }
        let mut chunk = [0; 4_096];
        match stream.read(&mut chunk).await {
            Ok(0) => return ExchangeEnd::Cut(format!("end after {} bytes", received.len())),
            Ok(count) => received.extend_from_slice(&chunk[..count]),
            Err(error) => {
                return ExchangeEnd::Cut(format!("{error} after {} bytes", received.len()));
            }
        }
    }
}

// Reports of a complete response whether it closes its connection.
fn read_complete(received: &[u8]) -> Option<bool> {
    let text = String::from_utf8_lossy(received).to_ascii_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let lengths = head.lines();
    let mut lengths = lengths.filter_map(|line| line.strip_prefix("content-length: "));
    let length: usize = lengths.next()?.trim().parse().ok()?;
    (body.len() >= length).then(|| head.contains("connection: close"))
}
