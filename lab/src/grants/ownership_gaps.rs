//! For how long keys are held by no server after one event, in the virtual world of granting.

use std::time;

use crate::grants::simulation;

/// How long the world runs before the event, in seconds.
const SETTLE_S: u64 = 10;
/// How long it runs after the event, in seconds: longer than a former granter's right and a hold.
const WATCH_S: u64 = 40;
/// How long the store is away, in seconds.
const OUTAGE_S: u64 = 10;
/// How long after a server's end anyone can know of it, in milliseconds: until its entry in the store
/// is removed.
pub const DETECTION_MS: u64 = simulation::ENTRY_TTL_MS;

/// What befalls the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GapEvent {
    /// A server ends.
    LostServer,
    /// The granter ends, and its host starts another process.
    LostGranter,
    /// Both.
    LostServerAndGranter,
    /// The store is away.
    LostStore,
    /// The store is away, and the granter ends.
    LostStoreAndGranter,
    /// A server drains.
    DrainedServer,
    /// All hosts and servers start anew.
    FullRestart,
}

impl GapEvent {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::LostServer,
        Self::LostGranter,
        Self::LostServerAndGranter,
        Self::LostStore,
        Self::LostStoreAndGranter,
        Self::DrainedServer,
        Self::FullRestart,
    ];

    /// Returns the name in measurements.
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

    /// Returns the longest span without a holder that is aimed at.
    #[must_use]
    pub const fn bound(self) -> time::Duration {
        let millis = match self {
            Self::LostServer | Self::LostServerAndGranter => DETECTION_MS + 2_000,
            Self::LostGranter | Self::LostStore => 0,
            // Nobody can claim the duty before the store is back.
            Self::LostStoreAndGranter => OUTAGE_S * 1_000 + 2_000,
            // A server lets keys go once the work on them has ended.
            Self::DrainedServer => simulation::MAX_WORK_MS + 100,
            Self::FullRestart => 5_000,
        };
        time::Duration::from_millis(millis)
    }
}

/// Returns for how long some key was held by no server.
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
            for host in 0..simulation::HOSTS {
                simulation.kill_host(host);
            }
        }
    }
}
