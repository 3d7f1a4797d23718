//! Restoring what the log lost when it came back from an older copy. A host appends the state that it
//! had replayed; the replay merges it, so that all hosts get the same result.

use std::collections;
use std::sync;

use crate::configuration;
use crate::names;
use crate::record;
use crate::replay;

impl replay::ReplayState {
    /// Reports whether the state has all patches, terms, assignments and settlements of `known`.
    #[must_use]
    pub fn covers(&self, known: &Self) -> bool {
        self.version >= known.version
            && self.has_patches_of(known)
            && self.has_terms_of(known)
            && self.has_assignments_of(known)
            && self.has_settlements_of(known)
    }

    // An accepted patch whose version is older than all verdicts that are kept counts as known.
    fn has_patches_of(&self, known: &Self) -> bool {
        let accepted = self.accepted();
        let is_full = self.verdicts.len() >= replay::MAX_VERDICTS;
        let oldest = accepted.values().min().copied().unwrap_or(0);
        let mut wanted = known.accepted().into_iter();
        wanted.all(|(id, version)| accepted.contains_key(id) || (is_full && version < oldest))
    }

    fn accepted(&self) -> collections::BTreeMap<&names::RecordId, u64> {
        let accepted = self
            .verdicts
            .iter()
            .filter_map(|entry| match entry.verdict {
                replay::PatchVerdict::Accepted { version } => Some((&entry.id, version)),
                _ => None,
            });
        accepted.collect()
    }

    fn has_terms_of(&self, known: &Self) -> bool {
        let mut terms = known.terms.iter();
        terms.all(|(domain, term)| self.terms.get(domain) >= Some(term))
    }

    fn has_assignments_of(&self, known: &Self) -> bool {
        known.assignments.iter().all(|(shard, assignment)| {
            let own = self.assignments.get(shard);
            own.is_some_and(|own| own.fence >= assignment.fence)
                || replay::is_given_up(&self.configuration, &assignment.server)
        })
    }

    fn has_settlements_of(&self, known: &Self) -> bool {
        known.witnesses.iter().all(|(domain, sets)| {
            let own = self.witnesses.get(domain);
            !own.is_some_and(|own| own.lacks_settlement_of(sets))
        })
    }

    // Returns the kept patches that `other` has not accepted.
    fn patches_missing_in(&self, other: &Self) -> Vec<replay::AcceptedPatch> {
        let accepted = other.accepted();
        let missing = self
            .patches
            .iter()
            .filter(|p| !accepted.contains_key(&p.id));
        missing.cloned().collect()
    }

    // Reports whether all patches that `other` has not accepted are kept here.
    fn keeps_patches_missing_in(&self, other: &Self) -> bool {
        let missing = self.patches_missing_in(other).len();
        let accepted = other.accepted();
        let total = self.accepted();
        total
            .keys()
            .filter(|id| !accepted.contains_key(*id))
            .count()
            == missing
    }

    fn merge_grants(&mut self, known: &Self) {
        for (domain, term) in &known.terms {
            if self.terms.get(domain) < Some(term) {
                self.terms.insert(domain.clone(), sync::Arc::clone(term));
            }
        }
        for (shard, assignment) in &known.assignments {
            let own = self.assignments.get(shard);
            if own.is_none_or(|own| own.fence < assignment.fence) {
                self.assignments.insert(shard.clone(), assignment.clone());
            }
        }
        for (domain, sets) in &known.witnesses {
            if let Some(own) = self.witnesses.get_mut(domain) {
                own.merge_settlement(sets);
            }
        }
    }

    fn merge_verdicts(&mut self, known: &Self) {
        for entry in &known.verdicts {
            let own = self.verdicts.iter_mut().find(|own| own.id == entry.id);
            match own {
                Some(own) if !is_accepted(&own.verdict) => own.verdict = entry.verdict.clone(),
                Some(_) => {}
                None => self.verdicts.push_back(entry.clone()),
            }
        }
        while self.verdicts.len() > replay::MAX_VERDICTS {
            self.verdicts.pop_front();
        }
    }
}

const fn is_accepted(verdict: &replay::PatchVerdict) -> bool {
    matches!(verdict, replay::PatchVerdict::Accepted { .. })
}

