//! The settings file of one entry host, as the platform writes it, and the operator's configuration.

use std::net;

/// The listen addresses of one entry host.
#[derive(Clone, Copy, Debug)]
pub struct HostPorts {
    /// Where callers connect.
    pub front: net::SocketAddr,
    /// Where the host answers readiness probes.
    pub ready: net::SocketAddr,
    /// The port at which other hosts connect.
    pub peers: u16,
}

/// Returns the settings file of a host.
#[must_use]
pub fn settings_file(name: &str, ports: &HostPorts, store: net::SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "grants": "call",
        "self": { "node": name, "zone": "north", "ip": ports.front.ip() },
        "network": {
            "listen": { "front": ports.front, "ready": ports.ready },
            "internal_ports": [ports.peers, ports.peers],
        },
        "platform": { "platform": { "address": store, "min_ttl_ms": 1_000 } },
        "terms": { "bounds": {
            "grace_s": 4, "retry_ratio": 0.2, "retry_slack": 60, "max_hold_ms": 10_000,
        } },
    })
}

/// Returns a configuration that routes `/stock/` to a sharded service, `/orders/` to a pool of servers
/// and, if `extra` is set, `/extra/` to the same pool.
#[must_use]
pub fn configuration(version: u64, extra: bool) -> serde_json::Value {
    let added: &[&str] = if extra { &["extra"] } else { &[] };
    configuration_with(version, added)
}

/// The time-out of the route of [`configuration_with_plans`], in milliseconds.
const PLANS_TIMEOUT_MS: u64 = 8_000;
/// The latency objective of that route, in milliseconds.
const PLANS_OBJECTIVE_MS: u64 = 4_000;

/// Returns a configuration with a third route, `/plans/`, whose requests may wait for seconds.
#[must_use]
pub fn configuration_with_plans(version: u64) -> serde_json::Value {
    let mut configuration = configuration_with(version, &["plans"]);
    let path = &mut configuration["hosts"][0]["paths"][2];
    path["timeout_ms"] = PLANS_TIMEOUT_MS.into();
    path["target_latency_ms"] = PLANS_OBJECTIVE_MS.into();
    configuration
}

/// Returns a configuration that routes `/stock/` to a sharded service, and `/orders/` and a path for
/// each name in `added` to a pool of servers.
#[must_use]
pub fn configuration_with(version: u64, added: &[&str]) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        serde_json::json!({
            "name": format!("r-{name}"), "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 2_000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
            "service": service,
        })
    };
    let mut paths = vec![
        route("stock", "safe", "stock"),
        route("orders", "unsafe", "orders"),
    ];
    paths.extend(added.iter().map(|name| route(name, "unsafe", "orders")));
    serde_json::json!({
        "version": version,
        "services": [
            { "name": "stock", "health_path": "/health", "max_conns": 100, "use_shards": true },
            { "name": "orders", "health_path": "/health", "max_conns": 100 },
        ],
        "limits": {
            "max_header_bytes": 4_096, "max_body_bytes": 3_000_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "hosts": [{ "host": "desk.example", "paths": paths }],
    })
}
