//! Tests placement: few moves even out the load, small differences cause none, hot shards stay, and
//! load estimates follow the measured rates.

use zinnia_lab::fixtures;
use zinniastack::load;
use zinniastack::names;
use zinniastack::peer;
use zinniastack::placement;

/// The users' bound on the ratio of the highest load of a server to the mean.
const PEAK_TO_MEAN: f64 = 1.25;

/// Twelve shards, one with ten times the load of the others. That is less than the mean load of a
/// server, so the load can be evened out.
const TENFOLD: [f64; 12] = [10.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

/// Servers, and their shards with the load of each.
struct PlacedServers {
    shards: Vec<placement::PlacedShard>,
    servers: Vec<names::ServerName>,
}

impl PlacedServers {
    fn new(servers: &[&[f64]]) -> Self {
        let mut placed = Self {
            shards: Vec::new(),
            servers: Vec::new(),
        };
        for (position, loads) in servers.iter().enumerate() {
            let server: names::ServerName = fixtures::name(&format!("s{position}"));
            for load in *loads {
                let shard = fixtures::name(&format!("stock/{}", placed.shards.len()));
                let server = server.clone();
                let load = *load;
                placed.shards.push(placement::PlacedShard {
                    shard,
                    server,
                    load,
                });
            }
            placed.servers.push(server);
        }
        placed
    }

    fn targets(&self) -> Vec<placement::PlacementTarget> {
        let targets = self.servers.iter().map(|server| {
            let mut target = placement::PlacementTarget::new(server.clone(), 6);
            let own = self.shards.iter().filter(|shard| shard.server == *server);
            own.for_each(|shard| target.add(shard.load));
            target
        });
        targets.collect()
    }

    fn peak_to_mean(&self) -> f64 {
        let loads: Vec<f64> = self.targets().iter().map(|target| target.load).collect();
        let count = f64::from(u32::try_from(loads.len()).expect("few"));
        let mean = loads.iter().sum::<f64>() / count;
        loads.into_iter().fold(0.0, f64::max) / mean
    }

    // Moves the chosen shards until no more moves are chosen; returns the number of moves.
    fn balance(&mut self, budget: usize) -> usize {
        let mut count = 0;
        loop {
            let moves = placement::choose_moves(&self.targets(), &self.shards, budget);
            if moves.is_empty() {
                return count;
            }
            for shard in &moves {
                self.move_shard(shard);
            }
            count += moves.len();
            assert!(count < 1_000, "placement does not converge");
        }
    }

    fn move_shard(&mut self, shard: &names::ShardId) {
        let position = self.shards.iter().position(|placed| placed.shard == *shard);
        let taken = self.shards.remove(position.expect("the shard is placed"));
        let chosen = placement::choose_target(&self.targets()).expect("there is a server");
        let server = self.servers[chosen].clone();
        self.shards.push(placement::PlacedShard { server, ..taken });
    }
}

fn expect_balanced(servers: &[&[f64]], most_moves: usize) {
    let mut placed = PlacedServers::new(servers);
    let moved = placed.balance(4);
    let ratio = placed.peak_to_mean();
    assert!(ratio <= PEAK_TO_MEAN, "{ratio} after {moved} moves");
    assert!(
        moved <= most_moves,
        "{moved} moves where {most_moves} are enough"
    );
}

fn expect_no_moves(servers: &[&[f64]]) {
    assert_eq!(PlacedServers::new(servers).balance(4), 0);
}

// A shard whose load is above the mean of a server stays in place, and the other shards of its
// server move away.
fn a_hot_shard_is_left_alone_on_its_server() {
    let mut placed = PlacedServers::new(&[&[40.0, 1.0, 1.0], &[1.0, 1.0, 1.0], &[1.0, 1.0, 1.0]]);
    placed.balance(4);
    let hot = placed.shards.iter().find(|shard| shard.load > 2.0);
    assert_eq!(hot.map(|shard| shard.server.as_str()), Some("s0"));
    let others_on_server = placed
        .shards
        .iter()
        .filter(|shard| shard.server.as_str() == "s0");
    assert_eq!(others_on_server.count(), 1);
}

fn the_budget_is_kept() {
    let placed = PlacedServers::new(&[&[1.0; 20], &[], &[]]);
    let moves = placement::choose_moves(&placed.targets(), &placed.shards, 3);
    assert_eq!(moves.len(), 3);
}

fn loads_rise_fall_and_are_forgotten() {
    let counted = [peer::ShardLoad {
        shard: fixtures::name("stock/1"),
        rate: 100.0,
    }];
    let mut estimator = load::LoadEstimator::new();
    for _ in 0..20 {
        estimator.note(&counted);
    }
    let rate = estimator.heaviest(1)[0].rate;
    assert!((rate - 100.0).abs() < 1.0, "{rate}");
    estimator.note(&[]);
    assert!(estimator.heaviest(1)[0].rate < rate);
    for _ in 0..40 {
        estimator.note(&[]);
    }
    assert!(estimator.heaviest(1).is_empty());
}

macro_rules! placement_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

placement_cases! {
    even_counts_stay: expect_no_moves(&[&[1.0; 4], &[1.0; 4], &[1.0; 4]]);
    a_little_uneven_stays: expect_no_moves(&[&[1.0; 6], &[1.0; 5], &[1.0; 5]]);
    an_empty_server_is_filled: expect_balanced(&[&[1.0; 6], &[1.0; 6], &[]], 4);
    a_tenfold_hot_shard_is_evened_out: expect_balanced(
        &[&TENFOLD, &[1.0; 12], &[1.0; 12], &[1.0; 12], &[1.0; 12]], 8);
    two_hot_shards_on_one_server_are_separated: expect_balanced(&[&[10.0, 10.0, 1.0], &[1.0; 9], &[1.0; 9]], 10);
    a_hot_shard_keeps_its_server: a_hot_shard_is_left_alone_on_its_server();
    moves_stay_within_the_budget: the_budget_is_kept();
    load_estimates_follow_and_expire: loads_rise_fall_and_are_forgotten();
}
