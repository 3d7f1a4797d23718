//! The fold of the log: the same state on every host that read the same records.

mod checkpoint;

use std::collections;
use std::sync;

use crate::chart;
use crate::configuration;
use crate::fence;
use crate::names;
use crate::record;

pub use crate::replay::checkpoint::CheckpointAssembly;

/// How many patch verdicts the fold remembers.
pub const MAX_VERDICTS: usize = 1_024;
/// The size of one part of a checkpoint, in bytes.
pub const CHECKPOINT_PART_BYTES: usize = 256 * 1_024;

crate::chart_words!(
    /// The states of a patch.
    PatchState { Submitted = "submitted", Accepted = "accepted", Refused = "refused" }
);
crate::chart_words!(
    /// The events of a patch.
    PatchEvent { Folded = "folded" }
);
crate::chart_words!(
    /// The guards of a patch.
    PatchGuard { Repeated = "repeated", Stale = "stale", Invalid = "invalid" }
);
crate::chart_words!(
    /// The actions of a patch.
    PatchAction {
        RaiseVersion = "raise-version",
        ReportAccepted = "report-accepted",
        ReportStale = "report-stale",
        ReportInvalid = "report-invalid",
        ReportRepeated = "report-repeated",
    }
);

/// The words of the chart `patch`.
#[derive(Debug)]
pub struct PatchVocabulary;

impl chart::ChartVocabulary for PatchVocabulary {
    type State = PatchState;
    type Event = PatchEvent;
    type Guard = PatchGuard;
    type Action = PatchAction;
    const SOURCE: &'static str = include_str!("../../charts/patch.toml");
}

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum PatchVerdict {
    /// It is in the configuration from this version on.
    Accepted {
        /// The version that it made.
        version: u64,
    },
    /// It was written against another version.
    Stale {
        /// The version that was current.
        current: u64,
    },
    /// It does not fit the configuration.
    Invalid(configuration::ConfigurationError),
}

/// A patch's verdict under the patch's id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VerdictEntry {
    /// The patch.
    pub id: names::RecordId,
    /// What became of it.
    pub verdict: PatchVerdict,
}

/// The servers whose promises decide who grants in a domain. Two sets count while one follows the
/// other; they differ by one server, so that their majorities meet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WitnessSets {
    /// The number of the newest set: the version that brought it.
    pub number: u64,
    /// The set that is settled.
    pub settled: Vec<names::ServerName>,
    /// The set that follows it.
    pub pending: Option<Vec<names::ServerName>>,
}

/// An owner and its fence, as the log has it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShardAssignment {
    /// The owner.
    pub server: names::ServerName,
    /// The fence of the grant.
    pub fence: fence::GrantFence,
}

/// What one record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayEffect {
    /// A patch was decided.
    Patched(VerdictEntry),
    /// A patch with a known id was passed over.
    Repeated(names::RecordId),
    /// Assignments were taken over.
    Assigned,
    /// A term was noted.
    TermNoted,
    /// A witness set was settled.
    Settled,
    /// A part of a checkpoint was passed by.
    CheckpointSeen,
    /// The text was no record.
    Skipped(record::RecordError),
}

/// Everything that the log's records add up to.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplayState {
    /// The offset of the next record to fold.
    pub next_offset: u64,
    /// The configuration's version.
    pub version: u64,
    /// The configuration.
    pub configuration: sync::Arc<configuration::Configuration>,
    /// The verdicts on the latest patches, oldest first.
    pub verdicts: collections::VecDeque<VerdictEntry>,
    /// The owner of each assigned shard.
    pub assignments: collections::BTreeMap<names::ShardId, ShardAssignment>,
    /// The highest term of each domain.
    pub terms: collections::BTreeMap<names::DomainName, sync::Arc<fence::TermId>>,
    /// The witnesses of each domain.
    pub witnesses: collections::BTreeMap<names::DomainName, WitnessSets>,
    /// How many whole checkpoints the log has brought.
    pub checkpoints: u64,
    /// The offset at which the newest checkpoint ended.
    pub checkpoint_offset: u64,
    /// How many texts were no records.
    pub skipped: u64,
}

/// Folds records by the chart `patch`.
pub struct LogReplay {
    table: chart::ChartTable<PatchVocabulary>,
    state: ReplayState,
}

