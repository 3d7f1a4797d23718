//! Request bodies: buffered, or streamed from the caller to the server.

use std::cell;
use std::pin;
use std::rc;
use std::task;

use actix_web::web;
use futures_util::Stream as _;
use hyper::body;

use crate::edge::reservation;
use crate::memory::account;

/// The body of a request to a server.
pub enum RequestBody {
    /// A body in memory; `None` once it was sent, or for an empty one.
    Buffered(Option<bytes::Bytes>),
    /// A body that is streamed from the caller.
    Streaming {
        /// The part that was already read.
        head: Option<bytes::Bytes>,
        /// The part that the caller has yet to send.
        rest: LimitedPayload,
    },
}

impl RequestBody {
    /// Creates a buffered body.
    #[must_use]
    pub const fn new(bytes: bytes::Bytes) -> Self {
        Self::Buffered(Some(bytes))
    }

    /// Creates an empty body.
    #[must_use]
    pub const fn with_nothing() -> Self {
        Self::Buffered(None)
    }
}

type FramePoll =
    task::Poll<Option<Result<body::Frame<bytes::Bytes>, actix_web::error::PayloadError>>>;

impl body::Body for RequestBody {
    type Data = bytes::Bytes;
    type Error = actix_web::error::PayloadError;

    fn poll_frame(self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> FramePoll {
        match self.get_mut() {
            Self::Buffered(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                task::Poll::Ready(frame.map(|bytes| Ok(body::Frame::data(bytes))))
            }
            Self::Streaming { head, rest } => {
                if let Some(bytes) = head.take() {
                    return task::Poll::Ready(Some(Ok(body::Frame::data(bytes))));
                }
                rest.poll_chunk(context)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.as_ref().is_none_or(bytes::Bytes::is_empty))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Buffered(bytes) => {
                let length = bytes.as_ref().map_or(0, bytes::Bytes::len);
                body::SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Streaming { .. } => body::SizeHint::default(),
        }
    }
}

/// The part of a body that a caller has yet to send, up to a size limit.
pub struct LimitedPayload {
    payload: web::Payload,
    reservation: rc::Rc<reservation::Reservation>,
    // How many bytes the caller may still send.
    remaining: u64,
    exceeded: rc::Rc<cell::Cell<bool>>,
}

impl LimitedPayload {
    // The remainder of a body, which notes its progress in the request's reservation.
    pub(crate) fn new(
        payload: web::Payload,
        reservation: rc::Rc<reservation::Reservation>,
    ) -> Self {
        Self {
            payload,
            reservation,
            remaining: 0,
            exceeded: rc::Rc::default(),
        }
    }

    fn poll_chunk(&mut self, context: &mut task::Context<'_>) -> FramePoll {
        let polled = pin::Pin::new(&mut self.payload).poll_next(context);
        match &polled {
            task::Poll::Ready(Some(_)) => {
                self.reservation
                    .note_progress(account::TransferPhase::Streaming);
            }
            task::Poll::Ready(None) => self.reservation.finish_body(),
            task::Poll::Pending => {}
        }
        polled.map(|next| next.map(|chunk| self.count(chunk?).map(body::Frame::data)))
    }

    // Counts a chunk; a body that exceeds the limit ends with an error.
    fn count(
        &mut self,
        chunk: bytes::Bytes,
    ) -> Result<bytes::Bytes, actix_web::error::PayloadError> {
        let size = byte_count(&chunk);
        if size > self.remaining {
            self.exceeded.set(true);
            return Err(actix_web::error::PayloadError::Overflow);
        }
        self.remaining -= size;
        Ok(chunk)
    }
}

pub(crate) fn byte_count(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

/// A caller's body: buffered, or with a remainder that is still to be received.
pub(crate) struct CallerBody {
    head: bytes::Bytes,
    rest: Option<LimitedPayload>,
    is_consumed: bool,
    exceeded: rc::Rc<cell::Cell<bool>>,
}

impl CallerBody {
    // A body that was received whole.
    pub(crate) fn new(head: bytes::Bytes) -> Self {
        Self {
            head,
            rest: None,
            is_consumed: false,
            exceeded: rc::Rc::default(),
        }
    }

    // A body of which `head` was received, and which may have `limit` bytes in all.
    pub(crate) fn with_rest(head: bytes::Bytes, rest: LimitedPayload, limit: u64) -> Self {
        let mut rest = rest;
        rest.remaining = limit.saturating_sub(byte_count(&head));
        let mut body = Self::new(head);
        rest.exceeded = rc::Rc::clone(&body.exceeded);
        body.rest = Some(rest);
        body
    }

    // Whether the body exceeded its limit while it was streamed.
    pub(crate) fn is_too_long(&self) -> bool {
        self.exceeded.get()
    }

    pub(crate) fn size(&self) -> u64 {
        byte_count(&self.head)
    }

    pub(crate) fn take(&mut self) -> RequestBody {
        match self.rest.take() {
            Some(rest) => {
                self.is_consumed = true;
                let head = Some(std::mem::take(&mut self.head));
                RequestBody::Streaming { head, rest }
            }
            None => RequestBody::new(self.head.clone()),
        }
    }

    // A streamed body cannot be sent a second time.
    pub(crate) const fn is_replayable(&self) -> bool {
        !self.is_consumed
    }
}
