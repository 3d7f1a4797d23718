//! The body of a request to a server: held whole, or passed on as it comes.

use std::pin;
use std::task;

use actix_web::web;
use futures_util::Stream as _;
use hyper::body;

/// A body of a request.
pub enum RequestBody {
    /// All of it.
    Whole(Option<bytes::Bytes>),
    /// What was read already, and the rest as it comes.
    Passing {
        /// What was read.
        head: Option<bytes::Bytes>,
        /// The rest.
        rest: web::Payload,
    },
}

impl RequestBody {
    /// Creates a body that is held whole.
    #[must_use]
    pub const fn new(bytes: bytes::Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// Creates an empty body.
    #[must_use]
    pub const fn with_nothing() -> Self {
        Self::Whole(None)
    }
}

type FramePoll =
    task::Poll<Option<Result<body::Frame<bytes::Bytes>, actix_web::error::PayloadError>>>;

impl body::Body for RequestBody {
    type Data = bytes::Bytes;
    type Error = actix_web::error::PayloadError;

    fn poll_frame(self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> FramePoll {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                task::Poll::Ready(frame.map(|bytes| Ok(body::Frame::data(bytes))))
            }
            Self::Passing { head, rest } => {
                if let Some(bytes) = head.take() {
                    return task::Poll::Ready(Some(Ok(body::Frame::data(bytes))));
                }
                let polled = pin::Pin::new(rest).poll_next(context);
                polled.map(|next| next.map(|part| part.map(body::Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(bytes::Bytes::is_empty))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, bytes::Bytes::len);
                body::SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Passing { .. } => body::SizeHint::default(),
        }
    }
}

/// A caller's body: held, or begun.
pub(crate) struct HeldBody {
    pub(crate) head: bytes::Bytes,
    pub(crate) rest: Option<web::Payload>,
    pub(crate) passed_on: bool,
}

impl HeldBody {
    pub(crate) fn size(&self) -> u64 {
        u64::try_from(self.head.len()).unwrap_or(u64::MAX)
    }

    pub(crate) fn take(&mut self) -> RequestBody {
        match self.rest.take() {
            Some(rest) => {
                self.passed_on = true;
                let head = Some(std::mem::take(&mut self.head));
                RequestBody::Passing { head, rest }
            }
            None => RequestBody::new(self.head.clone()),
        }
    }

    // A long body is gone once it was passed on.
    pub(crate) const fn can_repeat(&self) -> bool {
        !self.passed_on
    }
}
