//! Measurements of the control plane's cost at several sizes, and straight lines fitted to them.

use std::hint;
use std::sync;
use std::time;

use zinniastack::authority;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::fence;
use zinniastack::grant;
use zinniastack::names;
use zinniastack::peer;
use zinniastack::record;
use zinniastack::replay;
use zinniastack::table;
use zinniastack::timing;

use crate::server_state;

/// The measured sizes of routing tables, in shards.
pub const TABLE_SIZES: [u32; 4] = [1_000, 10_000, 100_000, 1_000_000];
/// The measured numbers of servers of one granter.
pub const SERVER_SIZES: [u16; 5] = [10, 30, 100, 300, 1_000];
/// The measured numbers of hosts that a status exchange lists.
pub const HOST_SIZES: [u16; 5] = [4, 8, 16, 24, 32];
/// The shards of each server when lease renewals are measured.
pub const SHARDS_PER_SERVER: u32 = 12;

/// The rounds of renewals before measuring starts.
const WARM_UP_ROUNDS: u32 = 12;
/// The measured rounds of renewals.
const ROUNDS: u32 = 30;
/// The failure domains that a status exchange lists.
const DOMAINS: u16 = 6;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPoint {
    /// The size, in the unit of the measurement.
    pub size: f64,
    /// The value at that size.
    pub value: f64,
}

/// A line through measured points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySlope {
    /// The value at size 0.
    pub intercept: f64,
    /// The growth for each unit of size.
    pub per_unit: f64,
}

/// Fits a line to points by least squares.
#[must_use]
pub fn fit_line(points: &[CapacityPoint]) -> CapacitySlope {
    let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let deviation_squares: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let deviation_products = points
        .iter()
        .map(|p| (p.size - mean_size) * (p.value - mean_value));
    let per_unit = deviation_products.sum::<f64>() / deviation_squares.max(f64::EPSILON);
    CapacitySlope {
        intercept: mean_value - per_unit * mean_size,
        per_unit,
    }
}

fn mean_duration(calls: u32, mut call: impl FnMut(u32)) -> time::Duration {
    let started = time::Instant::now();
    for number in 0..calls {
        call(number);
    }
    started.elapsed() / calls
}

fn nanos(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1e9
}

