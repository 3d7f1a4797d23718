//! Plans assignments: reassigns the ranges of lost servers, gives keys to new servers and balances
//! load. A plan changes a copy of the assignment table, which takes effect once it is in the log.

use std::collections;

use crate::names;
use crate::ownership::assignment;
use crate::ownership::evacuation;
use crate::ownership::key_load;

/// Difference in level between two servers from which keys move, by the steady load average.
pub const STEADY_GAP: f64 = 0.5;
/// Difference in level between two servers from which keys move, by the quick load average.
pub const QUICK_GAP: f64 = 1.0;
/// By how much the move of a single key must lower the higher level.
pub const MIN_GAIN: f64 = 0.15;
/// What an ordinary server's response time adds to its level while all servers are idle. Slow
/// servers respond late even when they are idle. The addition falls to 0 as the servers fill up.
pub const SLOWNESS_WEIGHT: f64 = 0.25;
/// The bounds to which a measured speed is clamped.
pub const SPEED_BOUNDS: (f64, f64) = (0.3, 2.5);
/// Maximum number of moves for load in one balancing pass over a service.
pub const MAX_MOVES: usize = 6;
/// By how much the other server must be faster for a key to move that overloads any server by itself. Each move
/// interrupts the key, and measured speeds differ by less from one moment to the next.
pub const MIN_SPEEDUP: f64 = 1.5;
/// Minimum load of a sub-range that moves to balance load, in busy slots.
pub const MIN_MOVED_BUSY: f64 = 0.15;
/// Number of ranges for each server of a service from which no more ranges are split for load.
pub const MAX_RANGES_PER_SERVER: usize = 8;

/// A server that may be assigned keys.
#[derive(Clone, Debug)]
pub struct CandidateServer {
    /// The server.
    pub holder: assignment::KeyHolder,
    /// How many requests it processes concurrently.
    pub slots: f64,
    /// Its speed relative to an ordinary server, which has 1.
    pub speed: f64,
}

impl CandidateServer {
    // The capacity, in slots of an ordinary server.
    fn capacity(&self) -> f64 {
        (self.slots * self.speed).max(f64::MIN_POSITIVE)
    }

    // The level by which servers are compared: the utilization at `load`, and an addition for slow
    // servers. Keys move from servers with a high level to servers with a low one.
    fn level(&self, load: f64, slowness: f64) -> f64 {
        load / self.capacity() + slowness / self.speed
    }
}

/// Returns a server's speed from the usual and its own service time, in milliseconds. It is 1 where
/// either is not known.
#[must_use]
pub fn speed(usual: Option<f64>, own: Option<f64>) -> f64 {
    let known = usual.zip(own).filter(|(_, own)| *own > 0.0);
    let speed = known.map_or(1.0, |(usual, own)| usual / own);
    speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
}

/// The input of a plan for one service.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The servers that may be assigned keys.
    pub candidates: &'a [CandidateServer],
    /// The load of the keys.
    pub key_loads: &'a key_load::KeyLoadMaps,
    /// Whether keys may move to balance load.
    pub may_move: bool,
    /// The ranges that stay for now with servers that are no candidates.
    pub staying: &'a evacuation::StayingRanges,
}

/// Changes the ranges of a service so that every key is assigned to a candidate server. Reports
/// whether the table changed.
pub fn plan_service(
    table: &mut assignment::AssignmentTable,
    service: &names::ServiceName,
    plan: &PlanInput<'_>,
) -> bool {
    if plan.candidates.is_empty() {
        return false;
    }
    let ranges = table.services.remove(service).unwrap_or_default();
    let mut state = PlanState::new(table, plan.candidates, &plan.key_loads.steady, ranges);
    if state.ranges.is_empty() {
        state.assign_initially();
    } else {
        state.reassign_lost(plan.staying);
        state.fill_new_servers();
        if plan.may_move {
            state.move_for_load(STEADY_GAP);
        }
    }
    let (ranges, mut changed) = (state.ranges, state.changed);
    let mut quick = PlanState::new(table, plan.candidates, &plan.key_loads.quick, ranges);
    if plan.may_move {
        quick.move_for_load(QUICK_GAP);
    }
    changed |= quick.changed;
    let ranges = quick.ranges;
    table.services.insert(service.clone(), ranges);
    changed
}

