//! Streams the remainder of a server's response to the caller.
//!
//! A task of its own receives from the server and hands on one chunk at a time. So the server's slot is
//! released at the deadline, or when the response gives way to others, also where the caller reads
//! so slowly that the library does not ask for the next chunk.

use std::io;
use std::rc;

use futures_util::StreamExt as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::edge::reservation;
use crate::edge::router::http_client;
use crate::edge::router::ports;
use crate::edge::router::slots;
use crate::memory::account;
use crate::serving::estimate;

/// The part of a response that has yet to be received, with the slot that its request occupies.
pub(super) struct ResponseRemainder<C: ports::HeaderCodec> {
    pub(super) body: http_client::ResponseBody,
    pub(super) is_reusable: bool,
    pub(super) slot: slots::ServerSlot<C>,
    pub(super) reservation: rc::Rc<reservation::Reservation>,
}

type BodyChunk = Result<bytes::Bytes, io::Error>;

/// Streams a response's body to the caller; the slot is released with the end of the stream. The
/// stream breaks off at `deadline`, since a server may send a body that never ends.
pub(super) fn stream_body<C: ports::HeaderCodec>(
    prefix: bytes::Bytes,
    remainder: ResponseRemainder<C>,
    deadline: clock::MonoTime,
) -> impl futures_util::Stream<Item = BodyChunk> {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    actix_web::rt::spawn(pump(remainder, deadline, sender));
    let first_chunk = futures_util::stream::once(async move { Ok(prefix) });
    // Only an empty chunk says that the response is complete.
    let other_chunks = futures_util::stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(chunk) if chunk.is_empty() => None,
            Some(chunk) => Some((Ok(chunk), Some(receiver))),
            None => Some((Err(io::Error::other("the response broke off")), None)),
        }
    });
    first_chunk.chain(other_chunks)
}

// Hands the chunks of a response on until it ends, breaks off or gives way.
async fn pump<C: ports::HeaderCodec>(
    remainder: ResponseRemainder<C>,
    deadline: clock::MonoTime,
    sender: tokio::sync::mpsc::Sender<bytes::Bytes>,
) {
    let ResponseRemainder {
        mut body,
        is_reusable,
        mut slot,
        reservation,
    } = remainder;
    let left = deadline.since(slot.thread.parts.clock.now());
    let passed = async {
        while let Some(chunk) = body.next_chunk().await? {
            // An empty chunk would say that the response is complete.
            if !chunk.is_empty() {
                reservation.note_progress(account::TransferPhase::Responding);
                if sender.send(chunk).await.is_err() {
                    return Ok(false);
                }
            }
            reservation.note_progress(account::TransferPhase::Held);
        }
        Ok(true)
    };
    let ended: Option<Result<bool, http_client::HttpError>> = tokio::select! {
        ended = tokio::time::timeout(left, passed) => ended.ok(),
        () = reservation.evicted() => None,
        // The server must not work on for a caller that has left.
        () = sender.closed() => Some(Ok(false)),
    };
    let fault = match ended {
        Some(Ok(true)) => {
            slot.end = estimate::ExchangeEnd::Answered;
            if is_reusable {
                slot.thread.client.recycle(body);
            }
            drop(slot);
            // The caller may have left.
            let _ = sender.send(bytes::Bytes::new()).await;
            return;
        }
        // The caller left, or the response gave way.
        Some(Ok(false)) => return,
        None if reservation.is_evicted() => "the response gave way to others".to_owned(),
        None => body.deadline_error().to_string(),
        Some(Err(error)) => error.to_string(),
    };
    if !reservation.is_evicted() {
        slot.end = estimate::ExchangeEnd::Broken;
    }
    tracing::info!(event = "answer-cut", fault);
}
