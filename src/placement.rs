//! Placement of shards on servers, and the choice of few moves that balance the load.

use crate::names;

/// The ratio of the highest utilization to the mean above which rebalancing starts.
pub const REBALANCE_START_RATIO: f64 = 1.20;
/// The ratio of the highest utilization to the mean at which rebalancing stops; it is lower than
/// the start so that small changes of load don't move shards back and forth.
pub const REBALANCE_STOP_RATIO: f64 = 1.10;

/// A server that shards can be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementTarget {
    /// The server.
    pub server: names::ServerName,
    /// Its capacity, in slots.
    pub capacity: f64,
    /// The total load of its shards, in the same unit for all targets.
    pub load: f64,
    /// The number of its shards.
    pub shards: usize,
}

impl PlacementTarget {
    /// Creates a target without shards.
    #[must_use]
    pub fn new(server: names::ServerName, slots: u32) -> Self {
        Self {
            server,
            capacity: f64::from(slots.max(1)),
            load: 0.0,
            shards: 0,
        }
    }

    /// Adds a shard of the given load.
    pub fn add(&mut self, load: f64) {
        self.load += load;
        self.shards += 1;
    }

    fn remove(&mut self, load: f64) {
        self.load -= load;
        self.shards -= 1;
    }

    fn utilization(&self) -> f64 {
        self.load / self.capacity
    }
}

/// A shard that has an owner, with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedShard {
    /// The shard.
    pub shard: names::ShardId,
    /// Its owner.
    pub server: names::ServerName,
    /// Its load.
    pub load: f64,
}

/// Returns the index of the target with the lowest utilization, for a shard without an owner.
#[must_use]
pub fn choose_target(targets: &[PlacementTarget]) -> Option<usize> {
    let by_utilization = |a: &usize, b: &usize| {
        let (a, b) = (&targets[*a], &targets[*b]);
        a.utilization()
            .total_cmp(&b.utilization())
            .then(a.shards.cmp(&b.shards))
            .then(a.server.cmp(&b.server))
    };
    (0..targets.len()).min_by(by_utilization)
}

/// Returns at most `budget` shards whose move brings the highest utilization close to the mean. A
/// shard that alone overloads its server stays there, and the server's other shards move.
#[must_use]
pub fn choose_moves(
    targets: &[PlacementTarget],
    shards: &[PlacedShard],
    budget: usize,
) -> Vec<names::ShardId> {
    let mut targets = targets.to_vec();
    let mut moves = Vec::new();
    if peak_ratio(&targets) <= REBALANCE_START_RATIO {
        return moves;
    }
    let mut shards: Vec<&PlacedShard> = shards.iter().collect();
    while moves.len() < budget && peak_ratio(&targets) > REBALANCE_STOP_RATIO {
        let Some(position) = best_move(&targets, &shards) else {
            break;
        };
        let chosen = shards.swap_remove(position);
        apply_move(&mut targets, chosen);
        moves.push(chosen.shard.clone());
    }
    moves
}

fn peak_ratio(targets: &[PlacementTarget]) -> f64 {
    let capacity: f64 = targets.iter().map(|t| t.capacity).sum();
    let load: f64 = targets.iter().map(|t| t.load).sum();
    let peak = targets.iter().map(PlacementTarget::utilization);
    let peak = peak.fold(0.0, f64::max);
    if load <= 0.0 {
        return 1.0;
    }
    peak / (load / capacity)
}

// Chooses among the shards of the server with the highest utilization the one whose move to the
// server with the lowest gives the lowest maximum of both; none if no move lowers it.
fn best_move(targets: &[PlacementTarget], shards: &[&PlacedShard]) -> Option<usize> {
    let most_utilized = (0..targets.len()).max_by(|a, b| {
        targets[*a]
            .utilization()
            .total_cmp(&targets[*b].utilization())
    })?;
    let least_utilized = choose_target(targets)?;
    let (from, to) = (&targets[most_utilized], &targets[least_utilized]);
    let peak_after = |shard: &PlacedShard| {
        let left = (from.load - shard.load) / from.capacity;
        let gained = (to.load + shard.load) / to.capacity;
        left.max(gained)
    };
    let candidates = (0..shards.len()).filter(|i| shards[*i].server == from.server);
    let best = candidates.min_by(|a, b| {
        let (a, b) = (shards[*a], shards[*b]);
        peak_after(a)
            .total_cmp(&peak_after(b))
            .then(a.shard.cmp(&b.shard))
    })?;
    let gain = from.utilization() - peak_after(shards[best]);
    (gain > 0.0).then_some(best)
}

fn apply_move(targets: &mut [PlacementTarget], moved: &PlacedShard) {
    let least_utilized = choose_target(targets);
    if let Some(from) = targets.iter_mut().find(|t| t.server == moved.server) {
        from.remove(moved.load);
    }
    if let Some(to) = least_utilized {
        targets[to].add(moved.load);
    }
}
