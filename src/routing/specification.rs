//! The numbered set of routes and services, with its checks.

use std::collections;
use std::sync;
use std::time;

use crate::names;

/// The longest timeout that a route may have, in milliseconds.
pub const MAX_ROUTE_TIMEOUT_MS: u64 = 600_000;

/// What may be done twice with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// It is idempotent.
    Idempotent,
    /// It may run once at most.
    Once,
    /// It may run once at most, and has a large body.
    Upload,
}

impl RequestKind {
    /// Reports whether a request may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// One service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SplitPart {
    /// The service.
    pub service: names::ServiceName,
    /// Its weight among the route's parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteSpec {
    /// The route's name.
    pub name: names::RouteName,
    /// What a request's path begins with.
    pub prefix: sync::Arc<str>,
    /// What may be done twice.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// The latency objective.
    pub objective: time::Duration,
    /// How many servers one request may be sent to.
    pub max_attempts: u32,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u32,
    /// The services, with their weights.
    pub parts: Vec<SplitPart>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// The service's name.
    pub name: names::ServiceName,
    /// Whether its servers own keys.
    pub sharded: bool,
    /// The number of connections that one server takes from all hosts.
    pub max_connections: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallerLimits {
    /// The size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The longest time that a head may take.
    pub head_timeout: time::Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// The routes of one host name, the longest prefix first.
pub type HostRoutes = Vec<sync::Arc<RouteSpec>>;

/// A numbered set of routes and services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteSet {
    /// The version.
    pub version: u64,
    /// The routes, by host name.
    pub hosts: collections::BTreeMap<sync::Arc<str>, HostRoutes>,
    /// The services, by name.
    pub services: collections::BTreeMap<names::ServiceName, sync::Arc<ServiceSpec>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Why a set of routes is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum RouteError {
    /// A route names a service that the set does not have.
    #[snafu(display("route {route} names the unknown service {service}"))]
    UnknownService {
        /// The route.
        route: names::RouteName,
        /// The service.
        service: names::ServiceName,
    },
    /// A route has no part with a weight.
    #[snafu(display("route {route} has no weight"))]
    NoWeight {
        /// The route.
        route: names::RouteName,
    },
    /// A route allows no attempt.
    #[snafu(display("route {route} allows no attempt"))]
    NoAttempts {
        /// The route.
        route: names::RouteName,
    },
    /// A route's timeout is zero or too long.
    #[snafu(display("route {route} has a timeout of {timeout_ms} ms"))]
    BadTimeout {
        /// The route.
        route: names::RouteName,
        /// The timeout, in milliseconds.
        timeout_ms: u128,
    },
    /// A route's prefix does not begin and end with a slash.
    #[snafu(display("route {route} has the prefix '{prefix}'"))]
    BadPrefix {
        /// The route.
        route: names::RouteName,
        /// The prefix.
        prefix: sync::Arc<str>,
    },
}

impl RouteSet {
    /// Creates a checked set.
    ///
    /// # Errors
    /// Fails on the first route that does not fit.
    pub fn new(
        version: u64,
        routes: Vec<(sync::Arc<str>, RouteSpec)>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Result<Self, RouteError> {
        let services = services.into_iter();
        let services: collections::BTreeMap<_, _> = services
            .map(|spec| (spec.name.clone(), sync::Arc::new(spec)))
            .collect();
        let mut hosts = collections::BTreeMap::<sync::Arc<str>, HostRoutes>::new();
        for (host, route) in routes {
            check_route(&route, &services)?;
            hosts.entry(host).or_default().push(sync::Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version,
            hosts,
            services,
            limits,
        })
    }

    /// Returns the route of a request: the one with the longest prefix of its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<RouteSpec>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

fn check_route(
    route: &RouteSpec,
    services: &collections::BTreeMap<names::ServiceName, sync::Arc<ServiceSpec>>,
) -> Result<(), RouteError> {
    let name = || route.name.clone();
    let known = |part: &&SplitPart| !services.contains_key(&part.service);
    if let Some(part) = route.parts.iter().find(known) {
        let service = part.service.clone();
        return route_error::UnknownServiceSnafu {
            route: name(),
            service,
        }
        .fail();
    }
    if route.parts.iter().all(|part| part.weight == 0) {
        return route_error::NoWeightSnafu { route: name() }.fail();
    }
    if route.max_attempts == 0 {
        return route_error::NoAttemptsSnafu { route: name() }.fail();
    }
    let timeout_ms = route.timeout.as_millis();
    if timeout_ms == 0 || timeout_ms > u128::from(MAX_ROUTE_TIMEOUT_MS) {
        return route_error::BadTimeoutSnafu {
            route: name(),
            timeout_ms,
        }
        .fail();
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let prefix = sync::Arc::clone(&route.prefix);
        return route_error::BadPrefixSnafu {
            route: name(),
            prefix,
        }
        .fail();
    }
    Ok(())
}
