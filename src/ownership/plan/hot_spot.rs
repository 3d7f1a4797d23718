//! Spreads a hot spot: neighbouring keys that suddenly have more load than one server can process.
//!
//! Ordinary balancing halves the difference between two servers with each move, so that a load of
//! dozens of servers takes many rounds of moves, most of which move the same keys again. Here the keys
//! of an overloaded server are cut into parts that fit into the free capacity of one receiver each, and
//! all parts move in one plan.

use crate::ownership::plan;

/// Level of a server from which its keys are spread: its load is twice its capacity, which the noise of
/// the quick average does not reach at an ordinary load.
pub const HOT_LEVEL: f64 = 2.0;
/// Level up to which receivers are filled. The rest of their capacity absorbs bursts.
pub const FILL_LEVEL: f64 = 0.8;

impl plan::PlanState<'_> {
    // Moves parts of the hot servers' keys to the servers with the lowest levels, until the former are no
    // fuller than the receivers or no receiver has room.
    pub(super) fn spread_hot_spots(&mut self) {
        let fill = self.filled().max(FILL_LEVEL);
        let hot: Vec<_> = (0..self.candidates.len())
            .filter(|index| self.utilization(*index) >= HOT_LEVEL)
            .collect();
        for donor in hot {
            while self.ranges.len() < self.max_ranges() && self.move_hot_part(donor, fill) {}
        }
    }

    // Moves keys of `donor` to the server with the lowest level, which they fill up to `fill`. Reports
    // whether any moved.
    fn move_hot_part(&mut self, donor: usize, fill: f64) -> bool {
        let receiver = self.least_loaded();
        let excess = (self.utilization(donor) - fill) * self.candidates[donor].capacity();
        let room = (fill - self.utilization(receiver)) * self.candidates[receiver].capacity();
        let wanted = room.min(excess);
        if receiver == donor || wanted < plan::MIN_MOVED_BUSY {
            return false;
        }
        let life = &self.candidates[donor].holder.life;
        let part = self.best_part(life, wanted, plan::MIN_MOVED_BUSY);
        // A single key with more load than the receiver's room.
        let part = part.or_else(|| self.busiest_key_part(donor, receiver));
        let Some(part) = part else {
            return false;
        };
        let target = self.candidates[receiver].holder.clone();
        let index = self.cut_part(&part);
        self.assign(index, &target);
        true
    }

    fn utilization(&self, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        self.load(candidate) / candidate.capacity()
    }
}
