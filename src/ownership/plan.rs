//! Where ranges of keys go: who takes those of a lost server, what a new one gets, what moves for
//! load. Plans change a copy of the book; nothing happens before the log has it.

use std::collections;

use crate::names;
use crate::ownership::assignment;
use crate::ownership::key_load;

/// By how much the levels of two servers must differ for keys to move, by the steady estimate.
pub const STEADY_GAP: f64 = 0.5;
/// By how much they must differ by the quick estimate.
pub const QUICK_GAP: f64 = 1.0;
/// By how much a move must lower the higher level.
pub const LEAST_GAIN: f64 = 0.15;
/// How much fuller than an infinitely fast server an ordinary one counts while all are idle: slow
/// servers answer late however idle they are. It falls to nothing as the servers fill up.
pub const SLOWNESS_WEIGHT: f64 = 0.25;
/// The lowest and the highest speed that is believed.
pub const SPEED_BOUNDS: (f64, f64) = (0.3, 2.5);
/// How many moves for load one plan makes for a service.
pub const MAX_MOVES: usize = 6;
/// The least work for which keys move to even out loads, in slots.
pub const MIN_MOVED_BUSY: f64 = 0.15;
/// How many ranges a service has for each server, at most.
pub const MAX_RANGES_PER_SERVER: usize = 8;

/// A server that may take keys.
#[derive(Clone, Debug)]
pub struct CandidateServer {
    /// The server.
    pub holder: assignment::KeyHolder,
    /// How many requests it runs at a time.
    pub slots: f64,
    /// How fast it is, 1 for an ordinary server.
    pub speed: f64,
}

impl CandidateServer {
    // What it can run, in slots of an ordinary server.
    fn capacity(&self) -> f64 {
        (self.slots * self.speed).max(f64::MIN_POSITIVE)
    }

    // How full it is with `load`, and how slow; keys go from high levels to low ones.
    fn level(&self, load: f64, slowness: f64) -> f64 {
        load / self.capacity() + slowness / self.speed
    }
}

/// Returns a server's speed from the usual time of a request and its own, in milliseconds.
#[must_use]
pub fn speed(usual: Option<f64>, own: Option<f64>) -> f64 {
    let known = usual.zip(own).filter(|(_, own)| *own > 0.0);
    let speed = known.map_or(1.0, |(usual, own)| usual / own);
    speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
}

/// What a plan knows of one service.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The servers that may take keys.
    pub candidates: &'a [CandidateServer],
    /// The work of the keys.
    pub key_loads: &'a key_load::KeyLoadMaps,
    /// Whether moves for load may begin.
    pub may_move: bool,
}

