//! The control thread: one actix arbiter that owns [`control::ControlState`] and performs the
//! actions that it returns.

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

/// The interval between two ticks of the control state, in milliseconds.
pub const TICK_MS: u64 = 20;
/// The interval between two reads of the platform's host list, in milliseconds.
pub const HOST_LIST_INTERVAL_MS: u64 = 1_000;
/// The time-out of an operator's wait for the verdict on a patch, in milliseconds.
pub const VERDICT_TIMEOUT_MS: u64 = 5_000;

/// The routing table that the control thread publishes and traffic threads read.
pub type SharedTable = sync::Arc<arc_swap::ArcSwap<table::RoutingTable>>;

/// The clients through which the control thread reaches the outside.
#[derive(Clone)]
pub struct ControlPorts<L, S, P> {
    /// The platform's log and host list.
    pub platform: L,
    /// The backend servers.
    pub servers: S,
    /// The other entry hosts.
    pub peers: P,
}

/// The actor that runs on the control thread.
pub struct ControlActor<L, S, P> {
    state: control::ControlState,
    clock: clock::SystemClock,
    ports: ControlPorts<L, S, P>,
    table: SharedTable,
    metrics: sync::Arc<metrics::HostMetrics>,
    verdict_waiters: collections::HashMap<names::RecordId, Vec<VerdictSender>>,
}

type VerdictSender = tokio::sync::oneshot::Sender<replay::PatchVerdict>;

/// What the control actor needs besides its state.
pub struct ControlParts<L, S, P> {
    /// The clock, the same as the traffic threads'.
    pub clock: clock::SystemClock,
    /// The clients for calls to the outside.
    pub ports: ControlPorts<L, S, P>,
    /// The shared routing table to publish into.
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
            verdict_waiters: collections::HashMap::new(),
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
            control::ControlAction::LogEvent(event) => self.log_event(event),
        }
    }

    fn publish(&self, table: sync::Arc<table::RoutingTable>) {
        let version = i64::try_from(table.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        let terms = i64::try_from(self.state.granting().len()).unwrap_or(i64::MAX);
        self.metrics.domains_granted.set(terms);
        self.table.store(table);
    }

    fn log_event(&mut self, event: control::ControlEvent) {
        self.metrics.count_event(&event);
        report::log_event(&event);
        if let control::ControlEvent::PatchDecided(entry) = event {
            let waiters = self.verdict_waiters.remove(&entry.id).unwrap_or_default();
            for sender in waiters {
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
        let interval = time::Duration::from_millis(HOST_LIST_INTERVAL_MS);
        ctx.run_interval(interval, |actor, ctx| actor.read_hosts(ctx));
    }
}

/// A request of another thread to the control thread, with the channel for the response.
pub enum ControlRequest {
    /// A status request of another entry host.
    Exchange(
        Box<peer::ExchangeRequest>,
        tokio::sync::oneshot::Sender<peer::ExchangeReply>,
    ),
    /// Submit an operator's patch and wait for its verdict.
    Submit(record::LogRecord, VerdictSender),
    /// Look up the status of a patch.
    PatchStatus(
        names::RecordId,
        tokio::sync::oneshot::Sender<Option<PatchStatus>>,
    ),
    /// Look up the fence under which a shard is assigned in the log.
    AssignedFence(
        names::ShardId,
        tokio::sync::oneshot::Sender<Option<fence::GrantFence>>,
    ),
    /// Take the load of each shard in the last interval.
    Loads(Vec<peer::ShardLoad>),
    /// Report the host's status.
    Status(tokio::sync::oneshot::Sender<report::HostStatus>),
    /// Begin to stop; the response is the actions that the chart `host` asks for.
    Stop(tokio::sync::oneshot::Sender<Vec<lifecycle::HostAction>>),
}

impl actix::Message for ControlRequest {
    type Result = ();
}

/// The status of a patch: its verdict, and at which hosts its version is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PatchStatus {
    /// The patch's id.
    pub id: names::RecordId,
    /// The verdict, `None` while it is unknown.
    pub verdict: Option<replay::PatchVerdict>,
    /// At which hosts the patch's version is in force, if it was accepted.
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
            ControlRequest::PatchStatus(id, reply) => {
                let _ = reply.send(self.patch_status(&id));
            }
            ControlRequest::AssignedFence(shard, reply) => {
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
        self.verdict_waiters
            .entry(id.clone())
            .or_default()
            .push(sender);
        self.state.submit(record);
        let timeout = time::Duration::from_millis(VERDICT_TIMEOUT_MS);
        ctx.run_later(timeout, move |actor, _| {
            if actor.verdict_waiters.remove(&id).is_some() {
                actor.state.abandon(&id);
            }
        });
    }

    fn patch_status(&self, id: &names::RecordId) -> Option<PatchStatus> {
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
