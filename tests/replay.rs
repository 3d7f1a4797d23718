//! Tests the state replayed from the log: patches, assignments, witness sets, checkpoints, and
//! malformed records.

use zinnia_lab::fixtures;
use zinniastack::configuration;
use zinniastack::names;
use zinniastack::record;
use zinniastack::replay;

fn server(number: u32) -> configuration::ConfigurationChange {
    configuration::ConfigurationChange::PutServer(configuration::ServerSpec {
        name: fixtures::name(&format!("s{number}")),
        service: fixtures::name("stock"),
        domain: fixtures::name("north"),
        address: fixtures::name(&format!("127.0.0.1:{}", 7_000 + number)),
        fences: configuration::FenceMode::Checked,
        slots: 6,
        connections: 130,
        withdrawn: None,
    })
}

fn base_changes() -> Vec<configuration::ConfigurationChange> {
    vec![
        configuration::ConfigurationChange::PutDomain(configuration::DomainSpec {
            name: fixtures::name("north"),
            gone: None,
        }),
        configuration::ConfigurationChange::PutDomain(configuration::DomainSpec {
            name: fixtures::name("south"),
            gone: None,
        }),
        configuration::ConfigurationChange::PutService(configuration::ServiceSpec {
            name: fixtures::name("stock"),
            rank: configuration::WorkRank::new(1).expect("a valid rank"),
            shards: 4,
            deadline_ms: 500,
            floor_percent: 0,
            max_body_bytes: 1_024,
            homes: vec![fixtures::name("north"), fixtures::name("south")],
        }),
        configuration::ConfigurationChange::PutFeature(configuration::FeatureSpec {
            name: fixtures::name("digest"),
            service: fixtures::name("stock"),
            rank: None,
            status: configuration::FeatureStatus::Live,
            when_stale: configuration::StalePolicy::Hold,
        }),
        server(1),
        server(2),
        server(3),
    ]
}

fn patch(id: &str, base: u64, changes: Vec<configuration::ConfigurationChange>) -> String {
    let body = record::RecordBody::Patch(record::PatchBody { base, changes });
    record::LogRecord::new(fixtures::name(id), body).encode()
}

fn assign(id: &str, shard: &str, server: &str, fence: &str) -> String {
    let entry = record::AssignmentEntry {
        shard: fixtures::name(shard),
        server: fixtures::name(server),
        fence: fixtures::name(fence),
    };
    let body = record::AssignBody {
        entries: vec![entry],
    };
    record::LogRecord::new(fixtures::name(id), record::RecordBody::Assign(body)).encode()
}

fn settle(set: u64) -> String {
    let body = record::RecordBody::Settle(record::SettleBody {
        domain: fixtures::name("north"),
        witness_set: set,
    });
    record::LogRecord::new(fixtures::name(&format!("settle-{set}")), body).encode()
}

fn replayed(texts: &[String]) -> replay::LogReplay {
    let mut replay = replay::LogReplay::new().expect("the chart is valid");
    for text in texts {
        replay.apply(text);
    }
    replay
}

fn with_base(texts: &[String]) -> replay::LogReplay {
    let mut all = vec![patch("first", 0, base_changes())];
    all.extend_from_slice(texts);
    replayed(&all)
}

fn retire() -> Vec<configuration::ConfigurationChange> {
    vec![configuration::ConfigurationChange::RetireFeature {
        name: fixtures::name("digest"),
    }]
}

fn expect_verdict(texts: &[String], id: &str, expected: &str) {
    let replay = with_base(texts);
    let verdict = format!("{:?}", replay.verdict(&fixtures::name(id)));
    assert!(verdict.contains(expected), "{verdict}");
}

fn expect_invalid(change: configuration::ConfigurationChange, part: &str) {
    expect_verdict(&[patch("p", 1, vec![change])], "p", part);
}

fn a_stale_patch_changes_nothing() {
    let replay = with_base(&[
        patch("left", 1, retire()),
        patch("right", 1, vec![server(4)]),
    ]);
    assert_eq!(replay.state().version, 2);
    assert!(
        replay
            .state()
            .configuration
            .find_server(&fixtures::name("s4"))
            .is_none()
    );
}

fn a_repeated_id_counts_once() {
    let again = patch("again", 1, retire());
    let replay = with_base(&[again.clone(), again]);
    assert_eq!(replay.state().version, 2);
    assert_eq!(
        replay.verdict(&fixtures::name("again")),
        Some(&replay::PatchVerdict::Accepted { version: 2 })
    );
}

fn the_higher_fence_stays() {
    let replay = with_base(&[
        assign("new", "stock/0", "s2", "5.h1.a.1"),
        assign("late", "stock/0", "s1", "4.h2.b.9"),
    ]);
    let assignment = &replay.state().assignments[&fixtures::name("stock/0")];
    assert_eq!(assignment.server, fixtures::name("s2"));
}

fn witnesses_change_one_at_a_time() {
    let two = patch("two", 1, vec![server(4), server(5)]);
    expect_verdict(&[two], "two", "one patch at a time");
    let one = patch("one", 1, vec![server(4)]);
    let next = patch("next", 2, vec![server(5)]);
    expect_verdict(&[one.clone(), next.clone()], "next", "not settled yet");
    expect_verdict(&[one, settle(2), next], "next", "Accepted { version: 3 }");
}

