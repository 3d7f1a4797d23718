//! Runs one contract test for each interface against the in-process fake and against the client
//! over HTTP, so that both behave alike.

use std::net;
use std::time;

use actix_web::web;

use zinnia_lab::fakes;
use zinnia_lab::fixtures;
use zinnia_lab::host_list;
use zinnia_lab::http;
use zinnia_lab::log_state;
use zinnia_lab::server_state;
use zinnia_lab::site;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::control;
use zinniastack::edge::host;
use zinniastack::edge::peers;
use zinniastack::edge::platform as platform_edge;
use zinniastack::edge::ports;
use zinniastack::edge::servers;
use zinniastack::fence;
use zinniastack::memory::limits;
use zinniastack::peer;
use zinniastack::platform;
use zinniastack::record;
use zinniastack::timing;

fn record(id: &str) -> record::LogRecord {
    let body = record::PatchBody {
        base: 0,
        changes: Vec::new(),
    };
    record::LogRecord::new(fixtures::name(id), record::RecordBody::Patch(body))
}

async fn log_contract(log: impl ports::PlatformLog, state: http::Shared<log_state::LogState>) {
    let first = log
        .append(&record("a"))
        .await
        .expect("the log accepts the record");
    let second = log
        .append(&record("b"))
        .await
        .expect("the log accepts the record");
    assert_eq!((first.offset, second.offset), (0, 1));
    let page = log.read(1).await.expect("the log is read");
    assert_eq!((page.earliest, page.next), (0, 2));
    assert_eq!(page.records[0].offset, 1);
    let text = &page.records[0].text;
    assert_eq!(record::LogRecord::decode(text), Ok(record("b")));
    assert!(
        log.read(2)
            .await
            .expect("the read succeeds")
            .records
            .is_empty()
    );

    http::lock(&state).faults.lose_answers = 1;
    assert!(
        log.append(&record("c")).await.is_err(),
        "the append succeeded although its response was lost"
    );
    let page = log.read(2).await.expect("the read succeeds");
    assert_eq!(page.records.len(), 1, "the append had no effect");

    http::lock(&state).faults.outage = true;
    assert!(log.read(0).await.is_err());
    let error = log.append(&record("d")).await.expect_err("the log is down");
    assert_eq!(error.step, "append-log");
    http::lock(&state).faults.outage = false;

    http::lock(&state).trim(1);
    let page = log.read(0).await.expect("the read succeeds");
    assert_eq!((page.earliest, page.next), (2, 3));
    assert_eq!(page.records[0].offset, 2);
}

async fn list_contract(list: impl ports::HostList, state: http::Shared<host_list::HostListState>) {
    let empty = list.list().await.expect("the read succeeds");
    assert_eq!(empty, platform::HostListing::default());
    let leaving = platform::ListedState::Leaving;
    let long_ago = clock::MonoTime::default();
    http::lock(&state).set(fixtures::name("s1"), platform::ListedState::Live, long_ago);
    http::lock(&state).set(fixtures::name("s1"), leaving, long_ago);
    let listing = list.list().await.expect("the read succeeds");
    assert_eq!(listing.servers[0].state, leaving);
    assert_eq!(
        listing.servers.len(),
        1,
        "more than the latest state of a server is listed"
    );
    let not_yet = clock::MonoTime::from_millis(u64::MAX / 4_000);
    http::lock(&state).set(fixtures::name("s2"), leaving, not_yet);
    assert_eq!(
        list.list().await.expect("the read succeeds").servers.len(),
        1
    );
}

fn spec(address: net::SocketAddr) -> configuration::ServerSpec {
    configuration::ServerSpec {
        name: fixtures::name("s1"),
        service: fixtures::name("stock"),
        domain: fixtures::name("north"),
        address,
        fences: configuration::FenceMode::Checked,
        slots: 6,
        connections: 130,
        withdrawn: None,
    }
}

fn claim(number: u64) -> contract::ClaimOrder {
    contract::ClaimOrder {
        term: fence::TermId::new(number, fixtures::name("h1"), 7),
        witness_set: 1,
        version: 1,
        probe: false,
    }
}

