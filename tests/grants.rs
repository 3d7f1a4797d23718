//! Tests single steps of a shard granter and of a claim that random schedules seldom reach:
//! reports, blocked shards, releases, configuration versions and late responses.

use std::sync;

use zinnia_lab::fixtures;
use zinniastack::authority;
use zinniastack::chart;
use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::fence;
use zinniastack::grant;
use zinniastack::names;
use zinniastack::peer;
use zinniastack::record;
use zinniastack::replay;
use zinniastack::timing;

const FORMER_END_MS: u64 = 10_400;
const NOW_MS: u64 = 10_450;

fn configuration(servers: u16) -> configuration::Configuration {
    let server = |number: u16| configuration::ServerSpec {
        name: fixtures::name(&format!("s{number}")),
        service: fixtures::name("stock"),
        domain: fixtures::name("north"),
        address: ([127, 0, 0, 1], number).into(),
        fences: configuration::FenceMode::Checked,
        slots: 6,
        connections: 130,
        withdrawn: None,
    };
    configuration::Configuration {
        domain: vec![configuration::DomainSpec {
            name: fixtures::name("north"),
            gone: None,
        }],
        host: Vec::new(),
        service: vec![configuration::ServiceSpec {
            name: fixtures::name("stock"),
            rank: configuration::WorkRank::new(1).expect("a valid rank"),
            shards: 1,
            deadline_ms: 500,
            floor_percent: 0,
            max_body_bytes: 1_024,
            homes: vec![fixtures::name("north")],
        }],
        server: (1..=servers).map(server).collect(),
        feature: Vec::new(),
    }
}

// A replayed log in which server s3 owns the shard stock/0 under a fence of term 5.
fn replayed(servers: u16) -> replay::LogReplay {
    let mut replay = replay::LogReplay::new().expect("the chart is valid");
    let body = record::RecordBody::Patch(record::PatchBody {
        base: 0,
        changes: configuration(servers).to_changes(),
    });
    replay.apply(&record::LogRecord::new(fixtures::name("first"), body).encode());
    let entry = record::AssignmentEntry {
        shard: fixtures::name("stock/0"),
        server: fixtures::name("s3"),
        fence: fixtures::name("5.h1.7.4"),
    };
    let body = record::RecordBody::Assign(record::AssignBody {
        entries: vec![entry],
    });
    replay.apply(&record::LogRecord::new(fixtures::name("assign"), body).encode());
    replay
}

fn status(version: u64, incarnation: u64) -> contract::ServerStatus {
    contract::ServerStatus {
        token: contract::LeaseToken {
            incarnation,
            clock_us: 1,
        },
        up_ms: 60_000,
        promised: None,
        witness_set: 1,
        version,
        releasing: Vec::new(),
        draining: false,
        load: contract::LoadReport::default(),
    }
}

fn claim_response(
    server: &str,
    lease_left_ms: u64,
    held: &[(&str, &str)],
) -> authority::ClaimResponse {
    let held = held.iter().map(|(shard, fence)| contract::ShardGrant {
        shard: fixtures::name(shard),
        fence: fixtures::name(fence),
    });
    authority::ClaimResponse {
        server: fixtures::name(server),
        sent_at: fixtures::at(NOW_MS),
        reply: contract::ClaimReply {
            accepted: true,
            ack_age_ms: Some(500),
            lease_left_ms,
            held: held.collect(),
            status: status(1, 1),
        },
    }
}

/// A granter whose orders the test responds to itself.
struct GranterTrial {
    granter: grant::ShardGranter,
    replay: replay::LogReplay,
    now_ms: u64,
}

impl GranterTrial {
    fn new(reports: Vec<authority::ClaimResponse>) -> Self {
        let replay = replayed(3);
        let start = authority::GrantStart {
            term: sync::Arc::new(fence::TermId::new(9, fixtures::name("h2"), 8)),
            former_end: fixtures::at(FORMER_END_MS),
            reports,
        };
        let setup = grant::GrantSetup {
            domain: fixtures::name("north"),
            timing: timing::LeaseTiming::new(),
            start: &start,
            replay: replay.state(),
            former: None,
        };
        let charts = grant::GrantCharts::new().expect("the charts are valid");
        let granter = grant::ShardGranter::new(charts, &setup, fixtures::at(NOW_MS));
        Self {
            granter,
            replay,
            now_ms: NOW_MS,
        }
    }

