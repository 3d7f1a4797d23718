//! Ownership gaps in the granting simulation: how long keys are held by no server after one event.

use std::time;

use crate::grants::simulation;

/// The simulated time before the event, in seconds.
const SETTLE_S: u64 = 10;
/// The simulated time after the event, in seconds: longer than a former granter's right to renew and
/// than a hold.
const WATCH_S: u64 = 40;
/// How long the store is unavailable, in seconds.
const OUTAGE_S: u64 = 10;
/// The earliest time at which a server's end can be detected, in milliseconds after it: when the
/// server's entry in the store expires.
pub const DETECTION_MS: u64 = simulation::ENTRY_TTL_MS;

/// An event after which the ownership gap is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GapEvent {
    /// A server ends.
    LostServer,
    /// The granter ends, and its host starts another process.
    LostGranter,
    /// A server and the granter end at the same time.
    LostServerAndGranter,
    /// The store is unavailable.
    LostStore,
    /// The store is unavailable, and the granter ends.
    LostStoreAndGranter,
    /// A server drains.
    DrainedServer,
    /// All hosts and servers are restarted.
    FullRestart,
}

impl GapEvent {
    /// All events.
    pub const ALL: [Self; 7] = [
        Self::LostServer,
        Self::LostGranter,
        Self::LostServerAndGranter,
        Self::LostStore,
        Self::LostStoreAndGranter,
        Self::DrainedServer,
        Self::FullRestart,
    ];

    /// Returns the event's name in the output of `zinnia-lab measure`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LostServer => "lost-server",
            Self::LostGranter => "lost-granter",
            Self::LostServerAndGranter => "lost-server-and-granter",
            Self::LostStore => "lost-store",
            Self::LostStoreAndGranter => "lost-store-and-granter",
            Self::DrainedServer => "drained-server",
            Self::FullRestart => "everything-anew",
        }
    }

    /// Returns the longest ownership gap that is allowed.
    #[must_use]
    pub const fn bound(self) -> time::Duration {
        let millis = match self {
            Self::LostServer | Self::LostServerAndGranter => DETECTION_MS + 2_000,
            Self::LostGranter | Self::LostStore => 0,
            // No host can claim the granter role until the store is back.
            Self::LostStoreAndGranter => OUTAGE_S * 1_000 + 2_000,
            // A draining server releases keys once its work on them has ended.
            Self::DrainedServer => simulation::MAX_WORK_MS + 100,
            Self::FullRestart => 5_000,
        };
        time::Duration::from_millis(millis)
    }
}

/// Returns the time during which at least one key was held by no server.
#[must_use]
pub fn measure(seed: u64, event: GapEvent) -> time::Duration {
    let mut simulation = simulation::GrantSimulation::with_reliable_network(seed);
    simulation.run(time::Duration::from_secs(SETTLE_S));
    let before = simulation.gap_duration();
    inject(&mut simulation, event);
    simulation.run(time::Duration::from_secs(WATCH_S));
    simulation.gap_duration().saturating_sub(before)
}

fn inject(simulation: &mut simulation::GrantSimulation, event: GapEvent) {
    match event {
        GapEvent::LostServer => simulation.servers[0].alive = false,
        GapEvent::LostGranter => simulation.kill_granter(),
        GapEvent::LostServerAndGranter => {
            simulation.servers[0].alive = false;
            simulation.kill_granter();
        }
        GapEvent::LostStore => simulation.lose_store(time::Duration::from_secs(OUTAGE_S)),
        GapEvent::LostStoreAndGranter => {
            simulation.lose_store(time::Duration::from_secs(OUTAGE_S));
            simulation.kill_granter();
        }
        GapEvent::DrainedServer => simulation.servers[0].draining = true,
        GapEvent::FullRestart => {
            for server in 0..simulation.servers.len() {
                simulation.restart_server(server);
            }
            simulation.kill_all_hosts();
        }
    }
}
