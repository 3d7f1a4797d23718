//! Who waits for a server, who goes next, and who is refused at once.
//!
//! One desk a traffic thread. It answers floods: urgent work goes first; a request whose wait would
//! outlast its latency objective is refused on arrival, so that the slots serve requests in time;
//! and each host keeps to its share of a server, so that servers' own queues stay short.

use std::collections;
use std::sync;
use std::time;

use crate::clock;
use crate::names;
use crate::ownership::book;
use crate::retry;
use crate::serving::directory;
use crate::serving::measure;
use crate::serving::view;

/// How many requests all hosts keep at a server, for each of its slots.
pub const FILL_RATIO: f64 = 1.2;
/// The service time that is assumed before one is measured, in milliseconds.
pub const ASSUMED_SERVICE_MS: f64 = 100.0;
/// How long a request may wait for a key that is on its way to another server, in milliseconds.
pub const MOVE_PATIENCE_MS: u64 = 1_500;
/// How long a server that leaves still gets requests for keys that it holds, in milliseconds.
pub const DRAIN_PATIENCE_MS: u64 = 1_200;
/// The longest wait that is accepted for a request that is late already, as a part of its time left.
pub const LATE_WAIT_PART: f64 = 0.15;
/// The part of the expected service time that must be left for a start to pay.
pub const START_PART: f64 = 0.6;
/// By how much each failure in a hundred makes a server look slower, in percent.
pub const FAILURE_PENALTY: f64 = 6.0;
/// How much longer a server of another failure domain may seem for each kilobyte sent, in
/// milliseconds.
pub const FAR_MS_PER_KB: f64 = 2.0;
/// How much longer it may seem at least, in milliseconds.
pub const FAR_MS: f64 = 8.0;
/// The longest time that a request waits for a server of its own failure domain while others are
/// free, in milliseconds.
pub const MAX_NEAR_WAIT_MS: u64 = 120;
/// The part of the hosts' common retry budget that is used; the rest covers uneven shares.
pub const BUDGET_PART: f64 = 0.7;

/// Names a request that waits at the desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(u64);

/// A request that wants a server.
#[derive(Clone, Debug)]
pub struct ServerWish {
    /// The service.
    pub service: names::ServiceName,
    /// The key, where the service's servers own keys.
    pub key: Option<u16>,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u32,
    /// Until when an answer counts in full.
    pub objective: clock::MonoTime,
    /// Until when it must be answered.
    pub deadline: clock::MonoTime,
    /// The size of its body, in bytes.
    pub body_bytes: u64,
    /// Whether it was sent to a server before.
    pub again: bool,
    /// The server that it was sent to last.
    pub avoid: Option<names::ServerName>,
}

/// Why the desk gave a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeskRefusal {
    /// The wait would be too long.
    Crowded,
    /// There is no server, or none that can be reached.
    NoServer,
    /// Its time is over.
    TooLate,
    /// The retry budget is used up.
    Budget,
}

/// What the desk decided of a waiting request.
#[derive(Clone, Debug)]
pub enum DeskEvent {
    /// It goes to a server.
    Assigned(WaitTicket, sync::Arc<directory::ServerRecord>),
    /// It was given up.
    GivenUp(WaitTicket, DeskRefusal),
}

struct Waiting {
    wish: ServerWish,
    since: clock::MonoTime,
}

struct ServerLane {
    record: sync::Arc<directory::ServerRecord>,
    // Whether the view still has the server.
    listed: bool,
    drains_since: Option<clock::MonoTime>,
    running: u32,
    waiting: u32,
    measure: measure::ServerMeasure,
}

#[derive(Default)]
struct ServiceLine {
    // Most urgent first, then in order of arrival.
    queue: collections::BTreeMap<(u32, WaitTicket), Waiting>,
    budget: Option<retry::RetryBudget>,
}

/// The settings of a desk.
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// The host's failure domain.
    pub domain: names::DomainName,
    /// How many repeats all hosts may send for each request.
    pub retry_ratio: f64,
    /// How many repeats all hosts may send besides.
    pub retry_slack: f64,
}

/// The desk of one traffic thread.
pub struct ServiceDesk {
    settings: DeskSettings,
    view: sync::Arc<view::ServingView>,
    lanes: collections::BTreeMap<names::ServerName, ServerLane>,
    lines: collections::BTreeMap<names::ServiceName, ServiceLine>,
    next: u64,
}