/// Changes a service's ranges so that servers that may take keys hold them all. Reports whether
/// anything changed.
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
        state.place_first();
    } else {
        state.move_from_lost();
        state.fill_joined();
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

// A part of a range.
struct RangePart {
    index: usize,
    first: u16,
    last: u16,
    work: f64,
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
        let lives = candidates.iter().map(|taker| taker.holder.life.clone());
        let mut loads: collections::BTreeMap<_, _> = lives.map(|life| (life, 0.0)).collect();
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

    // Splits all keys evenly.
    fn place_first(&mut self) {
        let count = u32::try_from(self.candidates.len()).unwrap_or(1);
        let keys = u32::from(assignment::MAX_KEY) + 1;
        let mut first = 0;
        for (index, taker) in (1..=count).zip(self.candidates) {
            let end = keys * index / count;
            let range = assignment::RangeEntry {
                first: to_key(first),
                last: to_key(end - 1),
                fence: self.table.take_fence(),
                holder: taker.holder.clone(),
                formers: Vec::new(),
            };
            self.ranges.push(range);
            first = end;
        }
        self.changed = true;
    }

    // Gives the ranges of servers that may not hold keys any longer to the coolest ones, in pieces
    // that even them out.
    fn move_from_lost(&mut self) {
        let fair = self.fair_load();
        let mut index = 0;
        while index < self.ranges.len() {
            if self.loads.contains_key(&self.ranges[index].holder.life) {
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
            let taker = self.candidates[self.coolest()].holder.clone();
            self.assign(index, &taker);
            index += 1;
        }
    }

    // Gives servers without keys a part of the hottest servers' keys.
    fn fill_joined(&mut self) {
        let holding: collections::BTreeSet<_> = self
            .ranges
            .iter()
            .map(|range| range.holder.life.clone())
            .collect();
        let candidates = self.candidates.iter();
        let empty: Vec<_> = candidates
            .filter(|taker| !holding.contains(&taker.holder.life))
            .map(|taker| taker.holder.clone())
            .collect();
        for joined in empty {
            self.move_part(&joined, self.fair_load() / 2.0);
        }
    }

    fn move_for_load(&mut self, gap: f64) {
        for _ in 0..MAX_MOVES {
            if self.ranges.len() >= self.candidates.len() * MAX_RANGES_PER_SERVER {
                return;
            }
            let (hottest, coolest) = (self.hottest(), self.coolest());
            if self.level(hottest) - self.level(coolest) < gap {
                return;
            }
            if !self.even_out(hottest, coolest) {
                return;
            }
        }
    }

    // Moves keys from one server to another until their levels meet. A key that is hot by itself
    // stays, and the keys beside it go, unless the other server does better with it.
    fn even_out(&mut self, hottest: usize, coolest: usize) -> bool {
        let (from, to) = (&self.candidates[hottest], &self.candidates[coolest]);
        let gap = self.level(hottest) - self.level(coolest);
        let wanted = gap / (1.0 / from.capacity() + 1.0 / to.capacity());
        let part = self.best_part(&from.holder.life, wanted, MIN_MOVED_BUSY);
        let part = part.or_else(|| self.hot_key_part(hottest, coolest));
        let Some(part) = part else {
            return false;
        };
        let target = to.holder.clone();
        let index = self.cut_part(&part);
        self.assign(index, &target);
        true
    }

    // The hottest single key of a server, where another server would be less full with it.
    fn hot_key_part(&self, hottest: usize, coolest: usize) -> Option<RangePart> {
        let (from, to) = (&self.candidates[hottest], &self.candidates[coolest]);
        let life = &from.holder.life;
        let owned = self.ranges.iter().enumerate();
        let owned =
            owned.filter(|(_, range)| range.holder.life == *life && range.formers.is_empty());
        let keys = owned.filter_map(|(index, range)| {
            let (key, work) = self.key_loads.hottest_key(range.first, range.last)?;
            Some(RangePart {
                index,
                first: key,
                last: key,
                work,
            })
        });
        let part = keys.max_by(|a, b| a.work.total_cmp(&b.work))?;
        let load = self.load(to) + part.work;
        let better = to.level(load, self.slowness) + LEAST_GAIN < self.level(hottest);
        better.then_some(part)
    }

    // Gives `target` keys of the hottest server with up to `most` work.
    fn move_part(&mut self, target: &assignment::KeyHolder, most: f64) {
        let hottest = self.hottest();
        let life = self.candidates[hottest].holder.life.clone();
        if life == target.life {
            return;
        }
        if let Some(part) = self.best_part(&life, most, 0.0) {
            let index = self.cut_part(&part);
            self.assign(index, target);
        }
    }

    // The part of a server's ranges with the most work from `least` to `wanted`.
    fn best_part(
        &self,
        life: &assignment::ServerIncarnation,
        wanted: f64,
        least: f64,
    ) -> Option<RangePart> {
        let owned = self.ranges.iter().enumerate();
        // A range on its way stays as it is.
        let owned =
            owned.filter(|(_, range)| range.holder.life == *life && range.formers.is_empty());
        let parts = owned.flat_map(|(index, range)| self.parts_of(index, range, wanted));
        let best = parts.max_by(|a, b| a.work.total_cmp(&b.work));
        best.filter(|part| part.work >= least)
    }

    fn parts_of(
        &self,
        index: usize,
        range: &assignment::RangeEntry,
        wanted: f64,
    ) -> Vec<RangePart> {
        let work = self.key_loads;
        let (first, last) = (range.first, range.last);
        let head = work
            .head_within(first, last, wanted)
            .map(|end| (first, end));
        let tail = work
            .tail_within(first, last, wanted)
            .map(|start| (start, last));
        let parts = head.into_iter().chain(tail);
        let parts = parts.map(|(first, last)| RangePart {
            index,
            first,
            last,
            work: work.range(first, last),
        });
        parts.collect()
    }

    // Makes a part a range of its own, with the same fence and holder; returns its position.
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

    // Splits a range so that its first part has about `wanted` work.
    fn split_at_load(&mut self, index: usize, wanted: f64) {
        let (first, last) = (self.ranges[index].first, self.ranges[index].last);
        let end = self
            .key_loads
            .head_within(first, last, wanted)
            .unwrap_or(first);
        if end < last {
            let work = self.key_loads.range(first, end);
            self.cut_part(&RangePart {
                index,
                first,
                last: end,
                work,
            });
        }
    }

    fn assign(&mut self, index: usize, target: &assignment::KeyHolder) {
        let fence = self.table.take_fence();
        let range = &mut self.ranges[index];
        let work = self.key_loads.range(range.first, range.last);
        let former = std::mem::replace(&mut range.holder, target.clone());
        if let Some(load) = self.loads.get_mut(&former.life) {
            *load -= work;
        }
        if let Some(load) = self.loads.get_mut(&target.life) {
            *load += work;
        }
        range.formers.retain(|holder| holder.life != former.life);
        range.formers.push(former);
        range.fence = fence;
        self.changed = true;
    }

    fn load(&self, taker: &CandidateServer) -> f64 {
        self.loads.get(&taker.holder.life).copied().unwrap_or(0.0)
    }

    fn level(&self, index: usize) -> f64 {
        let taker = &self.candidates[index];
        taker.level(self.load(taker), self.slowness)
    }

    fn hottest(&self) -> usize {
        let indexes = 0..self.candidates.len();
        let hottest = indexes.max_by(|a, b| self.level(*a).total_cmp(&self.level(*b)));
        hottest.unwrap_or(0)
    }

    fn coolest(&self) -> usize {
        let indexes = 0..self.candidates.len();
        let coolest = indexes.min_by(|a, b| self.level(*a).total_cmp(&self.level(*b)));
        coolest.unwrap_or(0)
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
