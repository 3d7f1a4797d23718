//! The connections from hosts to servers that carry grants, and the requests that go over them.

use rand::RngExt as _;

use crate::grants::simulation;
use zinniastack::clock;
use zinniastack::ownership::order;

/// How many orders one connection carries on average before it breaks.
const ORDERS_PER_CONNECTION: u32 = 60;
/// In how many orders one request for a key of the range has gone over the connection before.
const ORDERS_PER_REQUEST: u32 = 3;

/// A host's connection to a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerConnection {
    // When it was opened, by the host's clock.
    opened: clock::MonoTime,
    // The process of the server that it leads to.
    pub(super) born: u64,
    // Whether the server has carried out an order that was sent over it, as far as the host knows.
    pub(super) has_answered: bool,
    // Keys of requests that the process has run.
    run_keys: Vec<u16>,
}

impl ServerConnection {
    fn has_run(&self, range: &order::RangeId) -> bool {
        let mut keys = self.run_keys.iter();
        keys.any(|key| (range.first..=range.last).contains(key))
    }
}

impl simulation::GrantSimulation {
    // The process of the server to which the order's connection leads; `None` where no connection may
    // carry the order.
    pub(super) fn connect(
        &mut self,
        host: usize,
        server: usize,
        order: &order::GrantOrder,
    ) -> Option<u64> {
        let born = self.servers[server].server.incarnation.born;
        let breaks = !self.is_reliable && self.chance(ORDERS_PER_CONNECTION);
        let opened = self.clock_of(host);
        let known = self.hosts[host].connections.remove(&server);
        let mut connection = known
            .filter(|known| known.born == born && !breaks)
            .unwrap_or(ServerConnection {
                opened,
                born,
                has_answered: false,
                run_keys: Vec::new(),
            });
        connection
            .run_keys
            .extend(self.run_request(server, &order.range));
        let is_proven = order.may_be_proven && connection.has_run(&order.range);
        let may_carry = self.mutation == simulation::GrantMutation::LateConnection
            || connection.opened <= order.connected_by
            || is_proven;
        self.hosts[host].connections.insert(server, connection);
        may_carry.then_some(born)
    }

    // Sends a request for a key of the range now and then. Returns the key if the server ran it.
    fn run_request(&mut self, server: usize, range: &order::RangeId) -> Option<u16> {
        if !self.chance(ORDERS_PER_REQUEST) {
            return None;
        }
        let key = self.random.random_range(range.first..=range.last);
        let mut held = self.servers[server].server.held(self.now);
        let is_run = held.any(|held| (held.first..=held.last).contains(&key));
        let counts = is_run || self.mutation == simulation::GrantMutation::RefusedRequest;
        counts.then_some(key)
    }

    // Records that an order has been carried out, as a response over the connection shows.
    pub(super) fn note_answered(&mut self, host: usize, order: &order::GrantOrder) {
        let server = self.server_of(&order.address);
        if let Some(connection) = self.hosts[host].connections.get_mut(&server) {
            connection.has_answered = true;
        }
    }
}
