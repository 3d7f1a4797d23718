//! The queue of requests that wait at one host for one server: by rank, with a floor for each rank.

use std::collections;
use std::time;

use crate::clock;
use crate::configuration;
use crate::limit;
use crate::outcome;
use crate::retry;

/// The most requests of one rank that may wait.
pub const MAX_QUEUED_PER_RANK: usize = 4_096;
/// The weight of the newest service time in the moving average.
pub const ESTIMATE_WEIGHT: f64 = 0.1;
/// The credit at which a rank is served ahead of more urgent ones, in percentage points.
const FLOOR_CREDIT: u32 = 100;

/// A request that waits in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest<T> {
    /// The value by which the queue's caller identifies the request.
    pub ticket: T,
    /// Its rank.
    pub rank: configuration::WorkRank,
    /// When it arrived at the host.
    pub arrived: clock::MonoTime,
    /// When the response is due.
    pub deadline: clock::MonoTime,
}

/// A request that the queue did not accept, or removed before it was sent.
#[derive(Clone, Debug)]
pub struct DroppedRequest<T> {
    /// The value by which the queue's caller identifies the request.
    pub ticket: T,
    /// Why it was dropped.
    pub reason: outcome::RefusalReason,
}

/// The requests that one call of [`ServerQueue::dispatch_waiting`] removed from the queue.
#[derive(Debug)]
pub struct DispatchResult<T> {
    /// The requests to send now.
    pub permitted: Vec<T>,
    /// The requests that were dropped.
    pub dropped: Vec<DroppedRequest<T>>,
}

/// The order in which requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By rank, with floors, deadlines and a concurrency limit.
    ByRank,
    /// In order of arrival, without limits or deadlines. Serves as the baseline of measurements.
    FirstInFirstOut,
}

/// The queue, concurrency limit and retry budget of one server at one host.
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
    /// Creates an empty queue for a server with `slots` slots that `hosts` hosts share.
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

    /// Sets the floor of each rank: the share of dispatched requests, in percent, that it gets
    /// while requests of more urgent ranks wait.
    #[must_use]
    pub fn with_floors(mut self, percent: [u8; configuration::WorkRank::COUNT]) -> Self {
        self.floors = percent.map(u32::from);
        self
    }

    /// Sets the order in which requests are served.
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

    /// Returns the number of requests that were permitted and have not finished.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the concurrency limit, in requests.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit.value()
    }

    /// Adds the first attempt of a request.
    ///
    /// # Errors
    /// Fails when the queue is full, or the request cannot be served within its deadline. The error
    /// holds the ticket and the reason.
    pub fn push(
        &mut self,
        request: WaitingRequest<T>,
        now: clock::MonoTime,
    ) -> Result<(), DroppedRequest<T>> {
        self.budget.deposit();
        self.admit(request, now)
    }

    /// Adds a retry of a request.
    ///
    /// # Errors
    /// Fails as [`Self::push`] does, and when the retry budget is used up.
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
            self.deadline_refusal(&request, now)
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

    // Refuses a request with no time left, or with less than one service time, as past its
    // deadline, and one that would wait for longer than its time left as hopeless. The expected
    // wait is the shorter of two: behind all requests of its own and more urgent ranks at the full
    // limit, or behind those of its own rank at the rank's floor.
    fn deadline_refusal(
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

    /// Drops requests that can no longer meet their deadlines, then permits waiting requests as
    /// long as the concurrency limit allows.
    pub fn dispatch_waiting(&mut self, now: clock::MonoTime) -> DispatchResult<T> {
        let mut result = DispatchResult {
            permitted: Vec::new(),
            dropped: Vec::new(),
        };
        if self.policy == QueuePolicy::ByRank {
            self.drop_expired(now, &mut result.dropped);
        }
        while self.has_slot() {
            let Some(request) = self.pop_next(now) else {
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

    fn drop_expired(&mut self, now: clock::MonoTime, dropped: &mut Vec<DroppedRequest<T>>) {
        let needed = self.estimate.unwrap_or_default();
        for rank in &mut self.ranks {
            let expired = |request: &WaitingRequest<T>| request.deadline < now + needed;
            while rank.front().is_some_and(expired) {
                if let Some(request) = rank.pop_front() {
                    dropped.push(DroppedRequest {
                        ticket: request.ticket,
                        reason: outcome::RefusalReason::DeadlineQueued,
                    });
                }
            }
        }
    }

    fn pop_next(&mut self, now: clock::MonoTime) -> Option<WaitingRequest<T>> {
        if self.policy == QueuePolicy::FirstInFirstOut {
            let first = (0..self.ranks.len())
                .filter(|i| !self.ranks[*i].is_empty())
                .min_by_key(|i| self.ranks[*i].front().map(|r| r.arrived))?;
            return self.ranks[first].pop_front();
        }
        let index = self.choose_rank()?;
        let rank = &mut self.ranks[index];
        // A rank whose oldest request has waited for more than half of its time is overloaded; its
        // newest request then goes first (adaptive LIFO).
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

    // Chooses the most urgent rank that has requests, unless the floor of a lower rank is due. With
    // each choice, the lower ranks that have requests gain their floor as credit.
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

    /// Notes the end of an exchange that took `elapsed`; frees its slot and adjusts the limit.
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

    /// Removes the requests for whose tickets `keeps` does not hold, such as those whose callers
    /// disconnected.
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