/// Allocates a new fence for each range that is a part of one in `before` and has its fence. A former granter
/// that knows the whole range may take a hold of the part for one of the whole.
pub fn raise_split_fences(
    table: &mut assignment::AssignmentTable,
    before: &assignment::AssignmentTable,
) {
    let mut services = std::mem::take(&mut table.services);
    for (service, ranges) in &mut services {
        let known = before.services.get(service).into_iter().flatten();
        let known = known.map(|range| (range.fence, (range.first, range.last)));
        let known: collections::BTreeSet<_> = known.collect();
        let fences: collections::BTreeSet<_> = known.iter().map(|(fence, _)| *fence).collect();
        let parts = ranges.iter_mut().filter(|range| {
            let is_known = known.contains(&(range.fence, (range.first, range.last)));
            fences.contains(&range.fence) && !is_known
        });
        for range in parts {
            range.fence = table.allocate_fence();
        }
    }
    table.services = services;
}

// A sub-range of the range at `index`.
struct RangePart {
    index: usize,
    first: u16,
    last: u16,
    load: f64,
}

struct PlanState<'a> {
    table: &'a mut assignment::AssignmentTable,
    candidates: &'a [CandidateServer],
    key_loads: &'a key_load::LoadMap,
    ranges: Vec<assignment::RangeEntry>,
    loads: collections::BTreeMap<assignment::ServerIncarnation, f64>,
    slowness: f64,
    changed: bool,
}

impl<'a> PlanState<'a> {
    fn new(
        table: &'a mut assignment::AssignmentTable,
        candidates: &'a [CandidateServer],
        key_loads: &'a key_load::LoadMap,
        ranges: Vec<assignment::RangeEntry>,
    ) -> Self {
        let incarnations = candidates
            .iter()
            .map(|candidate| candidate.holder.life.clone());
        let mut loads: collections::BTreeMap<_, _> =
            incarnations.map(|incarnation| (incarnation, 0.0)).collect();
        for range in &ranges {
            if let Some(load) = loads.get_mut(&range.holder.life) {
                *load += key_loads.range(range.first, range.last);
            }
        }
        let capacity: f64 = candidates.iter().map(CandidateServer::capacity).sum();
        let filled = key_loads.range(0, assignment::MAX_KEY) / capacity.max(f64::MIN_POSITIVE);
        Self {
            table,
            candidates,
            key_loads,
            ranges,
            loads,
            slowness: SLOWNESS_WEIGHT * (1.0 - filled).clamp(0.0, 1.0),
            changed: false,
        }
    }

    // Assigns equal numbers of keys to all candidates.
    fn assign_initially(&mut self) {
        let count = u32::try_from(self.candidates.len()).unwrap_or(1);
        let keys = u32::from(assignment::MAX_KEY) + 1;
        let mut first = 0;
        for (index, candidate) in (1..=count).zip(self.candidates) {
            let end = keys * index / count;
            let range = assignment::RangeEntry {
                first: to_key(first),
                last: to_key(end - 1),
                fence: self.table.allocate_fence(),
                holder: candidate.holder.clone(),
                formers: Vec::new(),
            };
            self.ranges.push(range);
            first = end;
        }
        self.changed = true;
    }

    // Reassigns the ranges of servers that are no longer candidates to the least loaded ones, in
    // pieces of at most about half a fair load, so that the load spreads. Those that stay for now are left.
    fn reassign_lost(&mut self, staying: &evacuation::StayingRanges) {
        let fair = self.fair_load();
        let mut index = 0;
        while index < self.ranges.len() {
            let range = &self.ranges[index];
            if self.loads.contains_key(&range.holder.life) || staying.contains(&range.first) {
                index += 1;
                continue;
            }
            if self
                .key_loads
                .range(self.ranges[index].first, self.ranges[index].last)
                > fair / 2.0
            {
                self.split_at_load(index, fair / 2.0);
            }
            let candidate = self.candidates[self.least_loaded()].holder.clone();
            self.assign(index, &candidate);
            index += 1;
        }
    }

