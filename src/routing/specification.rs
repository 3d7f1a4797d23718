//! The versioned set of routes and services, and its validation.

use std::collections;
use std::sync;
use std::time;

use crate::names;

/// Upper bound of a route's time-out, in milliseconds.
pub const MAX_ROUTE_TIMEOUT_MS: u64 = 600_000;
/// The rate from which a limit on requests to cold servers is no limit, in requests a second.
pub const MAX_COLD_PER_S: f64 = 1_000_000.0;
/// Upper bound of the time for which a server is cold after it has started, in seconds.
pub const MAX_COLD_START_S: u32 = 3_600;

/// Whether the requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A request may run more than once.
    Idempotent,
    /// A request must run at most once.
    Once,
    /// A request must run at most once, and has a large body.
    Upload,
}

impl RequestKind {
    /// Reports whether a request may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// The share of one service in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SplitPart {
    /// The service.
    pub service: names::ServiceName,
    /// Its weight relative to the other parts of the route.
    pub weight: u32,
}

/// A route: the requests that it matches, and how they are served.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteSpec {
    /// The route's name.
    pub name: names::RouteName,
    /// The prefix of the paths that match; begins and ends with a slash.
    pub prefix: sync::Arc<str>,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// The time after which the caller gets a response in any case.
    pub timeout: time::Duration,
    /// The latency objective.
    pub objective: time::Duration,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The services, with their weights.
    pub parts: Vec<SplitPart>,
}

/// The limit on requests to a server that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ColdLimit {
    /// How long a server is cold after it has started.
    pub duration: time::Duration,
    /// How many requests a cold server can bear in 1,000 seconds.
    pub per_1000_s: u32,
}

impl ColdLimit {
    /// Creates the limit of `per_s` requests a second; `None` where that is no limit. A rate is rounded
    /// down to three decimal places.
    #[must_use]
    pub fn new(duration: time::Duration, per_s: f64) -> Option<Self> {
        let is_limit = per_s > 0.0 && per_s < MAX_COLD_PER_S;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive and below MAX_COLD_PER_S"
        )]
        is_limit.then(|| Self {
            duration: duration.min(time::Duration::from_secs(u64::from(MAX_COLD_START_S))),
            per_1000_s: (per_s * 1_000.0) as u32,
        })
    }

    /// Returns how many requests a cold server can bear in a second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// The service's name.
    pub name: names::ServiceName,
    /// Whether each key of the service is held by one server.
    pub sharded: bool,
    /// Maximum number of connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// The limit on requests to its cold servers, if there is one.
    pub cold: Option<ColdLimit>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time for receiving a request head.
    pub head_timeout: time::Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// The routes of one host name, sorted by descending length of the prefix.
pub type HostRoutes = Vec<sync::Arc<RouteSpec>>;

/// A versioned set of routes and services.
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
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// Why a set of routes is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum RouteError {
    /// A route refers to a service that the set does not define.
    #[snafu(display("route {route}: unknown service {service}"))]
    UnknownService {
        /// The route.
        route: names::RouteName,
        /// The service.
        service: names::ServiceName,
    },
    /// No service of a route has a weight above 0.
    #[snafu(display("route {route}: no service has a weight above 0"))]
    NoWeight {
        /// The route.
        route: names::RouteName,
    },
    /// The maximum number of attempts of a route is 0.
    #[snafu(display("route {route}: the maximum number of attempts is 0"))]
    NoAttempts {
        /// The route.
        route: names::RouteName,
    },
    /// The time-out of a route is 0 or above [`MAX_ROUTE_TIMEOUT_MS`].
    #[snafu(display(
        "route {route}: a time-out of {timeout_ms} ms is not within 1 to {MAX_ROUTE_TIMEOUT_MS} ms"
    ))]
    BadTimeout {
        /// The route.
        route: names::RouteName,
        /// The time-out, in milliseconds.
        timeout_ms: u128,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[snafu(display("route {route}: prefix '{prefix}' does not begin and end with '/'"))]
    BadPrefix {
        /// The route.
        route: names::RouteName,
        /// The prefix.
        prefix: sync::Arc<str>,
    },
}

impl RouteSet {
    /// Creates a set after validating each route.
    ///
    /// # Errors
    /// Fails on the first invalid route.
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

    /// Returns the route with the longest prefix that matches a request.
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
