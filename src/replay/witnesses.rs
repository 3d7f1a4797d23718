//! The servers whose promises elect the granter of a domain, and how their set changes.

use crate::names;

/// The witnesses of a domain: the servers whose promises elect its granter. While a new set
/// replaces the settled one, a majority of each is needed; the two differ by one server, so that
/// any majority of one intersects any majority of the other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WitnessSets {
    /// The number of the newest set: the configuration version that introduced it.
    pub number: u64,
    /// The settled set.
    pub settled: Vec<names::ServerName>,
    /// The set that is to replace it, not settled yet.
    pub pending: Option<Vec<names::ServerName>>,
}

impl WitnessSets {
    pub(super) fn propose(
        &mut self,
        next: Vec<names::ServerName>,
        number: u64,
    ) -> Result<(), String> {
        let newest = self.pending.as_ref().unwrap_or(&self.settled);
        if *newest == next {
            return Ok(());
        }
        if self.settled.is_empty() {
            self.settled = next;
            self.number = number;
            return Ok(());
        }
        if self.pending.is_some() {
            return Err("its former change of checked servers is not settled yet".into());
        }
        let added = next.iter().filter(|n| !self.settled.contains(n)).count();
        let removed = self.settled.iter().filter(|n| !next.contains(n)).count();
        if added + removed > 1 {
            return Err("add or remove its checked servers one patch at a time".into());
        }
        self.pending = Some(next);
        self.number = number;
        Ok(())
    }

    pub(super) fn settle(&mut self, number: u64) {
        if number == self.number
            && let Some(next) = self.pending.take()
        {
            self.settled = next;
        }
    }

    /// Reports whether `other` has settled the set that is pending here.
    pub(super) fn lacks_settlement_of(&self, other: &Self) -> bool {
        other.pending.is_none() && self.pending.as_ref() == Some(&other.settled)
    }

    /// Settles the pending set if `other` has settled it.
    pub(super) fn merge_settlement(&mut self, other: &Self) {
        if self.lacks_settlement_of(other) {
            self.settle(self.number);
        }
    }

    /// Reports whether the servers for which `holds` is true are a majority of the settled set and,
    /// if there is one, of the pending set.
    pub fn has_majority(&self, holds: impl Fn(&names::ServerName) -> bool) -> bool {
        let sets = [Some(&self.settled), self.pending.as_ref()];
        sets.into_iter().flatten().all(|set| {
            let count = set.iter().filter(|name| holds(name)).count();
            count * 2 > set.len()
        })
    }

    /// Returns the members of the settled and of the pending set; a server in both appears twice.
    pub fn members(&self) -> impl Iterator<Item = &names::ServerName> {
        self.settled.iter().chain(self.pending.iter().flatten())
    }
}
