//! The control thread: one actix arbiter that owns [`control::ControlState`] and performs what it
//! asks for.

mod calls;
mod handle;

use std::collections;
use std::sync;
use std::time;

use actix::ActorContext as _;
use actix::AsyncContext as _;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::control;
use crate::edge::metrics;
use crate::edge::ports;
use crate::fence;
use crate::lifecycle;
use crate::membership;
use crate::names;
use crate::peer;
use crate::record;
use crate::replay;
use crate::report;
use crate::table;

pub use crate::edge::controller::handle::ControlHandle;

/// The interval between two looks at the clock, in milliseconds.
pub const TICK_MS: u64 = 20;
/// The interval between two reads of the platform's host list, in milliseconds.
pub const HOST_LIST_MS: u64 = 1_000;
/// How long an operator waits for the verdict on a patch, in milliseconds.
pub const VERDICT_WAIT_MS: u64 = 5_000;

/// The snapshot that traffic threads read.
pub type SharedTable = sync::Arc<arc_swap::ArcSwap<table::RoutingTable>>;

/// The ports of a host.
#[derive(Clone)]
pub struct ControlPorts<L, S, P> {
    /// The platform.
    pub platform: L,
    /// The backend servers.
    pub servers: S,
    /// The other hosts.
    pub peers: P,
}

/// The actor on the control thread.
pub struct ControlActor<L, S, P> {
    state: control::ControlState,
    clock: clock::SystemClock,
    ports: ControlPorts<L, S, P>,
    table: SharedTable,
    metrics: sync::Arc<metrics::HostMetrics>,
    waiting: collections::HashMap<names::RecordId, Vec<VerdictSender>>,
}

type VerdictSender = tokio::sync::oneshot::Sender<replay::PatchVerdict>;

/// What the control actor is made of besides its state.
pub struct ControlParts<L, S, P> {
    /// The clock that traffic threads read as well.
    pub clock: clock::SystemClock,
    /// The ports.
    pub ports: ControlPorts<L, S, P>,
    /// Where the table is published.
    pub table: SharedTable,
    /// The host's metrics.
    pub metrics: sync::Arc<metrics::HostMetrics>,
}

impl<L, S, P> ControlActor<L, S, P>
where
    L: ports::PlatformLog + ports::HostList + Unpin,
    S: ports::ServerPort + Unpin,
    P: ports::PeerPort + Unpin,
{
    /// Creates the actor.
    #[must_use]
    pub fn new(state: control::ControlState, parts: ControlParts<L, S, P>) -> Self {
        Self {
            state,
            clock: parts.clock,
            ports: parts.ports,
            table: parts.table,
            metrics: parts.metrics,
            waiting: collections::HashMap::new(),
        }
    }

    fn tick(&mut self, ctx: &mut actix::Context<Self>) {
        let actions = self.state.tick(self.clock.now());
        self.perform_all(actions, ctx);
    }

    fn perform_all(
        &mut self,
        actions: Vec<control::ControlAction>,
        ctx: &mut actix::Context<Self>,
    ) {
        for action in actions {
            self.perform(action, ctx);
        }
    }

    fn perform(&mut self, action: control::ControlAction, ctx: &mut actix::Context<Self>) {
        match action {
            control::ControlAction::ReadLog { from } => self.read_log(from, ctx),
            control::ControlAction::Append(record) => self.append(record, ctx),
            control::ControlAction::Claim {
                domain,
                server,
                order,
            } => self.claim(domain, server, order, ctx),
            control::ControlAction::Lease {
                domain,
                server,
                order,
            } => self.lease(domain, server, order, ctx),
            control::ControlAction::Exchange { peer, request } => {
                self.exchange(peer, request, ctx);
            }
            control::ControlAction::Publish(table) => self.publish(table),
            control::ControlAction::LogEvent(note) => self.note(note),
        }
    }

    fn publish(&self, table: sync::Arc<table::RoutingTable>) {
        let version = i64::try_from(table.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        let terms = i64::try_from(self.state.granting().len()).unwrap_or(i64::MAX);
        self.metrics.domains_granted.set(terms);
        self.table.store(table);
    }

    fn note(&mut self, note: control::ControlEvent) {
        self.metrics.count_event(&note);
        report::log_event(&note);
        if let control::ControlEvent::PatchDecided(entry) = note {
            let waiting = self.waiting.remove(&entry.id).unwrap_or_default();
            for sender in waiting {
                let _ = sender.send(entry.verdict.clone());
            }
        }
    }
}

impl<L, S, P> actix::Actor for ControlActor<L, S, P>
where
    L: ports::PlatformLog + ports::HostList + Unpin,
    S: ports::ServerPort + Unpin,
    P: ports::PeerPort + Unpin,
{
    type Context = actix::Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1_024);
        ctx.run_interval(time::Duration::from_millis(TICK_MS), Self::tick);
        let interval = time::Duration::from_millis(HOST_LIST_MS);
        ctx.run_interval(interval, |actor, ctx| actor.read_hosts(ctx));
    }
}

