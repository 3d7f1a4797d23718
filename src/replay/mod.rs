//! Replay of the log: hosts that applied the same records have the same state.

mod checkpoint;
mod position;
mod restore;
mod witnesses;

use std::collections;
use std::sync;

use crate::chart;
use crate::configuration;
use crate::fence;
use crate::names;
use crate::record;

pub use crate::replay::checkpoint::CheckpointAssembly;
pub use crate::replay::position::PositionCheck;
pub use crate::replay::position::RecordMark;
pub use crate::replay::witnesses::WitnessSets;

/// The number of patch verdicts that are kept.
pub const MAX_VERDICTS: usize = 1_024;
/// The number of changes of the latest accepted patches that are kept, so that the patches can be
/// applied again.
pub const MAX_KEPT_CHANGES: usize = 1_024;
/// The maximum size of the text in one part of a checkpoint, in bytes.
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

/// The verdict on a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum PatchVerdict {
    /// The patch was applied.
    Accepted {
        /// The configuration version that it created.
        version: u64,
    },
    /// The patch was written against another version than the current one.
    Stale {
        /// The version that was current.
        current: u64,
    },
    /// The patch can't be applied to the configuration.
    Invalid(configuration::ConfigurationError),
}

/// A patch's id with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VerdictEntry {
    /// The patch.
    pub id: names::RecordId,
    /// Its verdict.
    pub verdict: PatchVerdict,
}

/// The owner of a shard and its fence, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShardAssignment {
    /// The owner.
    pub server: names::ServerName,
    /// The fence of the grant.
    pub fence: fence::GrantFence,
}

/// An accepted patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AcceptedPatch {
    /// The patch.
    pub id: names::RecordId,
    /// Its changes.
    pub changes: Vec<configuration::ConfigurationChange>,
}

/// The effect of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayEffect {
    /// A patch got its verdict.
    Patched(VerdictEntry),
    /// A patch with a known id was ignored.
    Repeated(names::RecordId),
    /// Assignments were applied.
    Assigned,
    /// A term was applied.
    TermNoted,
    /// A witness set was settled.
    Settled,
    /// A part of a checkpoint was read.
    CheckpointSeen,
    /// What a host had replayed before the log lost records was merged.
    Restored {
        /// The hash of the host's state.
        digest: u64,
        /// The number of changes that could not be applied again.
        omitted: usize,
    },
    /// The text was not a valid record.
    Skipped(record::RecordError),
}

/// The state replayed from the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ReplayState {
    /// The offset of the next record to apply.
    pub next_offset: u64,
    /// The record before that offset. `None` before the first record, and in a checkpoint of a build
    /// without this field.
    pub last_record: Option<position::RecordMark>,
    /// The configuration's version.
    pub version: u64,
    /// The configuration.
    pub configuration: sync::Arc<configuration::Configuration>,
    /// The verdicts on the latest patches, oldest first.
    pub verdicts: collections::VecDeque<VerdictEntry>,
    /// The latest accepted patches with at most [`MAX_KEPT_CHANGES`] changes in all, oldest first.
    pub patches: collections::VecDeque<AcceptedPatch>,
    /// The parts read so far of a state by which the log is being restored.
    pub restoring: CheckpointAssembly,
    /// The owner of each assigned shard.
    pub assignments: collections::BTreeMap<names::ShardId, ShardAssignment>,
    /// The highest term of each domain.
    pub terms: collections::BTreeMap<names::DomainName, sync::Arc<fence::TermId>>,
    /// The witnesses of each domain.
    pub witnesses: collections::BTreeMap<names::DomainName, WitnessSets>,
    /// The number of checkpoints whose last part was read.
    pub checkpoints: u64,
    /// The offset after the last part of the newest checkpoint.
    pub checkpoint_offset: u64,
    /// The number of texts that were not valid records.
    pub skipped: u64,
}

/// Applies the log's records in order; patches by the chart `patch`.
pub struct LogReplay {
    table: sync::Arc<chart::ChartTable<PatchVocabulary>>,
    state: ReplayState,
}

impl LogReplay {
    /// Creates the state before the first record.
    ///
    /// # Errors
    /// Fails when the chart `patch` is invalid.
    pub fn new() -> Result<Self, chart::ChartError> {
        Ok(Self {
            table: sync::Arc::new(chart::ChartTable::new()?),
            state: ReplayState::default(),
        })
    }

    /// Replaces the state by that of a checkpoint.
    #[must_use]
    pub fn with_state(mut self, state: ReplayState) -> Self {
        self.state = state;
        self
    }

    /// Creates a replay that continues from another state.
    #[must_use]
    pub fn fork(&self, state: ReplayState) -> Self {
        Self {
            table: sync::Arc::clone(&self.table),
            state,
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> &ReplayState {
        &self.state
    }

    /// Replaces the state by that of a checkpoint or of a peer.
    pub fn adopt(&mut self, state: ReplayState) {
        self.state = state;
    }

    /// Returns the verdict on a patch, if it is among the latest [`MAX_VERDICTS`].
    #[must_use]
    pub fn verdict(&self, id: &names::RecordId) -> Option<&PatchVerdict> {
        let entry = self.state.verdicts.iter().find(|entry| entry.id == *id);
        entry.map(|entry| &entry.verdict)
    }

    /// Applies the text at the next offset. A text that is not a valid record is counted and
    /// skipped.
    pub fn apply(&mut self, text: &str) -> ReplayEffect {
        self.state.next_offset += 1;
        self.state.last_record = Some(position::RecordMark::new(text));
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
            record::RecordBody::Restore(body) => self.apply_restore(&body),
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
                        self.keep_patch(id, &body.changes);
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
            effect = ReplayEffect::Patched(self.push_verdict(id.clone(), verdict));
        }
        effect
    }

    fn push_verdict(&mut self, id: names::RecordId, verdict: PatchVerdict) -> VerdictEntry {
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
            view.propose(configuration.witnesses_of(&domain.name), number)
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
        self.drop_given_up_assignments();
    }

    // Drops the assignments to servers of domains that were given up; the shards' new home domains
    // place them again.
    fn drop_given_up_assignments(&mut self) {
        let configuration = sync::Arc::clone(&self.state.configuration);
        let assignments = &mut self.state.assignments;
        assignments.retain(|_, a| !is_given_up(&configuration, &a.server));
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

// Reports whether the domain of a server was given up.
fn is_given_up(configuration: &configuration::Configuration, name: &names::ServerName) -> bool {
    let server = configuration.find_server(name);
    let domain = server.and_then(|s| configuration.find_domain(&s.domain));
    domain.is_some_and(configuration::DomainSpec::is_gone)
}

#[derive(Clone)]
struct PatchMerge {
    configuration: sync::Arc<configuration::Configuration>,
    witnesses: collections::BTreeMap<names::DomainName, WitnessSets>,
}