    fn tick(&mut self) -> Vec<grant::AddressedOrder> {
        self.now_ms += timing::RENEW_INTERVAL_MS;
        let domain: names::DomainName = fixtures::name("north");
        let witnesses = self.replay.state().witnesses[&domain].clone();
        self.granter.tick(fixtures::at(self.now_ms), &witnesses);
        self.granter.due_orders(fixtures::at(self.now_ms))
    }

    fn order_to(&mut self, server: &str) -> contract::LeaseOrder {
        let orders = self.tick();
        let found = orders
            .into_iter()
            .find_map(|addressed| match addressed.order {
                grant::GrantOrder::Lease(order) if addressed.server.name.as_str() == server => {
                    Some(order)
                }
                _ => None,
            });
        found.unwrap_or_else(|| panic!("no lease order for {server}"))
    }

    fn acknowledge(&mut self, server: &str, order: &contract::LeaseOrder) {
        self.reply(server, order, status(1, 1));
    }

    fn reply(
        &mut self,
        server: &str,
        order: &contract::LeaseOrder,
        status: contract::ServerStatus,
    ) {
        let verdict = contract::LeaseVerdict::Renewed;
        let reply = contract::LeaseReply { verdict, status };
        self.granter.on_lease_reply(
            &fixtures::name(server),
            order,
            &reply,
            fixtures::at(self.now_ms),
        );
    }

    fn owner(&self) -> Option<String> {
        let route = self
            .granter
            .routes()
            .routes()
            .get(&fixtures::name::<names::ShardId>("stock/0"));
        route.map(|route| route.server.to_string())
    }

    fn granted_to(&mut self, server: &str) -> bool {
        let order = self.order_to(server);
        order.grants.is_some_and(|grants| !grants.is_empty())
    }
}

fn without_grants(server: &str) -> authority::ClaimResponse {
    claim_response(server, 0, &[])
}

fn a_live_lease_keeps_its_shard() {
    let reports = vec![
        without_grants("s1"),
        without_grants("s2"),
        claim_response("s3", 700, &[("stock/0", "5.h1.7.4")]),
    ];
    let mut trial = GranterTrial::new(reports);
    assert!(trial.granted_to("s3"));
    assert_eq!(trial.owner().as_deref(), Some("s3"));
}

fn a_lapsed_lease_does_not() {
    let reports = vec![
        without_grants("s1"),
        without_grants("s2"),
        claim_response("s3", 0, &[("stock/0", "5.h1.7.4")]),
    ];
    let mut trial = GranterTrial::new(reports);
    assert_eq!(trial.owner(), None);
    assert!(trial.granted_to("s1"));
}

// The former granter may still be active and count this lease as lapsed, so the report is not
// accepted yet.
fn a_lease_that_ends_too_soon_is_asked_again() {
    let mut report = claim_response("s3", 20, &[("stock/0", "5.h1.7.4")]);
    report.sent_at = fixtures::at(FORMER_END_MS - 100);
    let mut trial = GranterTrial::new(vec![without_grants("s1"), without_grants("s2"), report]);
    let orders = trial.tick();
    let to_s3 = orders
        .iter()
        .find(|order| order.server.name.as_str() == "s3");
    let is_claim = to_s3.map(|addressed| matches!(addressed.order, grant::GrantOrder::Claim(_)));
    assert_eq!(is_claim, Some(true), "s3 was not asked again");
    let s1 = trial.order_to("s1");
    assert_eq!(
        s1.grants,
        Some(Vec::new()),
        "a shard was placed before s3 responded"
    );
}

fn an_unresponsive_server_delays_placement() {
    let mut trial = GranterTrial::new(vec![without_grants("s1"), without_grants("s2")]);
    for _ in 0..10 {
        let order = trial.order_to("s1");
        assert!(order.grants.as_ref().is_none_or(Vec::is_empty));
        trial.acknowledge("s1", &order);
    }
    trial.now_ms = FORMER_END_MS + timing::LEASE_MS + timing::CLOCK_MARGIN_MS;
    let order = trial.order_to("s1");
    assert!(
        order.grants.is_some_and(|grants| grants.len() == 1),
        "the shard was not placed after the lease had expired"
    );
}