impl ServiceDesk {
    /// Creates a desk without servers.
    #[must_use]
    pub fn new(settings: DeskSettings) -> Self {
        Self {
            settings,
            view: sync::Arc::new(view::ServingView::new()),
            lanes: collections::BTreeMap::new(),
            lines: collections::BTreeMap::new(),
            next: 0,
        }
    }

    /// Takes a new view of servers and grants.
    pub fn sync(&mut self, view: &sync::Arc<view::ServingView>, now: clock::MonoTime) {
        if sync::Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = sync::Arc::clone(view);
        for (name, record) in view.servers.iter() {
            match self.lanes.get_mut(name) {
                Some(lane) if lane.record.life == record.life => {
                    lane.record = sync::Arc::clone(record);
                }
                _ => {
                    let lane = ServerLane::new(sync::Arc::clone(record));
                    self.lanes.insert(name.clone(), lane);
                }
            }
        }
        for (name, lane) in &mut self.lanes {
            lane.listed = view.servers.contains_key(name);
            let drains = lane.record.state == directory::ServerState::Draining;
            lane.drains_since = lane.drains_since.or(Some(now)).filter(|_| drains);
        }
        self.lanes.retain(|_, lane| lane.running > 0 || lane.listed);
    }

    /// Takes a request. It waits until [`Self::pump`] decides.
    ///
    /// # Errors
    /// Fails at once when it is clear that the request cannot be served.
    pub fn enqueue(
        &mut self,
        wish: ServerWish,
        now: clock::MonoTime,
    ) -> Result<WaitTicket, DeskRefusal> {
        self.draw_budget(&wish)?;
        if !wish.again {
            self.check_wait(&wish, now)?;
        }
        self.next += 1;
        let ticket = WaitTicket(self.next);
        if let Some(lane) = self.owner_lane(&wish) {
            lane.waiting += 1;
        }
        let line = self.lines.entry(wish.service.clone()).or_default();
        let place = (wish.priority, ticket);
        line.queue.insert(place, Waiting { wish, since: now });
        Ok(ticket)
    }

    /// Forgets a waiting request whose caller has left.
    pub fn forget(&mut self, service: &names::ServiceName, priority: u32, ticket: WaitTicket) {
        let line = self.lines.get_mut(service);
        let removed = line.and_then(|line| line.queue.remove(&(priority, ticket)));
        if let Some(waiting) = removed
            && let Some(lane) = self.owner_lane(&waiting.wish)
        {
            lane.waiting = lane.waiting.saturating_sub(1);
        }
    }

    /// Takes the end of an exchange with a server.
    pub fn finish(
        &mut self,
        life: &book::ServerLife,
        end: measure::ExchangeEnd,
        elapsed: time::Duration,
        now: clock::MonoTime,
    ) {
        let Some(lane) = self.lanes.get_mut(&life.server) else {
            return;
        };
        if lane.record.life != *life {
            return;
        }
        lane.running = lane.running.saturating_sub(1);
        lane.measure.note(end, elapsed, now);
    }

