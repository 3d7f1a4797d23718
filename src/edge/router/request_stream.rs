//! The connection to a server as hyper uses it, which passes the end of the server's bytes on only once it is
//! known that no reset follows.
//!
//! hyper takes the end of the connection for the end of a response without a length, also while it is still
//! writing the request. A server that has ended its direction and then resets the connection, or whose
//! process ends, would so turn a part of a response into a complete one. The stream therefore waits at
//! the end of the server's bytes until the request has been written and acknowledged; a reset meanwhile
//! is an error.

use std::cell;
use std::io;
use std::net;
use std::pin;
use std::rc;
use std::task;
use std::time;

use hyper::body;

use crate::edge::router::body as request_body;
use crate::final_response;

/// How often the stream checks whether the server has acknowledged the request, in milliseconds.
pub const ACKNOWLEDGED_POLL_MS: u64 = 2;
/// How long it waits for that, in milliseconds; after it the connection counts as broken.
pub const ACKNOWLEDGED_TIMEOUT_MS: u64 = 1_000;

/// The state of a connection's request, shared by the stream and the request's body.
#[derive(Clone, Default)]
pub struct RequestState(rc::Rc<StateCells>);

#[derive(Default)]
struct StateCells {
    progress: cell::Cell<final_response::RequestProgress>,
    // Whether nothing of the request is left to be passed to hyper.
    body_ended: cell::Cell<bool>,
    // Wakes the reader, which waits for the request to be written.
    reader: cell::Cell<Option<task::Waker>>,
}

impl RequestState {
    /// Creates the state of a connection without a request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a request, and returns its body as it is to be sent on the connection.
    #[must_use]
    pub fn begin(&self, body: request_body::RequestBody) -> TrackedBody {
        let progress = final_response::RequestProgress::Unsent;
        self.0.progress.set(progress);
        self.0.body_ended.set(false);
        TrackedBody {
            body,
            _end: BodyEnd(self.clone()),
        }
    }

    /// Ends a request whose response was read whole. An end of the server's bytes then closes an idle
    /// connection at once, so that no further request is sent on it.
    pub fn end(&self) {
        let progress = final_response::RequestProgress::Unsent;
        self.0.progress.set(progress);
    }

    fn note_written(&self) {
        let progress = final_response::RequestProgress::Writing;
        self.0.progress.set(progress);
    }

    // Wakes the reader, which hyper polls together with the writer.
    fn wake_reader(&self) {
        if let Some(reader) = self.0.reader.take() {
            reader.wake();
        }
    }

    // hyper has passed on all that it had.
    fn note_flushed(&self) {
        let is_written = self.0.progress.get() == final_response::RequestProgress::Writing
            && self.0.body_ended.get();
        if is_written {
            let progress = final_response::RequestProgress::Written;
            self.0.progress.set(progress);
            self.wake_reader();
        }
    }
}

// Notes the end of a request's body when hyper drops it.
struct BodyEnd(RequestState);

impl Drop for BodyEnd {
    fn drop(&mut self) {
        self.0.0.body_ended.set(true);
        self.0.wake_reader();
    }
}

/// The body of a request whose end is noted.
pub struct TrackedBody {
    body: request_body::RequestBody,
    _end: BodyEnd,
}

impl TrackedBody {
    /// Returns the body of a request that was not sent.
    #[must_use]
    pub fn into_inner(self) -> request_body::RequestBody {
        self.body
    }
}

impl body::Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = actix_web::error::PayloadError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Self::Data>, Self::Error>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// A connection to a server.
pub struct RequestStream {
    stream: tokio::net::TcpStream,
    state: RequestState,
    // The wait for the server's acknowledgement, and when it ends.
    acknowledgement: Option<(pin::Pin<Box<tokio::time::Sleep>>, tokio::time::Instant)>,
}

impl RequestStream {
    /// Creates the stream of a connection.
    #[must_use]
    pub const fn new(stream: tokio::net::TcpStream, state: RequestState) -> Self {
        Self {
            stream,
            state,
            acknowledgement: None,
        }
    }

    fn poll_end(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        match self.state.0.progress.get().end_of_input() {
            final_response::EndOfInput::Take => task::Poll::Ready(Ok(())),
            final_response::EndOfInput::AwaitRequest => {
                self.state.0.reader.set(Some(context.waker().clone()));
                task::Poll::Pending
            }
            final_response::EndOfInput::AwaitAcknowledgement => self.poll_acknowledged(context),
        }
    }

    // Once both directions have ended, the system has no peer for the connection any more as soon as all data
    // were acknowledged, or after a reset, which is an error of the socket.
    fn poll_acknowledged(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let interval = time::Duration::from_millis(ACKNOWLEDGED_POLL_MS);
        loop {
            let stream = &self.stream;
            if self.acknowledgement.is_none() {
                // Fails where the connection was reset, which the check below notices.
                let _ = socket2::SockRef::from(stream).shutdown(net::Shutdown::Write);
            }
            if let Some(error) = stream.take_error()? {
                return task::Poll::Ready(Err(error));
            }
            if stream.peer_addr().is_err() {
                return task::Poll::Ready(Ok(()));
            }
            let now = tokio::time::Instant::now();
            let timeout = time::Duration::from_millis(ACKNOWLEDGED_TIMEOUT_MS);
            let (sleep, end) = self
                .acknowledgement
                .get_or_insert_with(|| (Box::pin(tokio::time::sleep(interval)), now + timeout));
            if now >= *end {
                return task::Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)));
            }
            std::task::ready!(sleep.as_mut().poll(context));
            sleep.as_mut().reset(now + interval);
        }
    }
}

impl tokio::io::AsyncRead for RequestStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let (filled, room) = (buffer.filled().len(), buffer.remaining());
        std::task::ready!(pin::Pin::new(&mut this.stream).poll_read(context, buffer))?;
        if room == 0 || buffer.filled().len() > filled {
            return task::Poll::Ready(Ok(()));
        }
        this.poll_end(context)
    }
}

impl tokio::io::AsyncWrite for RequestStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.state.note_written();
        pin::Pin::new(&mut this.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.state.note_written();
        pin::Pin::new(&mut this.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        this.state.note_flushed();
        pin::Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