// The log assigns the shard to s3 under a higher fence, while s1 reports it with a live lease under
// a lower fence. It must not be placed before s1 has acknowledged that it owns nothing.
fn another_holder_blocks_the_shard() {
    let reports = vec![
        claim_response("s1", 700, &[("stock/0", "5.h1.7.2")]),
        without_grants("s2"),
        without_grants("s3"),
    ];
    let mut trial = GranterTrial::new(reports);
    let order = trial.order_to("s1");
    assert_eq!(
        order.grants,
        Some(Vec::new()),
        "s1 was not told that it owns nothing"
    );
    let s2 = trial.order_to("s2");
    assert_eq!(s2.grants, Some(Vec::new()), "placed before s1 acknowledged");
    trial.acknowledge("s1", &order);
    trial.tick();
    let orders = trial.tick();
    let placed = orders.iter().any(|addressed| match &addressed.order {
        grant::GrantOrder::Lease(order) => order.grants.as_ref().is_some_and(|g| g.len() == 1),
        grant::GrantOrder::Claim(_) => false,
    });
    assert!(placed, "not placed after s1 acknowledged");
}

fn a_release_needs_its_own_acknowledgement() {
    let reports = vec![
        without_grants("s1"),
        without_grants("s2"),
        claim_response("s3", 700, &[("stock/0", "5.h1.7.4")]),
    ];
    let mut trial = GranterTrial::new(reports);
    let before = trial.order_to("s3");
    trial.acknowledge("s3", &before);
    let older = trial.order_to("s3");
    trial.granter.set_leaving(&[fixtures::name("s3")].into());
    let release = trial.order_to("s3");
    assert_eq!(release.grants, Some(Vec::new()));
    trial.acknowledge("s3", &older);
    let s1 = trial.order_to("s1");
    assert!(
        s1.grants.is_none_or(|grants| grants.is_empty()),
        "placed after the response to an older order"
    );
    trial.acknowledge("s3", &release);
    trial.tick();
    assert!(trial.granted_to("s1") || trial.granted_to("s2"));
}

fn a_release_waits_for_running_work() {
    let reports = vec![
        without_grants("s1"),
        without_grants("s2"),
        claim_response("s3", 700, &[("stock/0", "5.h1.7.4")]),
    ];
    let mut trial = GranterTrial::new(reports);
    trial.granter.set_leaving(&[fixtures::name("s3")].into());
    let release = trial.order_to("s3");
    let mut busy = status(1, 1);
    busy.releasing = vec![fixtures::name("stock/0")];
    trial.reply("s3", &release, busy);
    let s1 = trial.order_to("s1");
    assert!(s1.grants.is_none_or(|grants| grants.is_empty()));
    let again = trial.order_to("s3");
    trial.acknowledge("s3", &again);
    trial.tick();
    assert!(trial.granted_to("s1") || trial.granted_to("s2"));
}

fn a_version_must_be_known_to_a_majority() {
    let old = |server: &str| {
        let mut report = without_grants(server);
        report.reply.status.version = 0;
        report
    };
    let mut trial = GranterTrial::new(vec![without_grants("s1"), old("s2"), old("s3")]);
    for _ in 0..3 {
        let order = trial.order_to("s1");
        assert_eq!(order.grants, Some(Vec::new()));
    }
    let order = trial.order_to("s2");
    trial.acknowledge("s2", &order);
    trial.tick();
    assert!(trial.granted_to("s1") || trial.granted_to("s2"));
}

// A late response of a former server process must not make the current process look restarted.
fn a_late_response_is_ignored() {
    let reports = vec![
        without_grants("s1"),
        without_grants("s2"),
        claim_response("s3", 700, &[("stock/0", "5.h1.7.4")]),
    ];
    let mut trial = GranterTrial::new(reports);
    let early = trial.order_to("s3");
    let late = trial.order_to("s3");
    trial.acknowledge("s3", &late);
    trial.reply("s3", &early, status(1, 77));
    assert_eq!(trial.owner().as_deref(), Some("s3"));
}

fn a_restarted_server_owns_nothing() {
    let reports = vec![
        without_grants("s1"),
        without_grants("s2"),
        claim_response("s3", 700, &[("stock/0", "5.h1.7.4")]),
    ];
    let mut trial = GranterTrial::new(reports);
    let order = trial.order_to("s3");
    trial.reply("s3", &order, status(1, 77));
    assert_eq!(trial.owner(), None);
}