    // Assigns keys of the most loaded servers to servers without keys.
    fn fill_new_servers(&mut self) {
        let holding: collections::BTreeSet<_> = self
            .ranges
            .iter()
            .map(|range| range.holder.life.clone())
            .collect();
        let candidates = self.candidates.iter();
        let empty: Vec<_> = candidates
            .filter(|candidate| !holding.contains(&candidate.holder.life))
            .map(|candidate| candidate.holder.clone())
            .collect();
        for new_server in empty {
            self.move_part(&new_server, self.fair_load() / 2.0);
        }
    }

    fn move_for_load(&mut self, gap: f64) {
        for _ in 0..MAX_MOVES {
            if self.ranges.len() >= self.candidates.len() * MAX_RANGES_PER_SERVER {
                return;
            }
            let (most_loaded, least_loaded) = (self.most_loaded(), self.least_loaded());
            if self.level(most_loaded) - self.level(least_loaded) < gap {
                return;
            }
            if !self.balance(most_loaded, least_loaded) {
                return;
            }
        }
    }

    // Moves a sub-range between two servers so that their levels meet: a key with too much load by
    // itself stays, and keys beside it move. Where no sub-range fits, the busiest key moves if the
    // other server has a lower level with it.
    fn balance(&mut self, most_loaded: usize, least_loaded: usize) -> bool {
        let (from, to) = (
            &self.candidates[most_loaded],
            &self.candidates[least_loaded],
        );
        let gap = self.level(most_loaded) - self.level(least_loaded);
        let wanted = gap / (1.0 / from.capacity() + 1.0 / to.capacity());
        let part = self.best_part(&from.holder.life, wanted, MIN_MOVED_BUSY);
        let part = part.or_else(|| self.busiest_key_part(most_loaded, least_loaded));
        let Some(part) = part else {
            return false;
        };
        let target = to.holder.clone();
        let index = self.cut_part(&part);
        self.assign(index, &target);
        true
    }

    // The most loaded key of a server, if the other server would have a lower level with it.
    fn busiest_key_part(&self, most_loaded: usize, least_loaded: usize) -> Option<RangePart> {
        let (from, to) = (
            &self.candidates[most_loaded],
            &self.candidates[least_loaded],
        );
        let incarnation = &from.holder.life;
        let owned = self.ranges.iter().enumerate();
        let owned = owned
            .filter(|(_, range)| range.holder.life == *incarnation && range.formers.is_empty());
        let keys = owned.filter_map(|(index, range)| {
            let (key, load) = self.key_loads.busiest_key(range.first, range.last)?;
            Some(RangePart {
                index,
                first: key,
                last: key,
                load,
            })
        });
        let part = keys.max_by(|a, b| a.load.total_cmp(&b.load))?;
        if part.load > to.capacity() && to.capacity() < from.capacity() * MIN_SPEEDUP {
            return None;
        }
        let load = self.load(to) + part.load;
        let better = to.level(load, self.slowness) + MIN_GAIN < self.level(most_loaded);
        better.then_some(part)
    }

    // Assigns keys of the most loaded server to `target`, with a load of up to `max_load`.
    fn move_part(&mut self, target: &assignment::KeyHolder, max_load: f64) {
        let most_loaded = self.most_loaded();
        let incarnation = self.candidates[most_loaded].holder.life.clone();
        if incarnation == target.life {
            return;
        }
        if let Some(part) = self.best_part(&incarnation, max_load, 0.0) {
            let index = self.cut_part(&self.leave_keys(part));
            self.assign(index, target);
        }
    }

    // Leaves keys to a server whose only range the part covers, as one without load does: it would
    // be the next one to be filled.
    fn leave_keys(&self, part: RangePart) -> RangePart {
        let range = &self.ranges[part.index];
        let owned = self.ranges.iter();
        let owned = owned.filter(|other| other.holder.life == range.holder.life);
        let is_whole = part.first == range.first && part.last == range.last;
        if !is_whole || owned.count() > 1 || part.first == part.last {
            return part;
        }
        let last = part.first + (part.last - part.first) / 2;
        RangePart {
            last,
            load: self.key_loads.range(part.first, last),
            ..part
        }
    }

