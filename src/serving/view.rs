//! What the control thread tells the traffic threads: immutable, replaced whole.

use std::collections;
use std::sync;

use crate::clock;
use crate::names;
use crate::ownership::assignment;
use crate::routing::specification;
use crate::serving::ages;
use crate::serving::directory;

/// What the other hosts have under way or waiting at each server, on average.
pub type ServerDemand = collections::BTreeMap<names::ServerName, f64>;

/// The newest book of grants, shared with the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct SharedGrants {
    /// The book.
    pub table: sync::Arc<assignment::AssignmentTable>,
    /// Since when its assignments are known.
    pub ages: sync::Arc<ages::RangeAges>,
}

impl SharedGrants {
    /// Takes the newest book.
    pub fn sync(&mut self, newest: &assignment::AssignmentTable, now: clock::MonoTime) {
        if *self.table != *newest {
            self.ages = sync::Arc::new(self.ages.with_table(newest, now));
            self.table = sync::Arc::new(newest.clone());
        }
    }
}

/// The state of the world as one host knows it.
#[derive(Clone, Debug)]
pub struct ServingView {
    /// The routes, once a version is known.
    pub routes: Option<sync::Arc<specification::RouteSet>>,
    /// The servers, by name.
    pub servers:
        sync::Arc<collections::BTreeMap<names::ServerName, sync::Arc<directory::ServerRecord>>>,
    /// The book of grants.
    pub table: sync::Arc<assignment::AssignmentTable>,
    /// Since when its assignments are known.
    pub ages: sync::Arc<ages::RangeAges>,
    /// What the other hosts want of each server.
    pub demand: sync::Arc<ServerDemand>,
    /// How many hosts there are, this one included.
    pub hosts: usize,
}

impl ServingView {
    /// Creates the view of a host that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            routes: None,
            servers: sync::Arc::default(),
            table: sync::Arc::default(),
            ages: sync::Arc::default(),
            demand: sync::Arc::default(),
            hosts: 1,
        }
    }

    /// Returns the server that holds a key, where one may be sent to.
    #[must_use]
    pub fn owner(&self, service: &names::ServiceName, key: u16) -> KeyOwner<'_> {
        let Some(range) = self.table.find(service, key) else {
            return KeyOwner::None;
        };
        if !range.formers.is_empty() {
            return KeyOwner::Moving(range);
        }
        KeyOwner::Server(&range.holder.life)
    }
}

impl Default for ServingView {
    fn default() -> Self {
        Self::new()
    }
}

/// Who holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// Nobody has held it yet.
    None,
    /// It is on its way to another server.
    Moving(&'a assignment::RangeEntry),
    /// A server holds it.
    Server(&'a assignment::ServerIncarnation),
}