fn lease(number: u64, sequence: u64, token: contract::LeaseToken) -> contract::LeaseOrder {
    contract::LeaseOrder {
        term: fence::TermId::new(number, fixtures::name("h1"), 7),
        witness_set: 1,
        version: 1,
        sequence,
        token: Some(token),
        lease_ms: 60_000,
        revision: 1,
        grants: None,
    }
}

fn with_grant(order: contract::LeaseOrder) -> contract::LeaseOrder {
    let grant = contract::ShardGrant {
        shard: fixtures::name("stock/3"),
        fence: fixtures::name("5.h1.7.1"),
    };
    contract::LeaseOrder {
        grants: Some(vec![grant]),
        ..order
    }
}

async fn server_contract(port: impl ports::ServerPort, address: net::SocketAddr) {
    use contract::LeaseVerdict as Verdict;
    let server = spec(address);
    let probe = contract::ClaimOrder {
        probe: true,
        ..claim(5)
    };
    let reply = port
        .claim(&server, &probe)
        .await
        .expect("the port responds");
    assert!(
        reply.accepted && reply.status.promised.is_none(),
        "a probe was rejected or changed the promised term"
    );
    let reply = port
        .claim(&server, &claim(5))
        .await
        .expect("the port responds");
    assert!(reply.accepted && reply.ack_age_ms.is_none());
    assert_eq!(reply.lease_left_ms, 0);
    let lower = port
        .claim(&server, &claim(4))
        .await
        .expect("the port responds");
    assert!(!lower.accepted);
    assert_eq!(lower.status.promised, Some(claim(5).term));

    let token = reply.status.token;
    let ask = |order: contract::LeaseOrder| {
        let (port, server) = (port.clone(), server.clone());
        async move {
            port.lease(&server, &order)
                .await
                .expect("the port responds")
        }
    };
    assert_eq!(ask(lease(5, 1, token)).await.verdict, Verdict::NeedGrants);
    let renewed = ask(with_grant(lease(5, 2, token))).await;
    assert_eq!(renewed.verdict, Verdict::Renewed);
    assert_eq!(ask(lease(5, 3, token)).await.verdict, Verdict::Renewed);
    assert_eq!(
        ask(lease(5, 3, token)).await.verdict,
        Verdict::Refused,
        "a repeated sequence number"
    );
    assert_eq!(
        ask(lease(4, 9, token)).await.verdict,
        Verdict::Refused,
        "an order of a lower term"
    );
    let foreign = contract::LeaseToken {
        incarnation: token.incarnation ^ 1,
        ..token
    };
    assert_eq!(ask(lease(5, 4, foreign)).await.verdict, Verdict::NeedToken);
    let older_set = contract::LeaseOrder {
        witness_set: 0,
        ..lease(5, 5, token)
    };
    assert_eq!(
        ask(older_set).await.verdict,
        Verdict::Refused,
        "an older witness set"
    );

    let reply = port
        .claim(&server, &claim(6))
        .await
        .expect("the port responds");
    assert!(reply.accepted && reply.ack_age_ms.is_some());
    assert!(reply.lease_left_ms > 0, "the lease ended with its term");
    assert_eq!(reply.held.len(), 1);
    assert_eq!(
        ask(lease(5, 6, token)).await.verdict,
        Verdict::Refused,
        "an order of the former term"
    );
}

async fn peer_contract(port: impl ports::PeerPort, address: net::SocketAddr) {
    let request = peer::ExchangeRequest {
        from: fixtures::name("h2"),
        next_offset: 0,
        last_record: None,
        version: 0,
        tables: Vec::new(),
        hosts: vec![peer::HostContact {
            host: fixtures::name("h2"),
            version: 0,
            draining: false,
            age_ms: 0,
        }],
        granters: Vec::new(),
        loads: Vec::new(),
    };
    let reply = port
        .exchange(address, &request)
        .await
        .expect("the port responds");
    assert!(reply.records.is_empty() && reply.tables.is_empty() && reply.state.is_none());
    let reply = port
        .exchange(address, &request)
        .await
        .expect("the port responds");
    let is_reported = reply
        .hosts
        .iter()
        .any(|contact| contact.host.as_str() == "h2");
    assert!(is_reported, "the contact with a host is not relayed");
}

