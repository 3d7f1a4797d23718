//! Where ranges of keys go: who takes those of a lost server, what a new one gets, what moves for
//! load. Plans change a copy of the book; nothing happens before the log has it.

use std::collections;

use crate::names;
use crate::ownership::book;
use crate::ownership::heat;

/// The utilisation above which keys move to cooler servers.
pub const HOT_UTILISATION: f64 = 1.0;
/// By how much the hottest server must exceed the mean for keys to move.
pub const HOT_RATIO: f64 = 1.4;
/// How many moves for load one plan makes for a service.
pub const MAX_MOVES: usize = 6;
/// The least work for which keys move, in slots.
pub const MIN_MOVED_BUSY: f64 = 0.05;
/// How many ranges a service has for each server, at most.
pub const MAX_RANGES_PER_SERVER: usize = 8;

/// A server that may take keys.
#[derive(Clone, Debug)]
pub struct KeyTaker {
    /// The server.
    pub holder: book::KeyHolder,
    /// What it can run, in slots of an ordinary server.
    pub capacity: f64,
}

/// What a plan knows of one service.
#[derive(Debug)]
pub struct ServicePlan<'a> {
    /// The servers that may take keys.
    pub takers: &'a [KeyTaker],
    /// The work of the keys.
    pub heat: &'a heat::HeatMap,
    /// Whether moves for load may begin.
    pub may_move: bool,
}

/// Changes a service's ranges so that servers that may take keys hold them all. Reports whether
/// anything changed.
pub fn plan_service(
    book: &mut book::GrantBook,
    service: &names::ServiceName,
    plan: &ServicePlan<'_>,
) -> bool {
    if plan.takers.is_empty() {
        return false;
    }
    let ranges = book.services.remove(service).unwrap_or_default();
    let mut state = PlanState::new(book, plan, ranges);
    if state.ranges.is_empty() {
        state.place_first();
    } else {
        state.move_from_lost();
        state.fill_joined();
        if plan.may_move {
            state.move_for_load();
        }
    }
    let PlanState {
        ranges, changed, ..
    } = state;
    book.services.insert(service.clone(), ranges);
    changed
}

// A part of a range.
struct RangePart {
    index: usize,
    first: u16,
    last: u16,
    work: f64,
}

struct PlanState<'a, 'b> {
    book: &'a mut book::GrantBook,
    plan: &'a ServicePlan<'b>,
    ranges: Vec<book::RangeEntry>,
    loads: collections::BTreeMap<book::ServerLife, f64>,
    changed: bool,
}

impl<'a, 'b> PlanState<'a, 'b> {
    fn new(
        book: &'a mut book::GrantBook,
        plan: &'a ServicePlan<'b>,
        ranges: Vec<book::RangeEntry>,
    ) -> Self {
        let lives = plan.takers.iter().map(|taker| taker.holder.life.clone());
        let mut loads: collections::BTreeMap<_, _> = lives.map(|life| (life, 0.0)).collect();
        for range in &ranges {
            if let Some(load) = loads.get_mut(&range.holder.life) {
                *load += plan.heat.range(range.first, range.last);
            }
        }
        Self {
            book,
            plan,
            ranges,
            loads,
            changed: false,
        }
    }

