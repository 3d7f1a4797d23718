//! The listener for a host's callers, and how it stops without cutting off a connection that was
//! accepted.
//!
//! When a server is stopped, its library drops connections that are on their way to its threads, and
//! the kernel resets those in the listener's queue once the listener is closed. So the server first
//! stops accepting, and while it completes what it has, further connections are accepted here and get
//! a refusal.

use std::cell;
use std::io;
use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// How long connections that the server has accepted take to reach its threads, in milliseconds.
pub const ACCEPTED_SETTLING_MS: u64 = 100;
/// How long a refused caller may take to send the head of its request and to read the refusal, in
/// milliseconds.
pub const REFUSAL_TIMEOUT_MS: u64 = 500;
/// The most bytes of a refused request that are kept.
pub const MAX_REFUSED_BYTES: usize = 16 * 1_024;

/// Makes the response to a request that is refused, from the head of the request.
pub type RefusalText = fn(&str) -> String;

/// A listener for callers, and the server that accepts connections from it.
pub struct CallerListener {
    // Shares its queue of connections with the server's; `None` once the host has stopped.
    listener: cell::Cell<Option<net::TcpListener>>,
    server: actix_web::dev::ServerHandle,
}

/// Opens a listener whose queue holds up to `backlog` connections.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub fn bind(address: net::SocketAddr, backlog: u32) -> io::Result<net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}

/// Returns the value of a header in the head of a request.
#[must_use]
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut named = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.trim())
}

/// Makes the response to a refused request, which closes its connection.
#[must_use]
pub fn refusal_text(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let lines = lines.collect::<String>();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Refused\r\nconnection: close\r\ncontent-length: {length}\r\n{lines}\r\n{body}"
    )
}

impl CallerListener {
    /// Creates the listener of a server that accepts connections from a clone of `listener`.
    #[must_use]
    pub const fn new(listener: net::TcpListener, server: actix_web::dev::ServerHandle) -> Self {
        Self {
            listener: cell::Cell::new(Some(listener)),
            server,
        }
    }

    /// Stops the server, and waits until its connections have ended, or until `limit`. Requests on
    /// connections that are made meanwhile are refused.
    ///
    /// # Errors
    /// Fails when connections cannot be accepted; the server has stopped all the same.
    pub async fn stop(
        &self,
        refusal: RefusalText,
        limit: impl Future<Output = ()>,
    ) -> io::Result<()> {
        self.server.pause().await;
        let ended = async {
            tokio::time::sleep(time::Duration::from_millis(ACCEPTED_SETTLING_MS)).await;
            tokio::select! {
                () = self.server.stop(true) => {}
                () = limit => {}
            }
        };
        let listener = self.listener.take();
        let listener = listener.map(tokio::net::TcpListener::from_std);
        match listener.transpose() {
            Ok(Some(listener)) => refuse_until(listener, refusal, ended).await,
            Ok(None) => {
                ended.await;
                Ok(())
            }
            Err(error) => {
                ended.await;
                Err(error)
            }
        }
    }
}

// Refuses the requests of new connections until `ended`, then those that the listener's queue has.
async fn refuse_until(
    listener: tokio::net::TcpListener,
    refusal: RefusalText,
    ended: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut ended = std::pin::pin!(ended);
    let mut refusals = Vec::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    refusals.push(actix::spawn(refuse(stream, refusal)));
                }
            }
            () = &mut ended => break,
        }
    }
    let listener = listener.into_std()?;
    while let Some(stream) = accept_queued(&listener)? {
        refusals.push(actix::spawn(refuse(stream, refusal)));
    }
    drop(listener);
    futures_util::future::join_all(refusals).await;
    Ok(())
}

// Returns the next connection in the queue, if there is one.
fn accept_queued(listener: &net::TcpListener) -> io::Result<Option<tokio::net::TcpStream>> {
    match listener.accept() {
        Ok((stream, _)) => {
            stream.set_nonblocking(true)?;
            tokio::net::TcpStream::from_std(stream).map(Some)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

// Refuses the request of a connection, unless its caller sends none or leaves.
async fn refuse(stream: tokio::net::TcpStream, refusal: RefusalText) {
    let limit = time::Duration::from_millis(REFUSAL_TIMEOUT_MS);
    let mut stream = stream;
    let head = tokio::time::timeout(limit, read_head(&mut stream)).await;
    let Ok(Ok(head)) = head else {
        return;
    };
    // Bytes that are left unread when the connection is closed would reset it, and the caller would
    // lose the refusal.
    let answered = async {
        stream.write_all(refusal(&head).as_bytes()).await?;
        stream.shutdown().await?;
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    if let Ok(Err(error)) = tokio::time::timeout(limit, answered).await {
        tracing::debug!(event = "caller-not-refused", fault = %error);
    }
}

// Reads the head of a request, without its end where it is longer than `MAX_REFUSED_BYTES`.
async fn read_head(stream: &mut tokio::net::TcpStream) -> io::Result<String> {
    let mut received = Vec::new();
    loop {
        let mut chunk = [0; 1_024];
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        }
        received.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&received);
        let head = text.split_once("\r\n\r\n").map(|(head, _)| head);
        if let Some(head) = head {
            return Ok(head.to_owned());
        }
        if received.len() > MAX_REFUSED_BYTES {
            return Ok(text.into_owned());
        }
    }
}