fn micros(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn name<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn site(servers: u16, shards: u32) -> Option<configuration::Configuration> {
    let domain: names::DomainName = name("north")?;
    let service: names::ServiceName = name("stock")?;
    let server = |number: u16| {
        Some(configuration::ServerSpec {
            name: name(&format!("s{number}"))?,
            service: service.clone(),
            domain: domain.clone(),
            address: ([127, 0, 0, 1], number).into(),
            fences: configuration::FenceMode::Checked,
            slots: 6,
            connections: 130,
            withdrawn: None,
        })
    };
    Some(configuration::Configuration {
        domain: vec![configuration::DomainSpec {
            name: domain.clone(),
            gone: None,
        }],
        host: Vec::new(),
        service: vec![configuration::ServiceSpec {
            name: service.clone(),
            rank: configuration::WorkRank::new(1).ok()?,
            shards,
            deadline_ms: 500,
            floor_percent: 0,
            max_body_bytes: 1_024,
            homes: vec![domain.clone()],
        }],
        server: (1..=servers).map(server).collect::<Option<_>>()?,
        feature: Vec::new(),
    })
}

/// Returns a change of one route of the measured service, or `None` where a name is invalid.
#[must_use]
pub fn change(index: u32, sequence: u64) -> Option<table::RouteChange> {
    let term = fence::TermId::new(5, name("h1")?, 7);
    Some(table::RouteChange {
        shard: names::ShardId::new(name("stock")?, index),
        route: Some(table::RouteEntry {
            server: name(&format!("s{}", index % 10 + 1))?,
            fence: fence::GrantFence::new(sync::Arc::new(term), sequence),
        }),
    })
}

/// The cost of a routing table.
#[derive(Clone, Copy, Debug)]
pub struct TableCost {
    /// The mean time of a lookup, in nanoseconds.
    pub lookup_ns: f64,
    /// The mean time to change one route and clone the table for sharing, in nanoseconds.
    pub change_ns: f64,
    /// The resident memory that the table added, in bytes.
    pub bytes: f64,
}

/// Returns a routing table in which every shard has a route.
#[must_use]
pub fn filled_table(shards: u32) -> Option<table::RoutingTable> {
    let mut table = table::RoutingTable::new(1, &site(10, shards)?);
    let term = sync::Arc::new(fence::TermId::new(5, name("h1")?, 7));
    for index in 0..shards {
        let mut change = change(index, u64::from(index))?;
        let entry = change.route.as_mut()?;
        entry.fence.term = sync::Arc::clone(&term);
        table.set_routes([&change]);
    }
    Some(table)
}

/// Measures a routing table with `shards` routes.
#[must_use]
pub fn measure_table(shards: u32) -> Option<TableCost> {
    let before = resident_bytes();
    let mut table = filled_table(shards)?;
    let bytes = resident_bytes() - before;
    let keys: Vec<String> = (0..4_096).map(|number| format!("key-{number}")).collect();
    let lookup = mean_duration(400_000, |number| {
        let key = &keys[number as usize % keys.len()];
        hint::black_box(table.lookup("stock", key));
    });
    let changed = mean_duration(20_000, |number| {
        let index = number.wrapping_mul(7_919) % shards;
        if let Some(change) = change(index, u64::from(number)) {
            table.set_routes([&change]);
        }
        hint::black_box(table.clone());
    });
    Some(TableCost {
        lookup_ns: nanos(lookup),
        change_ns: nanos(changed),
        bytes,
    })
}

// Returns the resident set size from the second field of `/proc/self/statm`, or 0 where that cannot be
// read.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// The cost to a granter of one round of lease renewals.
#[derive(Clone, Copy, Debug)]
pub struct RenewalCost {
    /// The elapsed time with the encoding and decoding of the messages, in microseconds.
    pub round_us: f64,
    /// The size of the orders and responses, in bytes.
    pub round_bytes: f64,
}

/// Measures a granter's rounds of lease renewals with `servers` servers.
#[must_use]
pub fn measure_renewals(servers: u16) -> Option<RenewalCost> {
    let shards = SHARDS_PER_SERVER * u32::from(servers);
    let mut replay = replay::LogReplay::new().ok()?;
    let body = record::RecordBody::Patch(record::PatchBody {
        base: 0,
        changes: site(servers, shards)?.to_changes(),
    });
    replay.apply(&record::LogRecord::new(name("first")?, body).encode());
    let domain: names::DomainName = name("north")?;
    let witnesses = replay.state().witnesses.get(&domain)?.clone();
    let start = authority::GrantStart {
        term: sync::Arc::new(fence::TermId::new(9, name("h2")?, 8)),
        former_end: clock::MonoTime::default(),
        reports: Vec::new(),
    };
    let setup = grant::GrantSetup {
        domain,
        timing: timing::LeaseTiming::new(),
        start: &start,
        replay: replay.state(),
        former: None,
    };
    let mut now = clock::MonoTime::from_millis(10_000);
    let mut granter = grant::ShardGranter::new(grant::GrantCharts::new().ok()?, &setup, now);
    let mut states: Vec<_> = (0..servers)
        .map(|number| server_state::ServerSetup {
            fences: configuration::FenceMode::Checked,
            slots: 6,
            incarnation: u64::from(number),
        })
        .map(|setup| server_state::ServerState::new(setup, clock::MonoTime::default()))
        .collect();
    let mut cost = RenewalCost {
        round_us: 0.0,
        round_bytes: 0.0,
    };
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        now = now + time::Duration::from_millis(timing::RENEW_INTERVAL_MS);
        let started = time::Instant::now();
        granter.tick(now, &witnesses);
        let orders = granter.due_orders(now);
        let mut spent = started.elapsed();
        let mut bytes = 0;
        for addressed in orders {
            let (elapsed, size) = exchange(&mut granter, &mut states, &addressed, now)?;
            spent += elapsed;
            bytes += size;
        }
        if round >= WARM_UP_ROUNDS {
            cost.round_us += micros(spent) / f64::from(ROUNDS);
            cost.round_bytes += f64::from(u32::try_from(bytes).ok()?) / f64::from(ROUNDS);
        }
    }
    Some(cost)
}

// Exchanges one order with its server; returns the granter's time and the bytes exchanged. The time of
// the server is not counted.
fn exchange(
    granter: &mut grant::ShardGranter,
    states: &mut [server_state::ServerState],
    addressed: &grant::AddressedOrder,
    now: clock::MonoTime,
) -> Option<(time::Duration, usize)> {
    let position = usize::from(addressed.server.address.port()) - 1;
    let state = &mut states[position];
    match &addressed.order {
        grant::GrantOrder::Claim(order) => {
            let reply = state.claim(order, now);
            let answer = authority::ClaimResponse {
                server: addressed.server.name.clone(),
                sent_at: now,
                reply,
            };
            granter.on_report(&answer, now);
            Some((time::Duration::ZERO, 0))
        }
        grant::GrantOrder::Lease(order) => {
            let started = time::Instant::now();
            let sent = serde_json::to_vec(order).ok()?;
            let encoding = started.elapsed();
            let reply = serde_json::to_vec(&state.lease(order, now)).ok()?;
            let started = time::Instant::now();
            let decoded: contract::LeaseReply = serde_json::from_slice(&reply).ok()?;
            granter.on_lease_reply(&addressed.server.name, order, &decoded, now);
            Some((encoding + started.elapsed(), sent.len() + reply.len()))
        }
    }
}

