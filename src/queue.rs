//! The queue in front of one server at one host: urgent work first, with a floor for the rest.

use std::collections;
use std::time;

use crate::clock;
use crate::configuration;
use crate::limit;
use crate::outcome;
use crate::retry;

/// The longest queue of one rank.
pub const MAX_QUEUED_PER_RANK: usize = 4_096;
/// The weight of the newest service time in the running estimate.
pub const ESTIMATE_WEIGHT: f64 = 0.1;
/// The credit at which a rank's floor is due, in percent points.
const FLOOR_CREDIT: u32 = 100;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct WaitingRequest<T> {
    /// What the caller of the queue knows it by.
    pub ticket: T,
    /// Its rank.
    pub rank: configuration::WorkRank,
    /// When it came.
    pub arrived: clock::MonoTime,
    /// When it must be answered.
    pub deadline: clock::MonoTime,
}

/// A request that left the queue without being served.
#[derive(Clone, Debug)]
pub struct DroppedRequest<T> {
    /// What the caller of the queue knows it by.
    pub ticket: T,
    /// Why it was dropped.
    pub reason: outcome::RefusalReason,
}

/// What became of the requests that a step touched.
#[derive(Debug)]
pub struct QueueYield<T> {
    /// The requests to send now.
    pub permitted: Vec<T>,
    /// The requests that were dropped.
    pub dropped: Vec<DroppedRequest<T>>,
}

/// How urgent work goes before other work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By rank, with floors, deadlines and refusals.
    ByRank,
    /// In order of arrival, without limits: the baseline of the measurements.
    FirstInFirstOut,
}

/// The queue, limit and retry budget of one server at one host.
#[derive(Debug)]
pub struct ServerQueue<T> {
    policy: QueuePolicy,
    ranks: [collections::VecDeque<WaitingRequest<T>>; configuration::WorkRank::COUNT],
    floors: [u32; configuration::WorkRank::COUNT],
    credits: [u32; configuration::WorkRank::COUNT],
    limit: limit::ConcurrencyLimit,
    budget: retry::RetryBudget,
    running: u32,
    estimate: Option<time::Duration>,
}

impl<T> ServerQueue<T> {
    /// Creates an empty queue for a server with `slots`, shared by `hosts`.
    #[must_use]
    pub fn new(slots: u32, hosts: usize) -> Self {
        Self {
            policy: QueuePolicy::ByRank,
            ranks: std::array::from_fn(|_| collections::VecDeque::new()),
            floors: [0; configuration::WorkRank::COUNT],
            credits: [0; configuration::WorkRank::COUNT],
            limit: limit::ConcurrencyLimit::new(slots, hosts),
            budget: retry::RetryBudget::new(),
            running: 0,
            estimate: None,
        }
    }

    /// Sets the floor of each rank, in percent of the server.
    #[must_use]
    pub fn with_floors(mut self, percent: [u8; configuration::WorkRank::COUNT]) -> Self {
        self.floors = percent.map(u32::from);
        self
    }

    /// Sets the policy.
    #[must_use]
    pub const fn with_policy(mut self, policy: QueuePolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.ranks.iter().map(collections::VecDeque::len).sum()
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the limit.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit.value()
    }

    /// Takes a fresh request.
    ///
    /// # Errors
    /// Fails with the ticket when the queue is full, or too long for the deadline.
    pub fn push(
        &mut self,
        request: WaitingRequest<T>,
        now: clock::MonoTime,
    ) -> Result<(), DroppedRequest<T>> {
        self.budget.deposit();
        self.admit(request, now)
    }

    /// Takes a request that is to be sent again.
    ///
    /// # Errors
    /// Fails like [`Self::push`], and when the retry budget is used up.
    pub fn push_retry(
        &mut self,
        request: WaitingRequest<T>,
        now: clock::MonoTime,
    ) -> Result<(), DroppedRequest<T>> {
        if !self.budget.allows() {
            return Err(DroppedRequest {
                ticket: request.ticket,
                reason: outcome::RefusalReason::RetryBudget,
            });
        }
        self.admit(request, now)?;
        self.budget.withdraw();
        Ok(())
    }

    fn admit(
        &mut self,
        request: WaitingRequest<T>,
        now: clock::MonoTime,
    ) -> Result<(), DroppedRequest<T>> {
        let index = request.rank.index();
        let by_rank = self.policy == QueuePolicy::ByRank;
        let reason = if by_rank && self.ranks[index].len() >= MAX_QUEUED_PER_RANK {
            Some(outcome::RefusalReason::QueueFull)
        } else if by_rank {
            self.refusal_by_time(&request, now)
        } else {
            None
        };
        if let Some(reason) = reason {
            let ticket = request.ticket;
            return Err(DroppedRequest { ticket, reason });
        }
        self.ranks[index].push_back(request);
        Ok(())
    }