impl replay::LogReplay {
    pub(super) fn apply_restore(&mut self, body: &record::CheckpointBody) -> replay::ReplayEffect {
        let Some(known) = self.state.restoring.add(body) else {
            return replay::ReplayEffect::CheckpointSeen;
        };
        self.state.restoring = replay::CheckpointAssembly::new();
        replay::ReplayEffect::Restored {
            digest: body.digest,
            omitted: self.restore(&known),
        }
    }

    // Merges a state of another history. Patches that only one of the two accepted are applied to
    // the configuration of the other, under versions above those of both. Returns the number of
    // changes that could not be applied.
    fn restore(&mut self, known: &replay::ReplayState) -> usize {
        if self.state.covers(known) {
            return 0;
        }
        let own = self.state.clone();
        let mut omitted = 0;
        if own.version < known.version || !own.has_patches_of(known) {
            let keeps_own = own.keeps_patches_missing_in(known);
            let patches = if keeps_own {
                self.adopt_patches(known);
                self.state.merge_verdicts(&own);
                own.patches_missing_in(known)
            } else {
                self.state.merge_verdicts(known);
                known.patches_missing_in(&own)
            };
            self.state.version = own.version.max(known.version);
            omitted = patches.iter().map(|patch| self.reapply(patch)).sum();
        }
        self.state.merge_grants(known);
        self.state.merge_grants(&own);
        self.drop_given_up_assignments();
        omitted
    }

    fn adopt_patches(&mut self, known: &replay::ReplayState) {
        self.state.configuration = sync::Arc::clone(&known.configuration);
        self.state.witnesses = known.witnesses.clone();
        self.state.verdicts.clone_from(&known.verdicts);
        self.state.patches.clone_from(&known.patches);
    }

    fn reapply(&mut self, patch: &replay::AcceptedPatch) -> usize {
        let before = sync::Arc::clone(&self.state.configuration);
        let whole = self.reapply_changes(&patch.changes);
        let omitted = if whole {
            0
        } else {
            let singles = patch.changes.chunks(1);
            singles
                .filter(|change| !self.reapply_changes(change))
                .count()
        };
        self.keep_out_of_use(&before);
        self.state.version += 1;
        self.drop_given_up_assignments();
        self.keep_patch(&patch.id, &patch.changes);
        let version = self.state.version;
        let verdicts = &mut self.state.verdicts;
        if let Some(entry) = verdicts.iter_mut().find(|entry| entry.id == patch.id) {
            entry.verdict = replay::PatchVerdict::Accepted { version };
        }
        omitted
    }

    fn reapply_changes(&mut self, changes: &[configuration::ConfigurationChange]) -> bool {
        let body = record::PatchBody {
            base: self.state.version,
            changes: changes.to_vec(),
        };
        let Ok(merge) = self.merge(&body) else {
            return false;
        };
        self.state.configuration = merge.configuration;
        self.state.witnesses = merge.witnesses;
        true
    }

    // A patch that was written without knowledge of a retirement or withdrawal does not undo it.
    fn keep_out_of_use(&mut self, before: &configuration::Configuration) {
        let configuration = sync::Arc::make_mut(&mut self.state.configuration);
        for feature in &mut configuration.feature {
            let old = before.find_feature(&feature.name);
            if let Some(old) = old.filter(|f| f.status == configuration::FeatureStatus::Retired) {
                feature.status = old.status;
            }
        }
        for server in &mut configuration.server {
            let old = before.find_server(&server.name);
            if let Some(old) = old.filter(|server| server.is_withdrawn()) {
                server.withdrawn = old.withdrawn;
            }
        }
    }

    pub(super) fn keep_patch(
        &mut self,
        id: &names::RecordId,
        changes: &[configuration::ConfigurationChange],
    ) {
        let patches = &mut self.state.patches;
        patches.retain(|patch| patch.id != *id);
        patches.push_back(replay::AcceptedPatch {
            id: id.clone(),
            changes: changes.to_vec(),
        });
        let count = |p: &collections::VecDeque<replay::AcceptedPatch>| -> usize {
            p.iter().map(|patch| patch.changes.len()).sum()
        };
        while count(patches) > replay::MAX_KEPT_CHANGES {
            patches.pop_front();
        }
    }
}