/// A claim for whose witnesses the test responds itself.
struct ClaimTrial {
    authority: authority::DomainAuthority,
    witnesses: replay::WitnessSets,
}

impl ClaimTrial {
    fn new() -> Self {
        let chart = chart::ChartTable::new().expect("the chart is valid");
        let claimant = peer::HostIdentity {
            host: fixtures::name("h2"),
            incarnation: 8,
        };
        let timing = timing::LeaseTiming::new();
        let replay = replayed(3);
        let domain: names::DomainName = fixtures::name("north");
        Self {
            authority: authority::DomainAuthority::new(sync::Arc::new(chart), claimant, timing),
            witnesses: replay.state().witnesses[&domain].clone(),
        }
    }

    fn probe(&mut self) -> contract::ClaimOrder {
        let witnesses = self.witnesses.clone();
        let actions = self.authority.tick(&view(&witnesses), true);
        match &actions[..] {
            [authority::AuthorityAction::AskWitnesses(order)] => order.clone(),
            other => panic!("expected a probe, got {other:?}"),
        }
    }

    fn respond(&mut self, order: &contract::ClaimOrder, server: &str, age: Option<u64>, up: u64) {
        let mut report = claim_response(server, 0, &[]);
        report.reply.ack_age_ms = age;
        report.reply.status.up_ms = up;
        let witnesses = self.witnesses.clone();
        self.authority
            .on_claim_reply(order, report, &view(&witnesses));
    }
}

fn view(witnesses: &replay::WitnessSets) -> authority::ClaimView<'_> {
    authority::ClaimView {
        now: fixtures::at(NOW_MS),
        witnesses,
        version: 1,
        known_number: 5,
    }
}

fn expect_claim(claim_responses: &[(&str, Option<u64>, u64)], expected: authority::TermState) {
    let mut trial = ClaimTrial::new();
    let order = trial.probe();
    assert!(order.probe && order.term.number > 5);
    for (server, age, up) in claim_responses {
        trial.respond(&order, server, *age, *up);
    }
    assert_eq!(trial.authority.state(), expected);
}

const UNRESPONSIVE: Option<u64> = Some(timing::AUTHORITY_MS + timing::CLOCK_MARGIN_MS);
const UP_MS: u64 = 60_000;
const RECENT_START_MS: u64 = timing::AUTHORITY_MS;

use authority::TermState as State;

macro_rules! grant_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

grant_cases! {
    live_lease_keeps_its_shard: a_live_lease_keeps_its_shard();
    lapsed_lease_loses_its_shard: a_lapsed_lease_does_not();
    lease_near_its_end_is_asked_again: a_lease_that_ends_too_soon_is_asked_again();
    unresponsive_server_delays_placement: an_unresponsive_server_delays_placement();
    other_holder_blocks_placement: another_holder_blocks_the_shard();
    older_acknowledgement_does_not_release: a_release_needs_its_own_acknowledgement();
    running_work_delays_release: a_release_waits_for_running_work();
    version_unknown_to_a_majority_blocks_placement: a_version_must_be_known_to_a_majority();
    late_response_is_ignored: a_late_response_is_ignored();
    restarted_server_owns_nothing: a_restarted_server_owns_nothing();
    unresponsive_majority_allows_a_claim: expect_claim(&[("s1", UNRESPONSIVE, UP_MS), ("s2", UNRESPONSIVE, UP_MS)], State::Claiming);
    majority_without_acknowledgement_allows_a_claim: expect_claim(&[("s1", None, UP_MS), ("s2", None, UP_MS)], State::Claiming);
    one_witness_is_no_majority: expect_claim(&[("s1", UNRESPONSIVE, UP_MS)], State::Probing);
    recent_acknowledgement_blocks_a_claim:
        expect_claim(&[("s1", UNRESPONSIVE, UP_MS), ("s2", Some(300), UP_MS)], State::Probing);
    recently_started_witness_blocks_a_claim: expect_claim(&[("s1", UNRESPONSIVE, UP_MS), ("s2", None, RECENT_START_MS)], State::Probing);
    majority_outvotes_a_recent_acknowledgement: expect_claim(
        &[("s1", UNRESPONSIVE, UP_MS), ("s2", Some(300), UP_MS), ("s3", UNRESPONSIVE, UP_MS)],
        State::Claiming,
    );
}
