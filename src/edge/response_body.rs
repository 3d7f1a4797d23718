//! Bodies of responses that are held whole until they are sent.

use std::io;
use std::pin;
use std::rc;
use std::task;

use actix_web::body;
use actix_web::web;

use crate::edge::reservation;
use crate::memory::account;

/// The size of the pieces in which a held response is sent, in bytes.
pub const PIECE_BYTES: usize = 16 << 10;

/// Replaces the body of a response that is held whole by one that keeps its reservation until it was
/// sent, and closes the connection where it gives way.
#[must_use]
pub fn reserve_body(
    response: actix_web::HttpResponse,
    reservation: rc::Rc<reservation::Reservation>,
) -> actix_web::HttpResponse {
    map_whole(response, |bytes| {
        if bytes.len() <= PIECE_BYTES {
            return body::BoxBody::new(bytes);
        }
        body::BoxBody::new(ReservedBody::new(bytes, reservation))
    })
}

/// Keeps the unread remainder of a request's body until the response was sent, which closes the
/// connection. The library would otherwise wait, without a limit, for the end of a chunked body that
/// nobody reads.
#[must_use]
pub fn hold_unread(
    response: actix_web::HttpResponse,
    unread: Option<web::Payload>,
) -> actix_web::HttpResponse {
    let Some(unread) = unread else {
        return response;
    };
    let mut response = map_whole(response, |bytes| {
        body::BoxBody::new(UnreadBody {
            length: u64::try_from(bytes.len()).unwrap_or(u64::MAX),
            bytes: Some(bytes),
            _unread: unread,
        })
    });
    response
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

// Replaces the body of a response by another one with the same bytes, where it is held whole.
fn map_whole(
    response: actix_web::HttpResponse,
    wrap: impl FnOnce(bytes::Bytes) -> body::BoxBody,
) -> actix_web::HttpResponse {
    response.map_body(|_, content| {
        let bytes = body::MessageBody::try_into_bytes(content);
        bytes.map_or_else(|content| content, wrap)
    })
}

/// A response body that is held whole and sent in pieces.
struct ReservedBody {
    length: u64,
    left: usize,
    reservation: rc::Rc<reservation::Reservation>,
}

impl ReservedBody {
    fn new(bytes: bytes::Bytes, reservation: rc::Rc<reservation::Reservation>) -> Self {
        let left = bytes.len();
        reservation.store_response(bytes);
        Self {
            length: u64::try_from(left).unwrap_or(u64::MAX),
            left,
            reservation,
        }
    }
}

impl body::MessageBody for ReservedBody {
    type Error = io::Error;

    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.length)
    }

    fn poll_next(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<bytes::Bytes, io::Error>>> {
        let reserved = self.get_mut();
        if reserved.left == 0 {
            return task::Poll::Ready(None);
        }
        let piece = reserved.reservation.take_piece(PIECE_BYTES);
        if piece.is_empty() {
            let fault = io::Error::other("the response gave way to others");
            return task::Poll::Ready(Some(Err(fault)));
        }
        reserved.left -= piece.len();
        reserved
            .reservation
            .note_progress(account::TransferPhase::Responding);
        task::Poll::Ready(Some(Ok(piece)))
    }
}

/// The body of a response to a request whose own body was not read to its end.
struct UnreadBody {
    length: u64,
    bytes: Option<bytes::Bytes>,
    _unread: web::Payload,
}

impl body::MessageBody for UnreadBody {
    type Error = io::Error;

    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.length)
    }

    fn poll_next(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<bytes::Bytes, io::Error>>> {
        let bytes = self.get_mut().bytes.take();
        task::Poll::Ready(bytes.filter(|bytes| !bytes.is_empty()).map(Ok))
    }
}