/// What other threads ask of the control thread.
pub enum ControlRequest {
    /// A peer's question.
    Exchange(
        Box<peer::ExchangeRequest>,
        tokio::sync::oneshot::Sender<peer::ExchangeReply>,
    ),
    /// An operator's patch.
    Submit(record::LogRecord, VerdictSender),
    /// The verdict on a patch.
    Verdict(
        names::RecordId,
        tokio::sync::oneshot::Sender<Option<PatchStatus>>,
    ),
    /// The fence under which the log has a shard assigned.
    Assigned(
        names::ShardId,
        tokio::sync::oneshot::Sender<Option<fence::GrantFence>>,
    ),
    /// The shards' loads of the last interval.
    Loads(Vec<peer::ShardLoad>),
    /// The host's status.
    Status(tokio::sync::oneshot::Sender<report::HostStatus>),
    /// Begin to stop.
    Stop(tokio::sync::oneshot::Sender<Vec<lifecycle::HostAction>>),
}

impl actix::Message for ControlRequest {
    type Result = ();
}

/// A patch's verdict and where its version is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PatchStatus {
    /// The patch.
    pub id: names::RecordId,
    /// The verdict, none while it is not known.
    pub verdict: Option<replay::PatchVerdict>,
    /// Where the version is in force, for an accepted patch.
    pub spread: Option<membership::VersionRollout>,
}

impl<L, S, P> actix::Handler<ControlRequest> for ControlActor<L, S, P>
where
    L: ports::PlatformLog + ports::HostList + Unpin,
    S: ports::ServerPort + Unpin,
    P: ports::PeerPort + Unpin,
{
    type Result = ();

    fn handle(&mut self, request: ControlRequest, ctx: &mut Self::Context) {
        let now = self.clock.now();
        match request {
            ControlRequest::Exchange(request, reply) => {
                let _ = reply.send(self.state.on_exchange(&request, now));
            }
            ControlRequest::Submit(record, sender) => self.submit(record, sender, ctx),
            ControlRequest::Verdict(id, reply) => {
                let _ = reply.send(self.standing(&id));
            }
            ControlRequest::Assigned(shard, reply) => {
                let assigned = self.state.replay().state().assignments.get(&shard);
                let _ = reply.send(assigned.map(|assignment| assignment.fence.clone()));
            }
            ControlRequest::Loads(loads) => self.state.note_loads(&loads, now),
            ControlRequest::Status(reply) => {
                let _ = reply.send(report::HostStatus::new(&self.state, now));
            }
            ControlRequest::Stop(reply) => {
                let actions = self.state.on_stop(now);
                let stopped = self.state.host_state() == lifecycle::HostState::Stopped;
                let _ = reply.send(actions);
                if stopped {
                    ctx.stop();
                }
            }
        }
    }
}

impl<L, S, P> ControlActor<L, S, P>
where
    L: ports::PlatformLog + ports::HostList + Unpin,
    S: ports::ServerPort + Unpin,
    P: ports::PeerPort + Unpin,
{
    fn submit(
        &mut self,
        record: record::LogRecord,
        sender: VerdictSender,
        ctx: &mut actix::Context<Self>,
    ) {
        if let Some(verdict) = self.state.replay().verdict(&record.id) {
            let _ = sender.send(verdict.clone());
            return;
        }
        let id = record.id.clone();
        self.waiting.entry(id.clone()).or_default().push(sender);
        self.state.submit(record);
        let wait = time::Duration::from_millis(VERDICT_WAIT_MS);
        ctx.run_later(wait, move |actor, _| {
            if actor.waiting.remove(&id).is_some() {
                actor.state.abandon(&id);
            }
        });
    }

    fn standing(&self, id: &names::RecordId) -> Option<PatchStatus> {
        let verdict = self.state.replay().verdict(id)?.clone();
        let spread = match verdict {
            replay::PatchVerdict::Accepted { version } => {
                Some(self.state.spread(version, self.clock.now()))
            }
            _ => None,
        };
        Some(PatchStatus {
            id: id.clone(),
            verdict: Some(verdict),
            spread,
        })
    }
}
