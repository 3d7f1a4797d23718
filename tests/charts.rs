//! Tests the state charts: every chart of the program is valid, and the loader rejects each kind of
//! mistake in a chart file.

use zinniastack::authority;
use zinniastack::chart;
use zinniastack::flow;
use zinniastack::grant;
use zinniastack::lease;
use zinniastack::lifecycle;
use zinniastack::replay;
use zinniastack::serving::evacuation;

zinniastack::chart_words!(
    /// States of a door.
    DoorState { Open = "open", Shut = "shut" }
);
zinniastack::chart_words!(
    /// Events of a door.
    DoorEvent { Pushed = "pushed" }
);
zinniastack::chart_words!(
    /// Guards of a door.
    DoorGuard { Locked = "locked" }
);
zinniastack::chart_words!(
    /// Actions of a door.
    DoorAction { Creak = "creak" }
);

#[derive(Debug)]
struct DoorVocabulary;

impl chart::ChartVocabulary for DoorVocabulary {
    type State = DoorState;
    type Event = DoorEvent;
    type Guard = DoorGuard;
    type Action = DoorAction;
    const SOURCE: &'static str = SOUND;
}

const SOUND: &str = r#"
name = "door"
initial = "shut"

[[state]]
name = "shut"
[[state.on]]
event = "pushed"
guard = "locked"
next = "shut"
actions = []
[[state.on]]
event = "pushed"
next = "open"
actions = ["creak"]

[[state]]
name = "open"
ignores = ["pushed"]
"#;

fn error_of(from: &str, to: &str) -> String {
    assert!(
        SOUND.contains(from),
        "the text to replace is not in the chart"
    );
    let source = SOUND.replacen(from, to, 1);
    let table = chart::ChartTable::<DoorVocabulary>::with_source(&source);
    table.err().map(|e| e.to_string()).unwrap_or_default()
}

fn expect_error(from: &str, to: &str, part: &str) {
    let error = error_of(from, to);
    assert!(
        error.contains(part),
        "error '{error}' does not contain '{part}'"
    );
}

fn expect_valid<V: chart::ChartVocabulary>() {
    let table = chart::ChartTable::<V>::new();
    assert!(table.is_ok(), "{:?}", table.err());
}

fn steps_by_guard() {
    let table = chart::ChartTable::<DoorVocabulary>::new().expect("the chart is valid");
    let push = |locked: bool| {
        let step = table.step(DoorState::Shut, DoorEvent::Pushed, |_| locked);
        step.map(|step| (step.next, step.actions.len()))
    };
    assert_eq!(push(true), Some((DoorState::Shut, 0)));
    assert_eq!(push(false), Some((DoorState::Open, 1)));
    let ignored = table.step(DoorState::Open, DoorEvent::Pushed, |_| false);
    assert!(ignored.is_none());
}

fn draws_every_chart() {
    for source in chart::CHART_SOURCES {
        let file = chart::ChartFile::parse(source).expect("the chart file parses");
        assert!(file.to_mermaid().starts_with("stateDiagram-v2"));
        assert!(file.to_dot().starts_with("digraph"));
        for state in &file.state {
            assert!(file.to_mermaid().contains(&state.name.replace('-', "_")));
        }
    }
}

macro_rules! chart_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

chart_cases! {
    term_is_sound: expect_valid::<authority::TermVocabulary>();
    lease_is_sound: expect_valid::<lease::LeaseVocabulary>();
    grant_is_sound: expect_valid::<grant::GrantVocabulary>();
    patch_is_sound: expect_valid::<replay::PatchVocabulary>();
    request_is_sound: expect_valid::<flow::RequestVocabulary>();
    host_is_sound: expect_valid::<lifecycle::HostVocabulary>();
    a_step_follows_its_guard: steps_by_guard();
    evacuation_is_sound: expect_valid::<evacuation::EvacuationVocabulary>();
    every_chart_is_drawn: draws_every_chart();
    unknown_state: expect_error("next = \"open\"", "next = \"ajar\"", "state 'ajar' is unknown");
    unknown_event: expect_error("event = \"pushed\"", "event = \"kicked\"", "event 'kicked'");
    unknown_guard: expect_error("guard = \"locked\"", "guard = \"barred\"", "guard 'barred'");
    unknown_action: expect_error("[\"creak\"]", "[\"creak\", \"slam\"]", "action 'slam'");
    unused_guard: expect_error("guard = \"locked\"\n", "", "guard 'locked' is never used");
    unhandled_event: expect_error("ignores = [\"pushed\"]", "", "leaves event 'pushed' unhandled");
    no_unguarded_transition: expect_error(
        "event = \"pushed\"\nnext = \"open\"",
        "event = \"pushed\"\nguard = \"locked\"\nnext = \"open\"",
        "exactly one unguarded",
    );
    unreachable_state: expect_error(
        "next = \"open\"\nactions = [\"creak\"]\n",
        "next = \"shut\"\nactions = [\"creak\"]\n",
        "'open' cannot be reached",
    );
    misspelt_field: expect_error("initial", "initially", "cannot be read");
}
