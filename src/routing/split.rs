//! Distributes the requests of a route among its services in proportion to their weights.
//!
//! The algorithm is smooth weighted round robin: in any run of requests, the number that a service
//! gets differs from its share by at most one, so that short runs keep to the weights too.

use std::collections;

use crate::names;
use crate::routing::specification;

/// The round-robin state of all routes at one traffic thread.
#[derive(Debug, Default)]
pub struct SplitCounter {
    routes: collections::HashMap<names::RouteName, RouteCredits>,
}

#[derive(Debug)]
struct RouteCredits {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl SplitCounter {
    /// Creates a counter without history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Selects the service of the next request of `route`; returns its index in the route's parts.
    pub fn choose(&mut self, route: &specification::RouteSpec) -> usize {
        if route.parts.len() < 2 {
            return 0;
        }
        let weights: Vec<u32> = route.parts.iter().map(|part| part.weight).collect();
        let entry = self.routes.entry(route.name.clone());
        let state = entry.or_insert_with(|| RouteCredits::new(weights.clone()));
        if state.weights != weights {
            *state = RouteCredits::new(weights);
        }
        state.choose()
    }
}

impl RouteCredits {
    fn new(weights: Vec<u32>) -> Self {
        let credits = vec![0; weights.len()];
        Self { weights, credits }
    }

    fn choose(&mut self) -> usize {
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let best = self.credits.iter().enumerate();
        let best = best.max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)));
        let index = best.map_or(0, |(index, _)| index);
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        self.credits[index] -= total;
        index
    }
}
