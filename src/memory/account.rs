//! The account of the bytes that a process holds for its callers.
//!
//! Each transfer reserves bytes before it takes them. Above the pressure mark, transfers that have
//! made no progress are asked to give way, the longest stalled first. While other client addresses
//! have transfers, one address gets at most half of the account; transfers of an address that
//! has more give way to others even if they make progress.

use std::collections;
use std::net;
use std::time;

use crate::clock;
use crate::memory::limits;

/// A transfer without progress for this long gives way under pressure, in milliseconds. Clients that
/// send at all send within a few round trips.
pub const STALL_MS: u64 = 500;
/// The part of the account, in eighths, above which transfers are asked to give way.
pub const PRESSURE_EIGHTHS: u64 = 7;

/// Identifies a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransferId(u64);

/// What a transfer is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferPhase {
    /// A body is received; nothing was sent to a server.
    Receiving,
    /// A request waits for a server, or for the server's response.
    Held,
    /// A body is streamed to a server.
    Streaming,
    /// A response is sent to the caller.
    Responding,
}

impl TransferPhase {
    // Whether the lack of progress in this phase is the caller's.
    const fn depends_on_caller(self) -> bool {
        matches!(self, Self::Receiving | Self::Streaming | Self::Responding)
    }
}

/// Why bytes or a connection were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PressureCause {
    /// The account is used up.
    Memory,
    /// The client address has its part of the account.
    Address,
    /// The transfer gave way to others.
    Evicted,
    /// The connections are used up.
    Connections,
}

impl PressureCause {
    /// All causes.
    pub const ALL: [Self; 4] = [
        Self::Memory,
        Self::Address,
        Self::Evicted,
        Self::Connections,
    ];

    /// Returns the cause as it is named in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Address => "address",
            Self::Evicted => "evicted",
            Self::Connections => "connections",
        }
    }
}

/// The decision on a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveDecision {
    /// Why the bytes are refused, if they are.
    pub refused: Option<PressureCause>,
    /// The transfers that have to give way, longest stalled first.
    pub evicted: Vec<TransferId>,
}

#[derive(Clone, Debug)]
struct HeldTransfer {
    address: net::IpAddr,
    phase: TransferPhase,
    bytes: u64,
    progressed: clock::MonoTime,
    is_evicted: bool,
}

/// The account of a process.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limits: limits::ProcessLimits,
    // The bytes of all transfers and connections.
    used: u64,
    // The bytes of transfers that were asked to give way.
    leaving: u64,
    connections: u64,
    next: u64,
    transfers: collections::BTreeMap<TransferId, HeldTransfer>,
    addresses: collections::HashMap<net::IpAddr, AddressUse>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AddressUse {
    transfers: u64,
    bytes: u64,
}

impl MemoryAccount {
    /// Creates an empty account.
    #[must_use]
    pub fn new(limits: limits::ProcessLimits) -> Self {
        Self {
            limits,
            used: 0,
            leaving: 0,
            connections: 0,
            next: 0,
            transfers: collections::BTreeMap::new(),
            addresses: collections::HashMap::new(),
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of open caller connections.
    #[must_use]
    pub const fn connections(&self) -> u64 {
        self.connections
    }

    /// Reports whether connections should close with their next response, so that others get one, and so that
    /// what idle ones hold is released.
    #[must_use]
    pub const fn is_connection_pressed(&self) -> bool {
        let connections = self.limits.connections / 8 * PRESSURE_EIGHTHS;
        self.connections >= connections || self.used >= self.pressure_mark()
    }

    // The bytes above which transfers are asked to give way.
    const fn pressure_mark(&self) -> u64 {
        self.limits.bytes / 8 * PRESSURE_EIGHTHS
    }

    /// Opens a connection, as one that reads ahead; refuses it where the connections or the bytes are
    /// used up. In any case it has to be closed with [`Self::close_connection`].
    pub fn open_connection(&mut self, now: clock::MonoTime) -> ReserveDecision {
        self.connections += 1;
        let bytes = limits::CONNECTION_BYTES + limits::READ_AHEAD_BYTES;
        let is_memory_short = self.used + bytes > self.limits.bytes;
        self.used += bytes;
        let mut decision = ReserveDecision {
            refused: None,
            evicted: Vec::new(),
        };
        if self.connections > self.limits.connections {
            decision.refused = Some(PressureCause::Connections);
        } else if is_memory_short {
            decision.refused = Some(PressureCause::Memory);
        }
        if decision.refused.is_some() {
            // The connection of a stalled transfer closes with its refusal.
            let stalled = self.stalled(now).into_iter().next();
            decision.evicted.extend(stalled.map(|(_, id)| id));
            self.evict(&decision.evicted);
        }
        decision
    }

    /// Closes a connection, which may be one that reads ahead.
    pub const fn close_connection(&mut self, reads_ahead: bool) {
        if reads_ahead {
            self.end_read_ahead();
        }
        self.connections = self.connections.saturating_sub(1);
        self.used = self.used.saturating_sub(limits::CONNECTION_BYTES);
    }

    /// Notes that a request began on an idle connection. Its bytes may have been read already, so
    /// they cannot be refused; the request can ([`Self::open`]).
    pub const fn begin_read_ahead(&mut self) {
        self.used += limits::READ_AHEAD_BYTES;
    }

    /// Notes that a connection's request has ended.
    pub const fn end_read_ahead(&mut self) {
        self.used = self.used.saturating_sub(limits::READ_AHEAD_BYTES);
    }

    /// Opens a transfer that holds no bytes. It has to give way at once where connections hold more than the
    /// account has.
    pub fn open(&mut self, address: net::IpAddr, now: clock::MonoTime) -> TransferId {
        let id = TransferId(self.next);
        self.next += 1;
        self.addresses.entry(address).or_default().transfers += 1;
        let transfer = HeldTransfer {
            address,
            phase: TransferPhase::Receiving,
            bytes: 0,
            progressed: now,
            is_evicted: self.used > self.limits.bytes,
        };
        self.transfers.insert(id, transfer);
        id
    }

    /// Reports whether a transfer has to give way.
    #[must_use]
    pub fn is_evicted(&self, id: TransferId) -> bool {
        let transfer = self.transfers.get(&id);
        transfer.is_none_or(|transfer| transfer.is_evicted)
    }

    /// Notes that a transfer makes progress in this phase.
    pub fn note_progress(&mut self, id: TransferId, phase: TransferPhase, now: clock::MonoTime) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.phase = phase;
            transfer.progressed = now;
        }
    }