    // A request that had no time left when it came is late; one that would wait too long, behind all
    // that go before it or behind its own rank at the rank's floor, whichever is shorter, is hopeless.
    fn refusal_by_time(
        &self,
        request: &WaitingRequest<T>,
        now: clock::MonoTime,
    ) -> Option<outcome::RefusalReason> {
        let left = request.deadline.since(now);
        let estimate = self.estimate.unwrap_or_default();
        if left.is_zero() || estimate > left {
            return Some(outcome::RefusalReason::DeadlineQueued);
        }
        let index = request.rank.index();
        let before: usize = self.ranks[..=index]
            .iter()
            .map(collections::VecDeque::len)
            .sum();
        let slots = self.limit.value();
        let in_turn = rounds(before, slots);
        let floor = f64::from(self.floors[index]) / f64::from(FLOOR_CREDIT);
        let by_floor = rounds(self.ranks[index].len(), slots * floor);
        let wait = in_turn.min(by_floor) + 1.0;
        let hopeless = estimate.as_secs_f64() * wait > left.as_secs_f64();
        hopeless.then_some(outcome::RefusalReason::QueueHopeless)
    }

    /// Takes requests out of the queue as long as the limit allows.
    pub fn dispatch_waiting(&mut self, now: clock::MonoTime) -> QueueYield<T> {
        let mut result = QueueYield {
            permitted: Vec::new(),
            dropped: Vec::new(),
        };
        if self.policy == QueuePolicy::ByRank {
            self.drop_late(now, &mut result.dropped);
        }
        while self.has_slot() {
            let Some(request) = self.take_next(now) else {
                break;
            };
            self.running += 1;
            result.permitted.push(request.ticket);
        }
        result
    }

    fn has_slot(&self) -> bool {
        match self.policy {
            QueuePolicy::ByRank => self.limit.allows(self.running),
            QueuePolicy::FirstInFirstOut => true,
        }
    }

    fn drop_late(&mut self, now: clock::MonoTime, dropped: &mut Vec<DroppedRequest<T>>) {
        let needed = self.estimate.unwrap_or_default();
        for rank in &mut self.ranks {
            let late = |request: &WaitingRequest<T>| request.deadline < now + needed;
            while rank.front().is_some_and(late) {
                if let Some(request) = rank.pop_front() {
                    dropped.push(DroppedRequest {
                        ticket: request.ticket,
                        reason: outcome::RefusalReason::DeadlineQueued,
                    });
                }
            }
        }
    }

    fn take_next(&mut self, now: clock::MonoTime) -> Option<WaitingRequest<T>> {
        if self.policy == QueuePolicy::FirstInFirstOut {
            let first = (0..self.ranks.len())
                .filter(|i| !self.ranks[*i].is_empty())
                .min_by_key(|i| self.ranks[*i].front().map(|r| r.arrived))?;
            return self.ranks[first].pop_front();
        }
        let index = self.choose_rank()?;
        let rank = &mut self.ranks[index];
        let overloaded = rank.front().is_some_and(|oldest| {
            let waited = now.since(oldest.arrived);
            waited * 2 > oldest.deadline.since(oldest.arrived)
        });
        if overloaded {
            rank.pop_back()
        } else {
            rank.pop_front()
        }
    }

    fn choose_rank(&mut self) -> Option<usize> {
        let urgent = self.ranks.iter().position(|rank| !rank.is_empty())?;
        for index in urgent + 1..self.ranks.len() {
            let credit = self.credits[index] + self.floors[index];
            self.credits[index] = if self.ranks[index].is_empty() {
                0
            } else {
                credit
            };
        }
        let lower = urgent + 1..self.ranks.len();
        let due = lower
            .filter(|index| self.credits[*index] >= FLOOR_CREDIT)
            .max_by_key(|index| self.credits[*index]);
        if let Some(index) = due {
            self.credits[index] -= FLOOR_CREDIT;
        }
        due.or(Some(urgent))
    }

    /// Takes the end of an exchange that lasted `elapsed`.
    pub fn finish(&mut self, signal: limit::LimitSignal, elapsed: time::Duration) {
        self.running = self.running.saturating_sub(1);
        let waiting = self.waiting() > 0;
        self.limit.note(signal, waiting);
        if signal == limit::LimitSignal::Answered {
            let old = self.estimate.unwrap_or(elapsed);
            let estimate = old.mul_f64(1.0 - ESTIMATE_WEIGHT) + elapsed.mul_f64(ESTIMATE_WEIGHT);
            self.estimate = Some(estimate);
        }
    }

    /// Removes requests whose callers left.
    pub fn retain(&mut self, mut keeps: impl FnMut(&T) -> bool) {
        for rank in &mut self.ranks {
            rank.retain(|request| keeps(&request.ticket));
        }
    }
}

fn rounds(requests: usize, slots: f64) -> f64 {
    let requests = u32::try_from(requests).unwrap_or(u32::MAX);
    if slots <= 0.0 {
        return f64::INFINITY;
    }
    f64::from(requests) / slots
}
