//! The socket below an HTTP connection of a stand-in, for faults that HTTP cannot express.

use std::any;
use std::io;
use std::io::Write as _;
use std::net;
use std::os::fd::AsFd as _;
use std::sync;

use actix_web::dev;

/// A handle on the socket of one accepted connection.
#[derive(Clone, Debug)]
pub struct ConnectionSocket {
    socket: sync::Arc<net::TcpStream>,
    // The last response that was kept, as it was sent.
    last_response: sync::Arc<sync::Mutex<Option<String>>>,
}

impl ConnectionSocket {
    /// Takes a handle on an accepted connection; `None` where it is no TCP connection.
    #[must_use]
    pub fn with_io(io: &dyn any::Any) -> Option<Self> {
        let stream = io.downcast_ref::<tokio::net::TcpStream>()?;
        let socket = stream.as_fd().try_clone_to_owned().ok()?;
        Some(Self {
            socket: sync::Arc::new(net::TcpStream::from(socket)),
            last_response: sync::Arc::default(),
        })
    }

    /// Stores a handle with the connection, where handlers find it.
    pub fn attach(io: &dyn any::Any, extensions: &mut dev::Extensions) {
        if let Some(socket) = Self::with_io(io) {
            extensions.insert(socket);
        }
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        // The peer may have closed it already.
        let _ = self.socket.shutdown(net::Shutdown::Both);
    }

    /// Keeps a response, so that it can be sent once more.
    pub fn keep_response(&self, response: String) {
        *self.last() = Some(response);
    }

    /// Sends the response that was kept once more, if there is one.
    ///
    /// # Errors
    /// Fails when the connection is closed.
    pub fn repeat_response(&self) -> io::Result<()> {
        let response = self.last().take().unwrap_or_default();
        (&*self.socket).write_all(response.as_bytes())
    }

    fn last(&self) -> sync::MutexGuard<'_, Option<String>> {
        let last = self.last_response.lock();
        last.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
