//! Tests route lookup by host and prefix, the validation of route sets, and traffic splits by
//! weight.

use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::names;
use zinniastack::routing::specification;
use zinniastack::routing::split;

fn route(route: &str, prefix: &str, parts: &[(&str, u32)]) -> specification::RouteSpec {
    let parts = parts
        .iter()
        .map(|(service, weight)| specification::SplitPart {
            service: fixtures::name(service),
            weight: *weight,
        });
    specification::RouteSpec {
        name: fixtures::name(route),
        prefix: sync::Arc::from(prefix),
        kind: specification::RequestKind::Once,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(300),
        max_attempts: 2,
        priority: 1,
        parts: parts.collect(),
    }
}

fn limits() -> specification::CallerLimits {
    specification::CallerLimits {
        head_bytes: 1_000,
        body_bytes: 1_000,
        head_timeout: time::Duration::from_secs(1),
        idle_timeout: time::Duration::from_secs(1),
    }
}

fn service(text: &str) -> specification::ServiceSpec {
    specification::ServiceSpec {
        name: fixtures::name(text),
        sharded: false,
        max_connections: 10,
        cold: None,
    }
}

fn set_of(
    routes: Vec<specification::RouteSpec>,
) -> Result<specification::RouteSet, specification::RouteError> {
    let host: sync::Arc<str> = sync::Arc::from("a.example");
    let routes = routes
        .into_iter()
        .map(|route| (sync::Arc::clone(&host), route));
    let services = vec![service("x"), service("y")];
    specification::RouteSet::new(1, routes.collect(), services, limits())
}

fn found(host: &str, path: &str) -> Option<names::RouteName> {
    let routes = vec![
        route("short", "/a/", &[("x", 1)]),
        route("long", "/a/b/", &[("y", 1)]),
    ];
    let set = set_of(routes).expect("the route set is valid");
    set.find(host, path).map(|route| route.name.clone())
}

fn error_of(change: impl Fn(&mut specification::RouteSpec)) -> Option<specification::RouteError> {
    let mut changed = route("r", "/a/", &[("x", 1)]);
    change(&mut changed);
    set_of(vec![changed]).err()
}

macro_rules! lookup_cases {
    ($($name:ident: $host:literal, $path:literal => $route:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(found($host, $path), $route.map(fixtures::name::<names::RouteName>));
        }
    )*};
}

lookup_cases! {
    finds_the_only_prefix: "a.example", "/a/c" => Some("short");
    finds_the_longest_prefix: "a.example", "/a/b/c" => Some("long");
    finds_a_prefix_that_is_the_path: "a.example", "/a/b/" => Some("long");
    finds_no_part_of_a_segment: "a.example", "/ab/c" => None;
    finds_nothing_at_another_host: "b.example", "/a/c" => None;
}

macro_rules! error_cases {
    ($($name:ident: $change:expr => $variant:ident;)*) => {$(
        #[test]
        fn $name() {
            let found = error_of($change);
            assert!(matches!(found, Some(specification::RouteError::$variant { .. })), "{found:?}");
        }
    )*};
}

error_cases! {
    refuses_an_unknown_service:
        |r| r.parts[0].service = fixtures::name("z") => UnknownService;
    refuses_a_route_without_weight:
        |r| r.parts[0].weight = 0 => NoWeight;
    refuses_a_route_without_parts:
        |r| r.parts.clear() => NoWeight;
    refuses_no_attempts: |r| r.max_attempts = 0 => NoAttempts;
    refuses_no_time:
        |r| r.timeout = time::Duration::ZERO => BadTimeout;
    refuses_too_much_time:
        |r| r.timeout = time::Duration::from_secs(100_000) => BadTimeout;
    refuses_a_prefix_without_slash:
        |r| r.prefix = sync::Arc::from("/a") => BadPrefix;
}

// Checks that, after each of `count` requests, the count of every part is within one request of its
// weighted share.
fn expect_even_split(weights: &[u32], count: u32) {
    let names = ["x", "y", "z"];
    let parts: Vec<_> = names.iter().copied().zip(weights.iter().copied()).collect();
    let route = route("r", "/a/", &parts);
    let total: u32 = weights.iter().sum();
    let mut counter = split::SplitCounter::new();
    let mut sent = vec![0_u32; weights.len()];
    for number in 1..=count {
        sent[counter.choose(&route)] += 1;
        for (sent, weight) in sent.iter().zip(weights) {
            let due = f64::from(number) * f64::from(*weight) / f64::from(total);
            let off = (f64::from(*sent) - due).abs();
            assert!(off <= 1.0, "{sent} of {number} requests instead of {due}");
        }
    }
}

macro_rules! split_cases {
    ($($name:ident: $weights:expr;)*) => {$(
        #[test]
        fn $name() {
            expect_even_split(&$weights, 500);
        }
    )*};
}

split_cases! {
    splits_evenly: [1, 1];
    splits_unevenly: [90, 10];
    splits_among_three: [5, 3, 2];
    sends_nothing_to_a_part_without_weight: [1, 0];
}
