//! Grants that the store may have lost: it came back from an older copy of its logs, and a granter may
//! have ordered by a table that no host knows any more.
//!
//! A claim in a new era of the store names the hosts that may have granted before. Until each has
//! shown that it ordered nothing by an unknown table, or the holds of such orders have expired, the
//! granter only renews holds.

use std::collections;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::ownership::election;
use crate::ownership::former_granters;
use crate::ownership::hold_expiry;

// A host that may have granted.
#[derive(Clone, Debug)]
struct PossibleGranter {
    life: assignment::GranterIncarnation,
    // The time by which all orders by unknown tables have arrived.
    until: clock::MonoTime,
    is_proven: bool,
}

impl PossibleGranter {
    // A host of which nothing is known when the claim is in the log, at `since`.
    fn new(life: &assignment::GranterIncarnation, since: clock::MonoTime) -> Self {
        let right = time::Duration::from_millis(election::MAX_UNCONFIRMED_MS);
        Self {
            life: life.clone(),
            until: arrival_end(since + right),
            is_proven: false,
        }
    }
}

/// What a granter knows of grants that the store may have lost.
#[derive(Debug, Default)]
pub struct LostGrants {
    record: Option<assignment::LostGrantsRecord>,
    term: u64,
    since: clock::MonoTime,
    // By when the orders of earlier processes of this host have arrived.
    own_until: clock::MonoTime,
    hosts: collections::BTreeMap<names::HostName, PossibleGranter>,
}

impl LostGrants {
    /// Records that the claim of `term` is in the log; `record` is what the claimed table says.
    /// `started` is when this host's process began.
    #[must_use]
    pub fn with_claim(
        record: Option<&assignment::LostGrantsRecord>,
        term: u64,
        started: clock::MonoTime,
        now: clock::MonoTime,
    ) -> Self {
        let named = record.iter().flat_map(|record| &record.hosts);
        let hosts = named.map(|life| (life.host.clone(), PossibleGranter::new(life, now)));
        Self {
            record: record.cloned(),
            term,
            since: now,
            own_until: arrival_end(started),
            hosts: hosts.collect(),
        }
    }

    /// Reports whether the granter may only renew holds at `now`.
    #[must_use]
    pub fn is_possible(&self, hold: time::Duration, now: clock::MonoTime) -> bool {
        self.certain_from(hold).is_some_and(|from| now < from)
    }

    /// Reports whether the claimed table itself may be outdated, so that not even renewals are safe.
    #[must_use]
    pub fn is_provisional(&self) -> bool {
        self.record.as_ref().is_some_and(|r| r.is_provisional)
    }

    /// Returns when all holds by unknown tables have expired, as far as is known; `None` where the
    /// store has lost nothing.
    #[must_use]
    pub fn certain_from(&self, hold: time::Duration) -> Option<clock::MonoTime> {
        self.record.as_ref()?;
        let untils = self.hosts.values().map(|granter| granter.until);
        let last = untils.fold(self.own_until, clock::MonoTime::max);
        Some(last + hold_expiry::expiry_delay(hold))
    }

    /// Handles another host's response to a status request.
    pub fn note_host_response(
        &mut self,
        response: &former_granters::HostResponse,
        now: clock::MonoTime,
    ) {
        let Some(record) = &self.record else {
            return;
        };
        let Some(granter) = self.hosts.get_mut(&response.life.host) else {
            return;
        };
        if granter.life.peers != response.life.peers || response.asked <= self.since {
            return;
        }
        // Earlier processes of the host ended before the responding one began.
        let last = if response.granted <= record.base {
            now.saturating_sub(response.uptime)
        } else if response.term >= self.term {
            now
        } else {
            return;
        };
        granter.is_proven = true;
        granter.until = granter.until.min(arrival_end(last));
    }

    /// Handles a report of a table that the claim did not know. The granters that it names, other than
    /// `own`, join those that may have granted.
    pub fn note_overtaken(
        &mut self,
        overtaken: &assignment::OvertakenTable,
        own: &assignment::GranterIncarnation,
    ) {
        let is_unknown = self
            .record
            .as_ref()
            .is_some_and(|record| overtaken.version > record.base);
        if !is_unknown {
            return;
        }
        let others = overtaken.granters.iter().filter(|g| g.host != own.host);
        for life in others {
            let unnamed = || PossibleGranter::new(life, self.since);
            self.hosts.entry(life.host.clone()).or_insert_with(unnamed);
        }
    }

    /// Returns the hosts to send status requests to.
    pub fn hosts_to_query(&self) -> impl Iterator<Item = &assignment::GranterIncarnation> {
        let open = self.hosts.values().filter(|granter| !granter.is_proven);
        open.map(|granter| &granter.life)
    }
}

// When all orders have arrived that were sent before `last`.
fn arrival_end(last: clock::MonoTime) -> clock::MonoTime {
    last + time::Duration::from_millis(former_granters::ORDERS_IN_FLIGHT_MS)
}