    // Splits all keys evenly.
    fn place_first(&mut self) {
        let count = u32::try_from(self.plan.takers.len()).unwrap_or(1);
        let keys = u32::from(book::MAX_KEY) + 1;
        let mut first = 0;
        for (index, taker) in (1..=count).zip(self.plan.takers) {
            let end = keys * index / count;
            let range = book::RangeEntry {
                first: to_key(first),
                last: to_key(end - 1),
                fence: self.book.take_fence(),
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
                .plan
                .heat
                .range(self.ranges[index].first, self.ranges[index].last)
                > fair / 2.0
            {
                self.split_at_load(index, fair / 2.0);
            }
            let taker = self.coolest();
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
        let takers = self.plan.takers.iter();
        let empty: Vec<_> = takers
            .filter(|taker| !holding.contains(&taker.holder.life))
            .map(|taker| taker.holder.clone())
            .collect();
        for joined in empty {
            self.move_part(&joined, self.fair_load());
        }
    }

    fn move_for_load(&mut self) {
        for _ in 0..MAX_MOVES {
            if self.ranges.len() >= self.plan.takers.len() * MAX_RANGES_PER_SERVER {
                return;
            }
            let Some((_, hot)) = self.hottest() else {
                return;
            };
            let mean = self.mean_utilisation();
            if hot < HOT_UTILISATION || hot < mean * HOT_RATIO {
                return;
            }
            let coolest = self.coolest();
            if !self.move_part(&coolest, f64::INFINITY) {
                return;
            }
        }
    }

    // Moves a part of the hottest server's keys to `target`: up to half of the difference, and no
    // more than `most`. A key that is hot by itself stays; the keys beside it go.
    fn move_part(&mut self, target: &book::KeyHolder, most: f64) -> bool {
        let Some((life, _)) = self.hottest() else {
            return false;
        };
        if life == target.life {
            return false;
        }
        let load = |state: &Self, life: &book::ServerLife| state.loads.get(life).copied();
        let gap = load(self, &life).unwrap_or(0.0) - load(self, &target.life).unwrap_or(0.0);
        let wanted = (gap / 2.0).min(most);
        let Some(part) = self.best_part(&life, wanted) else {
            return false;
        };
        let index = self.cut_part(&part);
        self.assign(index, target);
        true
    }

    // The part of a server's ranges with the most work that is within `wanted`.
    fn best_part(&self, life: &book::ServerLife, wanted: f64) -> Option<RangePart> {
        let owned = self.ranges.iter().enumerate();
        // A range on its way stays as it is.
        let owned = owned.filter(|(_, range)| range.holder.life == *life && range.formers.is_empty());
        let parts = owned.flat_map(|(index, range)| self.parts_of(index, range, wanted));
        let best = parts.max_by(|a, b| a.work.total_cmp(&b.work));
        best.filter(|part| part.work >= MIN_MOVED_BUSY)
    }

    fn parts_of(&self, index: usize, range: &book::RangeEntry, wanted: f64) -> Vec<RangePart> {
        let heat = self.plan.heat;
        let (first, last) = (range.first, range.last);
        let head = heat.head_within(first, last, wanted).map(|end| (first, end));
        let tail = heat.tail_within(first, last, wanted).map(|start| (start, last));
        let parts = head.into_iter().chain(tail);
        let parts = parts.map(|(first, last)| RangePart {
            index,
            first,
            last,
            work: heat.range(first, last),
        });
        parts.collect()
    }

    // Makes a part a range of its own, with the same fence and holder; returns its position.
    fn cut_part(&mut self, part: &RangePart) -> usize {
        let mut index = part.index;
        let range = self.ranges[index].clone();
        if part.last < range.last {
            let rest = book::RangeEntry { first: part.last + 1, ..range.clone() };
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
        let end = self.plan.heat.head_within(first, last, wanted).unwrap_or(first);
        if end < last {
            let work = self.plan.heat.range(first, end);
            self.cut_part(&RangePart { index, first, last: end, work });
        }
    }

    fn assign(&mut self, index: usize, target: &book::KeyHolder) {
        let fence = self.book.take_fence();
        let range = &mut self.ranges[index];
        let work = self.plan.heat.range(range.first, range.last);
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

    fn utilisation(&self, taker: &KeyTaker) -> f64 {
        let load = self.loads.get(&taker.holder.life).copied().unwrap_or(0.0);
        load / taker.capacity.max(f64::MIN_POSITIVE)
    }

    fn hottest(&self) -> Option<(book::ServerLife, f64)> {
        let takers = self.plan.takers.iter();
        let rated = takers.map(|taker| (taker.holder.life.clone(), self.utilisation(taker)));
        rated.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn coolest(&self) -> book::KeyHolder {
        let takers = self.plan.takers.iter();
        let coolest = takers.min_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)));
        // `plan_service` returns early where there is no taker.
        coolest.unwrap_or(&self.plan.takers[0]).holder.clone()
    }

    fn mean_utilisation(&self) -> f64 {
        let capacity: f64 = self.plan.takers.iter().map(|taker| taker.capacity).sum();
        self.loads.values().sum::<f64>() / capacity.max(f64::MIN_POSITIVE)
    }

    fn fair_load(&self) -> f64 {
        let total = self.plan.heat.range(0, book::MAX_KEY);
        let count = u32::try_from(self.plan.takers.len()).unwrap_or(1);
        total / f64::from(count.max(1))
    }
}

fn to_key(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(book::MAX_KEY)
}