/// Returns the size of one status exchange between hosts, request and response, that lists `hosts`
/// hosts, in bytes.
#[must_use]
pub fn measure_exchange(hosts: u16) -> Option<f64> {
    let contacts: Option<Vec<_>> = (0..hosts)
        .map(|number| {
            Some(peer::HostContact {
                host: name(&format!("entry-{number}"))?,
                version: 14_000,
                draining: false,
                age_ms: 120,
            })
        })
        .collect();
    let term = fence::TermId::new(1_796_000_000_000, name("entry-1")?, 0x1234_5678_9abc_def0);
    let granter = |number: u16| {
        Some(peer::GranterContact {
            domain: name(&format!("domain-{number}"))?,
            term: term.clone(),
            age_ms: 120,
        })
    };
    let known = |number: u16| {
        Some(peer::TableVersion {
            domain: name(&format!("domain-{number}"))?,
            mark: table::TableMark {
                term: sync::Arc::new(term.clone()),
                sequence: 100_000,
            },
        })
    };
    let granters = (0..DOMAINS).map(granter).collect::<Option<Vec<_>>>()?;
    let tables = (0..DOMAINS).map(known).collect::<Option<Vec<_>>>()?;
    let request = peer::ExchangeRequest {
        from: name("entry-1")?,
        next_offset: 1_000_000,
        last_record: Some(replay::RecordMark::new("")),
        version: 14_000,
        tables: tables.clone(),
        hosts: contacts.clone()?,
        granters: granters.clone(),
        loads: Vec::new(),
    };
    let reply = peer::ExchangeReply {
        hosts: contacts?,
        granters,
        tables: Vec::new(),
        records: Vec::new(),
        state: None,
        leases: tables.into_iter().take(1).collect(),
    };
    let sizes = serde_json::to_vec(&request).ok()?.len() + serde_json::to_vec(&reply).ok()?.len();
    Some(f64::from(u32::try_from(sizes).ok()?))
}

/// The cost of replaying the log of a site.
#[derive(Clone, Copy, Debug)]
pub struct ReplayCost {
    /// The time to replay one assignment of a batch, in microseconds.
    pub assign_us: f64,
    /// The size of a checkpoint, in bytes.
    pub checkpoint_bytes: f64,
    /// The time to load a checkpoint, in milliseconds.
    pub load_ms: f64,
}

/// Measures the replay of a log that assigns `shards` shards.
#[must_use]
pub fn measure_replay(shards: u32) -> Option<ReplayCost> {
    let mut replay = replay::LogReplay::new().ok()?;
    let body = record::RecordBody::Patch(record::PatchBody {
        base: 0,
        changes: site(10, shards)?.to_changes(),
    });
    replay.apply(&record::LogRecord::new(name("first")?, body).encode());
    let mut spent = time::Duration::ZERO;
    let indexes: Vec<u32> = (0..shards).collect();
    for (batch, chunk) in indexes.chunks(1_000).enumerate() {
        let entries = chunk.iter().map(|index| {
            let entry = change(*index, u64::from(*index) + 1)?;
            let route = entry.route?;
            Some(record::AssignmentEntry {
                shard: entry.shard,
                server: route.server,
                fence: route.fence,
            })
        });
        let entries = entries.collect::<Option<Vec<_>>>()?;
        let body = record::RecordBody::Assign(record::AssignBody { entries });
        let id = names::RecordId::new(&format!("batch-{batch}")).ok()?;
        let text = record::LogRecord::new(id, body).encode();
        let started = time::Instant::now();
        replay.apply(&text);
        spent += started.elapsed();
    }
    let parts = replay.to_checkpoint();
    let bytes: usize = parts.iter().map(|part| part.text.len()).sum();
    let started = time::Instant::now();
    let mut assembly = replay::CheckpointAssembly::new();
    let state = parts.iter().filter_map(|part| assembly.add(part)).last()?;
    let load = started.elapsed();
    hint::black_box(state);
    Some(ReplayCost {
        assign_us: micros(spent) / f64::from(shards),
        checkpoint_bytes: f64::from(u32::try_from(bytes).ok()?),
        load_ms: load.as_secs_f64() * 1e3,
    })
}