    // The sub-range of a server's ranges with the highest load from `least` to `wanted`.
    fn best_part(
        &self,
        incarnation: &assignment::ServerIncarnation,
        wanted: f64,
        least: f64,
    ) -> Option<RangePart> {
        let owned = self.ranges.iter().enumerate();
        // A range that is still moving is not split or moved again.
        let owned = owned
            .filter(|(_, range)| range.holder.life == *incarnation && range.formers.is_empty());
        let parts = owned.flat_map(|(index, range)| self.parts_of(index, range, wanted));
        let best = parts.max_by(|a, b| a.load.total_cmp(&b.load));
        best.filter(|part| part.load >= least)
    }

    fn parts_of(
        &self,
        index: usize,
        range: &assignment::RangeEntry,
        wanted: f64,
    ) -> Vec<RangePart> {
        let key_loads = self.key_loads;
        let (first, last) = (range.first, range.last);
        let head = key_loads
            .head_within(first, last, wanted)
            .map(|end| (first, end));
        let tail = key_loads
            .tail_within(first, last, wanted)
            .map(|start| (start, last));
        let parts = head.into_iter().chain(tail);
        let parts = parts.map(|(first, last)| RangePart {
            index,
            first,
            last,
            load: key_loads.range(first, last),
        });
        parts.collect()
    }

    // Splits a sub-range off as a range with the same fence and holder; returns its position.
    fn cut_part(&mut self, part: &RangePart) -> usize {
        let mut index = part.index;
        let range = self.ranges[index].clone();
        if part.last < range.last {
            let rest = assignment::RangeEntry {
                first: part.last + 1,
                ..range.clone()
            };
            self.ranges.insert(index + 1, rest);
        }
        if part.first > range.first {
            self.ranges[index].last = part.first - 1;
            index += 1;
            self.ranges.insert(index, range);
        }
        self.ranges[index].first = part.first;
        self.ranges[index].last = part.last;
        self.changed = true;
        index
    }

    // Splits a range so that its first part has a load of about `wanted`.
    fn split_at_load(&mut self, index: usize, wanted: f64) {
        let (first, last) = (self.ranges[index].first, self.ranges[index].last);
        let end = self
            .key_loads
            .head_within(first, last, wanted)
            .unwrap_or(first);
        if end < last {
            let load = self.key_loads.range(first, end);
            self.cut_part(&RangePart {
                index,
                first,
                last: end,
                load,
            });
        }
    }

    fn assign(&mut self, index: usize, target: &assignment::KeyHolder) {
        let fence = self.table.allocate_fence();
        let range = &mut self.ranges[index];
        let moved = self.key_loads.range(range.first, range.last);
        let former = std::mem::replace(&mut range.holder, target.clone());
        if let Some(load) = self.loads.get_mut(&former.life) {
            *load -= moved;
        }
        if let Some(load) = self.loads.get_mut(&target.life) {
            *load += moved;
        }
        range.formers.retain(|holder| holder.life != former.life);
        range.formers.push(former);
        range.fence = fence;
        self.changed = true;
    }

    fn load(&self, candidate: &CandidateServer) -> f64 {
        self.loads
            .get(&candidate.holder.life)
            .copied()
            .unwrap_or(0.0)
    }

    fn level(&self, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        candidate.level(self.load(candidate), self.slowness)
    }

    fn most_loaded(&self) -> usize {
        let indexes = 0..self.candidates.len();
        let most_loaded = indexes.max_by(|a, b| self.level(*a).total_cmp(&self.level(*b)));
        most_loaded.unwrap_or(0)
    }

    fn least_loaded(&self) -> usize {
        let indexes = 0..self.candidates.len();
        let least_loaded = indexes.min_by(|a, b| self.level(*a).total_cmp(&self.level(*b)));
        least_loaded.unwrap_or(0)
    }

    fn fair_load(&self) -> f64 {
        let total = self.key_loads.range(0, assignment::MAX_KEY);
        let count = u32::try_from(self.candidates.len()).unwrap_or(1);
        total / f64::from(count.max(1))
    }
}

fn to_key(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(assignment::MAX_KEY)
}