    /// Changes the bytes that a transfer holds to `bytes`. Where they are refused it holds what it held.
    pub fn reserve(&mut self, id: TransferId, bytes: u64, now: clock::MonoTime) -> ReserveDecision {
        let mut decision = ReserveDecision {
            refused: None,
            evicted: Vec::new(),
        };
        let Some(transfer) = self.transfers.get(&id) else {
            decision.refused = Some(PressureCause::Memory);
            return decision;
        };
        if transfer.is_evicted {
            decision.refused = Some(PressureCause::Evicted);
            return decision;
        }
        let (address, held) = (transfer.address, transfer.bytes);
        let added = bytes.saturating_sub(held);
        let mark = self.pressure_mark();
        let is_pressed = added > 0 && self.used - self.leaving + added > mark;
        if is_pressed {
            decision.evicted = self.choose(id, address, added, mark, now);
            self.evict(&decision.evicted);
            if self.exceeds_part(address, added) {
                decision.refused = Some(PressureCause::Address);
                return decision;
            }
        }
        if added > 0 && self.used + added > self.limits.bytes {
            decision.refused = Some(PressureCause::Memory);
            return decision;
        }
        self.change(id, bytes);
        decision
    }

    /// Ends a transfer and releases its bytes.
    pub fn close(&mut self, id: TransferId) {
        self.change(id, 0);
        let Some(transfer) = self.transfers.remove(&id) else {
            return;
        };
        if let Some(share) = self.addresses.get_mut(&transfer.address) {
            share.transfers -= 1;
            if share.transfers == 0 {
                self.addresses.remove(&transfer.address);
            }
        }
    }

    fn change(&mut self, id: TransferId, bytes: u64) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let held = std::mem::replace(&mut transfer.bytes, bytes);
        self.used = self.used - held + bytes;
        if transfer.is_evicted {
            self.leaving = self.leaving - held + bytes;
        }
        if let Some(share) = self.addresses.get_mut(&transfer.address) {
            share.bytes = share.bytes - held + bytes;
        }
    }

    // Whether an address would have more than its part while others have transfers.
    fn exceeds_part(&self, address: net::IpAddr, added: u64) -> bool {
        let held = self.addresses.get(&address).map_or(0, |share| share.bytes);
        self.addresses.len() > 1 && held + added > self.limits.bytes / 2
    }

    // The stalled transfers, longest stalled first.
    fn stalled(&self, now: clock::MonoTime) -> Vec<(clock::MonoTime, TransferId)> {
        let limit = time::Duration::from_millis(STALL_MS);
        let stalled = self.transfers.iter().filter(|(_, transfer)| {
            !transfer.is_evicted
                && transfer.phase.depends_on_caller()
                && now.since(transfer.progressed) >= limit
        });
        let mut stalled: Vec<_> = stalled
            .map(|(id, transfer)| (transfer.progressed, *id))
            .collect();
        stalled.sort_unstable();
        stalled
    }

    // Chooses what gives way to a transfer: the longest stalled, then those of addresses that have
    // more than their part, where this one has less.
    fn choose(
        &self,
        id: TransferId,
        address: net::IpAddr,
        added: u64,
        mark: u64,
        now: clock::MonoTime,
    ) -> Vec<TransferId> {
        let mut candidates = self.stalled(now);
        if !self.exceeds_part(address, added) {
            let others = self.transfers.iter().filter(|(other, transfer)| {
                !transfer.is_evicted
                    && transfer.address != address
                    && transfer.phase.depends_on_caller()
                    && self.exceeds_part(transfer.address, 0)
                    && !candidates.iter().any(|(_, known)| known == *other)
            });
            let mut others: Vec<_> = others
                .map(|(id, transfer)| (transfer.progressed, *id))
                .collect();
            others.sort_unstable();
            candidates.extend(others);
        }
        let mut needed = (self.used - self.leaving + added).saturating_sub(mark);
        let mut chosen = Vec::new();
        for (_, candidate) in candidates {
            if needed == 0 {
                break;
            }
            let bytes = self.transfers[&candidate].bytes;
            if candidate != id && bytes > 0 {
                needed = needed.saturating_sub(bytes);
                chosen.push(candidate);
            }
        }
        chosen
    }

    fn evict(&mut self, chosen: &[TransferId]) {
        for id in chosen {
            if let Some(transfer) = self.transfers.get_mut(id) {
                transfer.is_evicted = true;
                self.leaving += transfer.bytes;
            }
        }
    }
}