mod fake {
    use super::*;

    pub async fn log() {
        let state = http::shared(log_state::LogState::new());
        let fake = fakes::FakeLog {
            state: state.clone(),
        };
        log_contract(fake, state).await;
    }

    pub async fn list() {
        let state = http::shared(host_list::HostListState::new(time::Duration::ZERO));
        let fake = fakes::FakeHostList {
            state: state.clone(),
            clock: clock::SystemClock::new(),
        };
        list_contract(fake, state).await;
    }

    pub async fn server() {
        let setup = server_state::ServerSetup {
            fences: configuration::FenceMode::Checked,
            slots: 6,
            incarnation: 99,
        };
        let clock = clock::SystemClock::new();
        let state = server_state::ServerState::new(setup, clock::MonoTime::default());
        let fake = fakes::FakeServer {
            state: http::shared(state),
            clock,
        };
        server_contract(fake, ([127, 0, 0, 1], 1).into()).await;
    }

    pub async fn exchange() {
        let settings = control::ControlSettings {
            identity: peer::HostIdentity {
                host: fixtures::name("h1"),
                incarnation: 1,
            },
            domain: fixtures::name("north"),
            bootstrap: Vec::new(),
            timing: timing::LeaseTiming::new(),
            wall_origin_ms: 0,
            seed: 1,
        };
        let state = control::ControlState::new(settings).expect("the charts are valid");
        let fake = fakes::FakePeer {
            state: http::shared(state),
            clock: clock::SystemClock::new(),
        };
        peer_contract(fake, ([127, 0, 0, 1], 1).into()).await;
    }
}

mod real {
    use super::*;

    fn listener() -> (net::TcpListener, net::SocketAddr) {
        let listener = site::free_listener().expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        (listener, address)
    }

    pub async fn log() {
        let (listener, address) = listener();
        let state = http::shared(log_state::LogState::new());
        http::serve_log(listener, state.clone()).expect("the service starts");
        log_contract(platform_edge::PlatformClient::new(address), state).await;
    }

    pub async fn list() {
        let (listener, address) = listener();
        let state = http::shared(host_list::HostListState::new(time::Duration::ZERO));
        http::serve_hosts(listener, state.clone()).expect("the service starts");
        let client = platform_edge::PlatformClient::new(address).with_hosts(Some(address));
        list_contract(client, state).await;
    }

    pub async fn server() {
        let (listener, address) = listener();
        let setup = server_state::ServerSetup {
            fences: configuration::FenceMode::Checked,
            slots: 6,
            incarnation: 99,
        };
        let service = http::ServerService::new(setup, time::Duration::ZERO);
        http::serve_server(listener, web::Data::new(service)).expect("the service starts");
        server_contract(servers::ServerClient::new(), address).await;
    }

    pub async fn exchange() {
        let (_, log) = listener();
        let address = || site::free_address();
        let settings = host::HostSettings {
            name: fixtures::name("h1"),
            domain: fixtures::name("north"),
            callers: address(),
            operators: address(),
            peers: address(),
            log,
            host_list: None,
            bootstrap: Vec::new(),
            threads: 1,
            limits: limits::ProcessLimits::default(),
        };
        let peers = settings.peers;
        let entry = host::EntryHost::start(settings).await;
        let _entry = entry.expect("the host starts");
        peer_contract(peers::PeerClient::new(), peers).await;
    }
}

macro_rules! contract_cases {
    ($($contract:ident),* $(,)?) => {$(
        mod $contract {
            #[test]
            fn fake_meets_the_contract() {
                actix::System::new().block_on(super::fake::$contract());
            }

            #[test]
            fn http_client_meets_the_contract() {
                actix::System::new().block_on(super::real::$contract());
            }
        }
    )*};
}

contract_cases! {
    log,
    list,
    server,
    exchange,
}
