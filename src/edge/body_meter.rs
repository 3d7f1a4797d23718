//! Reserves the memory of a request's body while it is read.

use crate::edge::reservation;
use crate::memory::account;
use crate::memory::limits;

/// The step in which the reservation of a body grows, in bytes.
pub const HELD_STEP_BYTES: u64 = 16 << 10;
/// A body in small chunks makes progress once this many have arrived.
pub const PROGRESS_CHUNKS: u64 = 64;

/// Reserves the memory of a request's body while it is read.
pub struct BodyMeter<'a> {
    reservation: &'a reservation::Reservation,
    small_chunks: u64,
    held: u64,
}

impl<'a> BodyMeter<'a> {
    /// Creates the meter of a body of which nothing was read.
    #[must_use]
    pub const fn new(reservation: &'a reservation::Reservation) -> Self {
        Self {
            reservation,
            small_chunks: 0,
            held: 0,
        }
    }

    /// Reserves what a body takes when another chunk is added to its buffer.
    ///
    /// # Errors
    /// Fails when the bytes are refused, or the request has to give way.
    pub fn take(
        &mut self,
        buffer: &bytes::BytesMut,
        chunk: &[u8],
    ) -> Result<(), account::PressureCause> {
        let is_small = chunk.len() < limits::SMALL_CHUNK_BYTES;
        self.small_chunks += u64::from(is_small);
        let size = buffer.capacity().max(buffer.len() + chunk.len());
        let needed = u64::try_from(size).unwrap_or(u64::MAX) + self.queue_bytes();
        if needed > self.held {
            // Bodies in small chunks would otherwise take the lock for each of them.
            self.held = needed.next_multiple_of(HELD_STEP_BYTES);
            self.reservation.hold(self.held)?;
        }
        if !is_small || self.small_chunks.is_multiple_of(PROGRESS_CHUNKS) {
            self.reservation
                .note_progress(account::TransferPhase::Receiving);
        }
        Ok(())
    }

    /// Reserves what a body takes that was read to its end.
    ///
    /// # Errors
    /// Fails when the request has to give way.
    pub fn finish(&self, buffer: &bytes::BytesMut) -> Result<(), account::PressureCause> {
        self.reservation.finish_body();
        let size = u64::try_from(buffer.capacity()).unwrap_or(u64::MAX);
        self.reservation.note_body(size);
        self.reservation.hold(size)
    }

    /// Reserves what a body takes whose remainder is streamed to a server.
    ///
    /// # Errors
    /// Fails when the bytes are refused, or the request has to give way.
    pub fn stream(&self) -> Result<(), account::PressureCause> {
        self.reservation.note_progress(account::TransferPhase::Held);
        self.reservation.note_body(limits::STREAM_BYTES);
        // The library decodes further small chunks while the body waits for a server.
        let queued = if self.small_chunks > 0 {
            limits::MAX_QUEUED_CHUNKS * limits::SMALL_CHUNK_COST
        } else {
            0
        };
        let more = limits::STREAM_BYTES + queued - self.queue_bytes().min(queued);
        self.reservation.hold_more(more)
    }

    fn queue_bytes(&self) -> u64 {
        self.small_chunks.min(limits::MAX_QUEUED_CHUNKS) * limits::SMALL_CHUNK_COST
    }
}