    /// Reports whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.lines.values().any(|line| !line.queue.is_empty())
    }

    /// Decides who goes to which server now, and who is given up.
    pub fn pump(&mut self, now: clock::MonoTime) -> Vec<DeskEvent> {
        let mut events = Vec::new();
        let services: Vec<_> = self.lines.keys().cloned().collect();
        for service in services {
            self.pump_service(&service, now, &mut events);
        }
        events
    }

    /// Returns what this host has at each server, running or waiting.
    #[must_use]
    pub fn demand(&self) -> view::ServerDemand {
        let busy = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.running + lane.waiting > 0);
        let mut demand: view::ServerDemand = busy
            .map(|(name, lane)| (name.clone(), f64::from(lane.running + lane.waiting)))
            .collect();
        for (service, line) in &self.lines {
            self.add_pool_demand(service, line, &mut demand);
        }
        demand
    }

    // Unkeyed requests that wait count at all servers of the service alike.
    fn add_pool_demand(
        &self,
        service: &names::ServiceName,
        line: &ServiceLine,
        demand: &mut view::ServerDemand,
    ) {
        let waiting = line.queue.values().filter(|w| w.wish.key.is_none()).count();
        let lanes = self
            .lanes
            .values()
            .filter(|lane| lane.record.service == *service);
        let names: Vec<_> = lanes.map(|lane| lane.record.life.server.clone()).collect();
        if waiting == 0 || names.is_empty() {
            return;
        }
        let each = to_f64(waiting) / to_f64(names.len());
        for name in names {
            *demand.entry(name).or_default() += each;
        }
    }

    /// Returns the measured time of each server, in milliseconds.
    #[must_use]
    pub fn service_times(&self) -> Vec<(names::ServerName, f64)> {
        let lanes = self.lanes.iter();
        let known =
            lanes.filter_map(|(name, lane)| Some((name.clone(), lane.measure.service_ms()?)));
        known.collect()
    }

    /// Returns the time until room is likely, for a request that was refused.
    #[must_use]
    pub fn expected_wait(&self, wish: &ServerWish, now: clock::MonoTime) -> time::Duration {
        time::Duration::from_secs_f64(self.wait_ms(wish, now).clamp(0.0, 60_000.0) / 1_000.0)
    }

    fn draw_budget(&mut self, wish: &ServerWish) -> Result<(), DeskRefusal> {
        let hosts = to_f64(self.view.hosts.max(1));
        let ratio = self.settings.retry_ratio * BUDGET_PART;
        let most = (self.settings.retry_slack * BUDGET_PART / hosts).max(1.0);
        let line = self.lines.entry(wish.service.clone()).or_default();
        let budget = line
            .budget
            .get_or_insert_with(|| retry::RetryBudget::with_ratio(ratio, most));
        if !wish.again {
            budget.note_fresh();
            return Ok(());
        }
        if !budget.allows() {
            return Err(DeskRefusal::Budget);
        }
        budget.draw();
        Ok(())
    }

    // Refuses what would wait too long. A request that can still meet its objective must meet it;
    // one that cannot may only take room that is free.
    fn check_wait(&self, wish: &ServerWish, now: clock::MonoTime) -> Result<(), DeskRefusal> {
        let service = self.service_ms(&wish.service);
        let left = millis(wish.deadline.since(now));
        if left < service * START_PART {
            return Err(DeskRefusal::TooLate);
        }
        let wait = self.wait_ms(wish, now);
        if wait.is_infinite() {
            return Err(DeskRefusal::NoServer);
        }
        let room = millis(wish.objective.since(now)) - service;
        let accepted = room.max(left * LATE_WAIT_PART);
        if wait > accepted {
            return Err(DeskRefusal::Crowded);
        }
        Ok(())
    }

    // The expected wait of a new request, in milliseconds; infinite where no server can take it.
    fn wait_ms(&self, wish: &ServerWish, now: clock::MonoTime) -> f64 {
        match wish.key {
            Some(key) => self.keyed_wait_ms(wish, key, now),
            None => self.pool_wait_ms(wish, now),
        }
    }

    fn keyed_wait_ms(&self, wish: &ServerWish, key: u16, now: clock::MonoTime) -> f64 {
        let life = match self.view.owner(&wish.service, key) {
            view::KeyOwner::Server(life) => life,
            // Moves take a moment; requests wait for their end.
            view::KeyOwner::Moving => return 0.0,
            view::KeyOwner::None => return f64::INFINITY,
        };
        let Some(lane) = self.lanes.get(&life.server) else {
            return f64::INFINITY;
        };
        if !lane.serves_keys(&life, now) {
            return f64::INFINITY;
        }
        let ahead = self.ahead(wish, |other| {
            other.key.is_some() && self.is_owner(other, &life)
        });
        let limit = self.limit(lane);
        let queued = ahead + f64::from(lane.running) - limit + 1.0;
        (queued.max(0.0) / limit) * lane.service_ms()
    }

    fn pool_wait_ms(&self, wish: &ServerWish, now: clock::MonoTime) -> f64 {
        let lanes = self.lanes.values();
        let usable: Vec<_> = lanes
            .filter(|lane| lane.takes(&wish.service, now))
            .collect();
        let room: f64 = usable.iter().map(|lane| self.limit(lane)).sum();
        if room <= 0.0 {
            return f64::INFINITY;
        }
        let running: u32 = usable.iter().map(|lane| lane.running).sum();
        let rate: f64 = usable
            .iter()
            .map(|lane| self.limit(lane) / lane.service_ms())
            .sum();
        let ahead = self.ahead(wish, |other| other.key.is_none());
        let queued = ahead + f64::from(running) - room + 1.0;
        queued.max(0.0) / rate
    }

    // The waiting requests that go before `wish` and match.
    fn ahead(&self, wish: &ServerWish, matches: impl Fn(&ServerWish) -> bool) -> f64 {
        let Some(line) = self.lines.get(&wish.service) else {
            return 0.0;
        };
        let before = line.queue.range(..(wish.priority + 1, WaitTicket(0)));
        to_f64(before.filter(|(_, waiting)| matches(&waiting.wish)).count())
    }

    fn is_owner(&self, wish: &ServerWish, life: &book::ServerLife) -> bool {
        let owner = wish.key.map(|key| self.view.owner(&wish.service, key));
        matches!(owner, Some(view::KeyOwner::Server(owner)) if owner == *life)
    }

    /// Returns the mean time that a service's servers take for a request, in milliseconds.
    #[must_use]
    pub fn service_ms(&self, service: &names::ServiceName) -> f64 {
        let lanes = self.lanes.values();
        let ours = lanes.filter(|lane| lane.record.service == *service);
        let known: Vec<f64> = ours.filter_map(|lane| lane.measure.service_ms()).collect();
        if known.is_empty() {
            return ASSUMED_SERVICE_MS;
        }
        known.iter().sum::<f64>() / to_f64(known.len())
    }

    fn owner_lane(&mut self, wish: &ServerWish) -> Option<&mut ServerLane> {
        let key = wish.key?;
        let view::KeyOwner::Server(life) = self.view.owner(&wish.service, key) else {
            return None;
        };
        self.lanes.get_mut(&life.server)
    }

    // How many requests this host may have at a server: what the other hosts leave, and its share
    // by demand where they want more than there is.
    fn limit(&self, lane: &ServerLane) -> f64 {
        let room = f64::from(lane.record.slots) * FILL_RATIO;
        let others = self.view.demand.get(&lane.record.life.server);
        let others = others.copied().unwrap_or(0.0);
        let own = f64::from(lane.running + lane.waiting).max(1.0);
        let share = room * own / (own + others);
        share.max(room - others).clamp(1.0, room.max(1.0))
    }

    fn pump_service(
        &mut self,
        service: &names::ServiceName,
        now: clock::MonoTime,
        events: &mut Vec<DeskEvent>,
    ) {
        let Some(line) = self.lines.get_mut(service) else {
            return;
        };
        let queue = std::mem::take(&mut line.queue);
        let service_ms = self.service_ms(service);
        let mut kept = collections::BTreeMap::new();
        let mut pool_full = false;
        for lane in self.lanes.values_mut() {
            if lane.record.service == *service {
                lane.waiting = 0;
            }
        }
        for (place, waiting) in queue {
            if pool_full && waiting.wish.key.is_none() && !is_over(&waiting, service_ms, now) {
                kept.insert(place, waiting);
                continue;
            }
            match self.decide(&waiting, service_ms, now) {
                Decision::Send(record) => {
                    if let Some(lane) = self.lanes.get_mut(&record.life.server) {
                        lane.running += 1;
                    }
                    events.push(DeskEvent::Assigned(place.1, record));
                }
                Decision::GiveUp(refusal) => events.push(DeskEvent::GivenUp(place.1, refusal)),
                Decision::Wait => {
                    if let Some(lane) = self.owner_lane(&waiting.wish) {
                        lane.waiting += 1;
                    }
                    kept.insert(place, waiting);
                }
                Decision::PoolFull => {
                    pool_full = true;
                    kept.insert(place, waiting);
                }
            }
        }
        if let Some(line) = self.lines.get_mut(service) {
            line.queue = kept;
        }
    }

    fn decide(&self, waiting: &Waiting, service_ms: f64, now: clock::MonoTime) -> Decision {
        if is_over(waiting, service_ms, now) {
            return Decision::GiveUp(DeskRefusal::TooLate);
        }
        match waiting.wish.key {
            Some(key) => self.decide_keyed(waiting, key, now),
            None => self.decide_pool(waiting, now),
        }
    }

    fn decide_keyed(&self, waiting: &Waiting, key: u16, now: clock::MonoTime) -> Decision {
        let life = match self.view.owner(&waiting.wish.service, key) {
            view::KeyOwner::Server(life) => life,
            view::KeyOwner::Moving => return Self::decide_moving(waiting, now),
            view::KeyOwner::None => return Decision::GiveUp(DeskRefusal::NoServer),
        };
        let lane = self.lanes.get(&life.server);
        let Some(lane) = lane.filter(|lane| lane.serves_keys(&life, now)) else {
            return Self::decide_moving(waiting, now);
        };
        if f64::from(lane.running) + 1.0 <= self.limit(lane) {
            return Decision::Send(sync::Arc::clone(&lane.record));
        }
        Decision::Wait
    }

    // The key has no server at the moment; one may be there soon.
    fn decide_moving(waiting: &Waiting, now: clock::MonoTime) -> Decision {
        let patience = time::Duration::from_millis(MOVE_PATIENCE_MS);
        if now.since(waiting.since) > patience {
            return Decision::GiveUp(DeskRefusal::NoServer);
        }
        Decision::Wait
    }

    fn decide_pool(&self, waiting: &Waiting, now: clock::MonoTime) -> Decision {
        let wish = &waiting.wish;
        let lanes = self.lanes.values();
        let usable: Vec<_> = lanes
            .filter(|lane| lane.takes(&wish.service, now))
            .collect();
        if usable.is_empty() {
            return Decision::GiveUp(DeskRefusal::NoServer);
        }
        let far_ms = FAR_MS
            + FAR_MS_PER_KB * to_f64(usize::try_from(wish.body_bytes).unwrap_or(0)) / 1_000.0;
        let near_exists = usable.iter().any(|lane| self.is_near(lane));
        let near_wait = time::Duration::from_secs_f64(far_ms / 1_000.0);
        let near_wait = near_wait.min(time::Duration::from_millis(MAX_NEAR_WAIT_MS));
        let only_near = near_exists && now.since(waiting.since) < near_wait;
        let avoided = |lane: &&ServerLane| wish.avoid.as_ref() == Some(&lane.record.life.server);
        let free: Vec<_> = usable
            .iter()
            .copied()
            .filter(|lane| f64::from(lane.running) + 1.0 <= self.limit(lane))
            .collect();
        if free.is_empty() {
            return Decision::PoolFull;
        }
        let open = free
            .iter()
            .copied()
            .filter(|lane| self.is_near(lane) || !only_near)
            .filter(|lane| !avoided(lane) || usable.len() == 1);
        let score = |lane: &ServerLane| {
            let far = if self.is_near(lane) { 0.0 } else { far_ms };
            Self::score_ms(lane) + far
        };
        let best = open.min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or(Decision::Wait, |lane| {
            Decision::Send(sync::Arc::clone(&lane.record))
        })
    }

    // How long a request would take at a server, by what is known.
    fn score_ms(lane: &ServerLane) -> f64 {
        let fill = f64::from(lane.running + 1) / f64::from(lane.record.slots.max(1));
        let penalty = 1.0 + lane.measure.failures() * FAILURE_PENALTY;
        lane.service_ms() * penalty * (1.0 + fill)
    }

    fn is_near(&self, lane: &ServerLane) -> bool {
        lane.record.domain == self.settings.domain
    }
}