impl LogReplay {
    /// Creates a fold that has read nothing.
    ///
    /// # Errors
    /// Fails when the chart `patch` is faulty.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            table: chart::ChartTable::new()?,
            state: ReplayState::default(),
        })
    }

    /// Starts from a checkpoint's state.
    #[must_use]
    pub fn with_state(mut self, state: ReplayState) -> Self {
        self.state = state;
        self
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> &ReplayState {
        &self.state
    }

    /// Replaces the state by a checkpoint's.
    pub fn adopt(&mut self, state: ReplayState) {
        self.state = state;
    }

    /// Returns the verdict on a patch.
    #[must_use]
    pub fn verdict(&self, id: &names::RecordId) -> Option<&PatchVerdict> {
        let entry = self.state.verdicts.iter().find(|entry| entry.id == *id);
        entry.map(|entry| &entry.verdict)
    }

    /// Folds the text at the next offset.
    pub fn apply(&mut self, text: &str) -> ReplayEffect {
        self.state.next_offset += 1;
        let record = match record::LogRecord::decode(text) {
            Ok(record) => record,
            Err(error) => {
                self.state.skipped += 1;
                return ReplayEffect::Skipped(error);
            }
        };
        match record.body {
            record::RecordBody::Patch(body) => self.apply_patch(&record.id, &body),
            record::RecordBody::Assign(body) => self.apply_assign(body),
            record::RecordBody::Term(body) => self.apply_term(body),
            record::RecordBody::Settle(body) => self.apply_settle(&body),
            record::RecordBody::Checkpoint(body) => self.apply_checkpoint(&body),
        }
    }

    fn apply_patch(&mut self, id: &names::RecordId, body: &record::PatchBody) -> ReplayEffect {
        let repeated = self.verdict(id).is_some();
        let stale = body.base != self.state.version;
        let merged = self.merge(body);
        let step = self.table.step(
            PatchState::Submitted,
            PatchEvent::Folded,
            |guard| match guard {
                PatchGuard::Repeated => repeated,
                PatchGuard::Stale => stale,
                PatchGuard::Invalid => merged.is_err(),
            },
        );
        let actions: Vec<PatchAction> = step.map(|s| s.actions.to_vec()).unwrap_or_default();
        let mut effect = ReplayEffect::Repeated(id.clone());
        for action in actions {
            let verdict = match action {
                PatchAction::ReportRepeated => continue,
                PatchAction::RaiseVersion => {
                    if let Ok(merge) = &merged {
                        self.raise_version(merge.clone());
                    }
                    continue;
                }
                PatchAction::ReportAccepted => PatchVerdict::Accepted {
                    version: self.state.version,
                },
                PatchAction::ReportStale => PatchVerdict::Stale {
                    current: self.state.version,
                },
                PatchAction::ReportInvalid => match &merged {
                    Err(error) => PatchVerdict::Invalid(error.clone()),
                    Ok(_) => continue,
                },
            };
            effect = ReplayEffect::Patched(self.remember(id.clone(), verdict));
        }
        effect
    }

    fn remember(&mut self, id: names::RecordId, verdict: PatchVerdict) -> VerdictEntry {
        let entry = VerdictEntry { id, verdict };
        self.state.verdicts.push_back(entry.clone());
        if self.state.verdicts.len() > MAX_VERDICTS {
            self.state.verdicts.pop_front();
        }
        entry
    }

    fn merge(
        &self,
        body: &record::PatchBody,
    ) -> Result<PatchMerge, configuration::ConfigurationError> {
        let configuration = self.state.configuration.with_changes(&body.changes)?;
        let number = self.state.version + 1;
        let mut witnesses = self.state.witnesses.clone();
        for domain in &configuration.domain {
            let view = witnesses.entry(domain.name.clone()).or_default();
            view.follow(configuration.witnesses_of(&domain.name), number)
                .map_err(|fault| configuration::ConfigurationError {
                    field: format!("domain.{}", domain.name),
                    fault,
                })?;
        }
        Ok(PatchMerge {
            configuration: sync::Arc::new(configuration),
            witnesses,
        })
    }

    fn raise_version(&mut self, merge: PatchMerge) {
        self.state.version += 1;
        self.state.configuration = merge.configuration;
        self.state.witnesses = merge.witnesses;
        self.drop_given_up();
    }

    // An owner in a domain that was given up is gone with it; the new home places the shard afresh.
    fn drop_given_up(&mut self) {
        let configuration = sync::Arc::clone(&self.state.configuration);
        let is_gone = |name: &names::ServerName| {
            let server = configuration.find_server(name);
            let domain = server.and_then(|s| configuration.find_domain(&s.domain));
            domain.is_some_and(configuration::DomainSpec::is_gone)
        };
        self.state.assignments.retain(|_, a| !is_gone(&a.server));
    }

    fn apply_assign(&mut self, body: record::AssignBody) -> ReplayEffect {
        for entry in body.entries {
            let newer = self
                .state
                .assignments
                .get(&entry.shard)
                .is_none_or(|old| old.fence < entry.fence);
            if newer {
                let assignment = ShardAssignment {
                    server: entry.server,
                    fence: entry.fence,
                };
                self.state.assignments.insert(entry.shard, assignment);
            }
        }
        ReplayEffect::Assigned
    }

    fn apply_term(&mut self, body: record::TermBody) -> ReplayEffect {
        let known = self.state.terms.get(&body.domain);
        if known.is_none_or(|old| *old < body.term) {
            self.state.terms.insert(body.domain, body.term);
        }
        ReplayEffect::TermNoted
    }

    fn apply_settle(&mut self, body: &record::SettleBody) -> ReplayEffect {
        if let Some(view) = self.state.witnesses.get_mut(&body.domain) {
            view.settle(body.witness_set);
        }
        ReplayEffect::Settled
    }
}

#[derive(Clone)]
struct PatchMerge {
    configuration: sync::Arc<configuration::Configuration>,
    witnesses: collections::BTreeMap<names::DomainName, WitnessSets>,
}

impl WitnessSets {
    fn follow(&mut self, next: Vec<names::ServerName>, number: u64) -> Result<(), String> {
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

    fn settle(&mut self, number: u64) {
        if number == self.number
            && let Some(next) = self.pending.take()
        {
            self.settled = next;
        }
    }

    /// Reports whether the servers that `holds` names are a majority of each set that counts.
    pub fn has_majority(&self, holds: impl Fn(&names::ServerName) -> bool) -> bool {
        let sets = [Some(&self.settled), self.pending.as_ref()];
        sets.into_iter().flatten().all(|set| {
            let count = set.iter().filter(|name| holds(name)).count();
            count * 2 > set.len()
        })
    }

    /// Returns the members of the sets that count.
    pub fn members(&self) -> impl Iterator<Item = &names::ServerName> {
        self.settled.iter().chain(self.pending.iter().flatten())
    }
}