fn both_sets_count_until_settled() {
    let replay = with_base(&[patch("one", 1, vec![server(4)])]);
    let view = &replay.state().witnesses[&fixtures::name::<names::DomainName>("north")];
    let of = |list: &[&str]| view.has_majority(|n| list.contains(&n.as_str()));
    assert!(of(&["s1", "s2", "s4"]));
    assert!(
        !of(&["s1", "s4"]),
        "accepted without a majority of the settled set"
    );
    assert!(
        !of(&["s1", "s2"]),
        "accepted without a majority of the pending set"
    );
}

fn a_given_up_domain_never_returns() {
    let give_up = configuration::ConfigurationChange::GiveUpDomain {
        name: fixtures::name("south"),
    };
    let back = configuration::ConfigurationChange::PutDomain(configuration::DomainSpec {
        name: fixtures::name("south"),
        gone: None,
    });
    let texts = [
        patch("gone", 1, vec![give_up]),
        patch("back", 2, vec![back]),
    ];
    expect_verdict(&texts, "back", "never comes back");
    let replay = with_base(&texts);
    let configuration = &replay.state().configuration;
    let shards = configuration.shards_of(&configuration.domain[0].name);
    assert_eq!(
        shards.count(),
        4,
        "not all shards have the remaining domain as home"
    );
}

fn a_checkpoint_equals_the_records() {
    let mut texts = vec![patch("first", 0, base_changes())];
    texts.extend([
        assign("a", "stock/0", "s1", "5.h1.a.1"),
        "no record".to_owned(),
        patch("retire", 1, retire()),
    ]);
    let tail = [
        patch("late", 1, retire()),
        assign("b", "stock/0", "s2", "5.h1.a.2"),
        patch("retire", 2, retire()),
    ];
    let mut whole = replayed(&texts);
    let mut assembly = replay::CheckpointAssembly::new();
    let parts = whole.to_checkpoint();
    let assembled = parts.iter().filter_map(|part| assembly.add(part)).last();
    let fresh = replay::LogReplay::new().expect("the chart is valid");
    let mut loaded = fresh.with_state(assembled.expect("the checkpoint is complete"));
    for text in &tail {
        assert_eq!(whole.apply(text), loaded.apply(text));
    }
    assert_eq!(whole.state(), loaded.state());
}

fn a_damaged_checkpoint_is_ignored() {
    let replay = with_base(&[]);
    let mut parts = replay.to_checkpoint();
    parts[0].text = parts[0].text.replace("stock", "stork");
    let mut assembly = replay::CheckpointAssembly::new();
    assert!(parts.iter().all(|part| assembly.add(part).is_none()));
}

fn any_text_is_skipped_or_replayed() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let mut replay = with_base(&[]);
        let before = replay.state().clone();
        let effect = replay.apply(text);
        assert_eq!(replay.state().next_offset, before.next_offset + 1);
        if matches!(effect, replay::ReplayEffect::Skipped(_)) {
            assert_eq!(replay.state().skipped, before.skipped + 1);
            assert_eq!(replay.state().configuration, before.configuration);
        }
    });
}

// Changes one byte of valid records, so that the input gets past the first step of the decoder.
fn any_damaged_record_is_survived() {
    let sound = patch("p", 1, retire()) + &assign("a", "stock/0", "s1", "5.h1.a.1");
    let input = bolero::generator::produce::<(usize, u8)>();
    bolero::check!()
        .with_generator(input)
        .for_each(|(at, byte)| {
            let mut bytes = sound.clone().into_bytes();
            let at = at % bytes.len();
            bytes[at] = *byte;
            let text = String::from_utf8_lossy(&bytes);
            let mut replay = with_base(&[]);
            replay.apply(&text);
            assert!(replay.state().version >= 1);
        });
}

fn oversize_is_skipped() {
    let mut replay = with_base(&[]);
    let effect = replay.apply(&" ".repeat(record::MAX_RECORD_BYTES + 1));
    assert!(matches!(
        effect,
        replay::ReplayEffect::Skipped(record::RecordError::Oversize { .. })
    ));
}

macro_rules! replay_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

replay_cases! {
    current_patch_is_accepted: expect_verdict(&[patch("p", 1, retire())], "p", "Accepted { version: 2 }");
    stale_patch_is_refused: expect_verdict(&[patch("p", 0, retire())], "p", "Stale { current: 1 }");
    patch_of_a_future_version_is_refused: expect_verdict(&[patch("p", 7, retire())], "p", "Stale { current: 1 }");
    stale_changes_nothing: a_stale_patch_changes_nothing();
    repeated_counts_once: a_repeated_id_counts_once();
    higher_fence_stays: the_higher_fence_stays();
    one_witness_at_a_time: witnesses_change_one_at_a_time();
    both_witness_sets_count: both_sets_count_until_settled();
    given_up_stays_given_up: a_given_up_domain_never_returns();
    checkpoint_equals_records: a_checkpoint_equals_the_records();
    damaged_checkpoint_is_ignored: a_damaged_checkpoint_is_ignored();
    any_text_leaves_the_state_valid: any_text_is_skipped_or_replayed();
    damaged_record_does_not_panic: any_damaged_record_is_survived();
    oversize_record_is_skipped: oversize_is_skipped();
    unknown_feature: expect_invalid(
        configuration::ConfigurationChange::RetireFeature { name: fixtures::name("other") },
        "unknown feature",
    );
    unknown_server: expect_invalid(
        configuration::ConfigurationChange::WithdrawServer { name: fixtures::name("s9") },
        "unknown server",
    );
    removal_before_withdrawal: expect_invalid(
        configuration::ConfigurationChange::RemoveServer { name: fixtures::name("s1") },
        "withdraw the server first",
    );
    unknown_host: expect_invalid(
        configuration::ConfigurationChange::RemoveHost { name: fixtures::name("h9") },
        "unknown host",
    );
}