enum Decision {
    Send(sync::Arc<directory::ServerRecord>),
    GiveUp(DeskRefusal),
    Wait,
    // No server of the service has room.
    PoolFull,
}

impl ServerLane {
    fn new(record: sync::Arc<directory::ServerRecord>) -> Self {
        Self {
            record,
            listed: true,
            drains_since: None,
            running: 0,
            waiting: 0,
            measure: measure::ServerMeasure::new(),
        }
    }

    fn service_ms(&self) -> f64 {
        self.measure.service_ms().unwrap_or(ASSUMED_SERVICE_MS)
    }

    // Whether a request for a key that it holds may still go there. A server that leaves serves its
    // keys until they have moved, but not for long.
    fn serves_keys(&self, life: &book::ServerLife, now: clock::MonoTime) -> bool {
        let patience = time::Duration::from_millis(DRAIN_PATIENCE_MS);
        self.listed
            && self.record.life == *life
            && self.drains_since.is_none_or(|since| now < since + patience)
            && !self.measure.is_paused(now)
    }

    fn takes(&self, service: &names::ServiceName, now: clock::MonoTime) -> bool {
        self.listed
            && self.record.service == *service
            && self.record.state == directory::ServerState::Ready
            && !self.measure.is_paused(now)
    }
}

// Whether too little time is left for a server to answer.
fn is_over(waiting: &Waiting, service_ms: f64, now: clock::MonoTime) -> bool {
    millis(waiting.wish.deadline.since(now)) < service_ms * START_PART
}

fn millis(span: time::Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
