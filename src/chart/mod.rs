//! Reads state charts from files, checks them, and compiles them into transition tables.
//!
//! A chart's file names states, events, guards and actions by words.
//! [`chart_words!`](crate::chart_words) maps each word to a variant of an enum, so that the
//! decision modules use typed values only. [`ChartTable`] is the compiled form, with one row per
//! state and one column per event.

mod check;

use std::fmt;
use std::marker;

/// An enum of a chart's states, events, guards or actions, each named by a word in the chart's
/// file.
pub trait ChartWord: Copy + Eq + fmt::Debug + 'static {
    /// Every variant, in order of index.
    const ALL: &'static [Self];

    /// Returns the word that names this variant in the chart's file.
    fn word(self) -> &'static str;

    /// Returns the variant's index in [`Self::ALL`].
    fn index(self) -> usize;
}

/// Declares an enum and the word of a chart that names each of its variants.
#[macro_export]
macro_rules! chart_words {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $word:literal),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* #[doc = concat!("The word `", $word, "`.")] $variant),*
        }

        impl $crate::chart::ChartWord for $name {
            const ALL: &'static [Self] = &[$(Self::$variant),*];

            fn word(self) -> &'static str {
                match self { $(Self::$variant => $word),* }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// The guard type of charts without guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoGuard {}

impl ChartWord for NoGuard {
    const ALL: &'static [Self] = &[];

    fn word(self) -> &'static str {
        match self {}
    }

    fn index(self) -> usize {
        match self {}
    }
}

/// The types of one chart's words, and the chart's file.
pub trait ChartVocabulary: 'static {
    /// The states.
    type State: ChartWord;
    /// The events.
    type Event: ChartWord;
    /// The guards.
    type Guard: ChartWord;
    /// The actions.
    type Action: ChartWord;
    /// The text of the chart's file, embedded at build time.
    const SOURCE: &'static str;
}

/// Why a chart's file is invalid.
#[derive(Debug, PartialEq)]
#[derive(snafu::Snafu)]
#[snafu(module)]
pub enum ChartError {
    /// The file is not in the chart format.
    #[snafu(display("chart cannot be read: {message}"))]
    Unreadable {
        /// The parser's message.
        message: String,
    },
    /// The file uses a word that the code does not know.
    #[snafu(display("chart {chart}: {kind} '{word}' is unknown to the code"))]
    UnknownWord {
        /// The chart's name.
        chart: String,
        /// Which kind of word.
        kind: &'static str,
        /// The word.
        word: String,
    },
    /// The file does not use a word that the code declares.
    #[snafu(display("chart {chart}: {kind} '{word}' is never used"))]
    UnusedWord {
        /// The chart's name.
        chart: String,
        /// Which kind of word.
        kind: &'static str,
        /// The word.
        word: String,
    },
    /// A state neither handles nor ignores an event, or does both.
    #[snafu(display("chart {chart}: state '{state}' leaves event '{event}' unhandled"))]
    Unhandled {
        /// The chart's name.
        chart: String,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// A state's transitions for an event do not end with their only unguarded one.
    #[snafu(display(
        "chart {chart}: state '{state}' needs exactly one unguarded transition, the last, for event '{event}'"
    ))]
    BadGuards {
        /// The chart's name.
        chart: String,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// No sequence of events leads to a state.
    #[snafu(display("chart {chart}: state '{state}' cannot be reached"))]
    Unreachable {
        /// The chart's name.
        chart: String,
        /// The state.
        state: String,
    },
}

/// A chart as written in its file.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChartFile {
    /// The chart's name.
    pub name: String,
    /// The initial state.
    pub initial: String,
    /// The states.
    pub state: Vec<StateEntry>,
}

/// One state in a chart's file.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StateEntry {
    /// The state's name.
    pub name: String,
    /// Whether the state is final, that is, no transition leaves it.
    pub r#final: bool,
    /// The events that change nothing in this state.
    pub ignores: Vec<String>,
    /// The transitions.
    pub on: Vec<TransitionEntry>,
}

/// One transition in a chart's file.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransitionEntry {
    /// The event that triggers it.
    pub event: String,
    /// The condition under which it is taken.
    pub guard: Option<String>,
    /// The next state.
    pub next: String,
    /// The actions, in the order in which they are performed.
    pub actions: Vec<String>,
}

impl ChartFile {
    /// Parses a chart's file.
    ///
    /// # Errors
    /// Fails when the text is not in the chart format.
    pub fn parse(source: &str) -> Result<Self, ChartError> {
        toml::from_str(source).map_err(|e| ChartError::Unreadable {
            message: e.to_string(),
        })
    }

    /// Draws the chart as a Mermaid state diagram.
    #[must_use]
    pub fn to_mermaid(&self) -> String {
        let mut lines = vec![
            "stateDiagram-v2".to_owned(),
            format!("    [*] --> {}", mermaid_id(&self.initial)),
        ];
        for state in &self.state {
            let from = mermaid_id(&state.name);
            for entry in &state.on {
                let to = mermaid_id(&entry.next);
                lines.push(format!("    {from} --> {to}: {}", entry.label()));
            }
            if state.r#final {
                lines.push(format!("    {from} --> [*]"));
            }
        }
        lines.join("\n") + "\n"
    }

    /// Draws the chart in Graphviz's DOT language.
    #[must_use]
    pub fn to_dot(&self) -> String {
        let mut lines = vec![format!("digraph \"{}\" {{", self.name)];
        for state in &self.state {
            for entry in &state.on {
                let (from, to, label) = (&state.name, &entry.next, entry.label());
                lines.push(format!("    \"{from}\" -> \"{to}\" [label=\"{label}\"];"));
            }
        }
        lines.join("\n") + "\n}\n"
    }
}

impl TransitionEntry {
    fn label(&self) -> String {
        let guard = self.guard.as_ref().map(|g| format!(" [{g}]"));
        let event = format!("{}{}", self.event, guard.unwrap_or_default());
        if self.actions.is_empty() {
            return event;
        }
        format!("{event} / {}", self.actions.join(", "))
    }
}

fn mermaid_id(word: &str) -> String {
    word.replace('-', "_")
}

/// One compiled transition.
#[derive(Debug)]
pub struct ChartStep<V: ChartVocabulary> {
    guard: Option<V::Guard>,
    /// The next state.
    pub next: V::State,
    /// The actions, in the order in which they are performed.
    pub actions: Box<[V::Action]>,
}

/// A checked and compiled chart.
pub struct ChartTable<V: ChartVocabulary> {
    initial: V::State,
    cells: Vec<Vec<ChartStep<V>>>,
    marker: marker::PhantomData<V>,
}

impl<V: ChartVocabulary> ChartTable<V> {
    /// Parses, checks and compiles the chart of the vocabulary.
    ///
    /// # Errors
    /// Fails at the first invalid part of the file; see [`ChartError`].
    pub fn new() -> Result<Self, ChartError> {
        Self::with_source(V::SOURCE)
    }

    /// Parses, checks and compiles another chart with the same words.
    ///
    /// # Errors
    /// Fails at the first invalid part of the text; see [`ChartError`].
    pub fn with_source(source: &str) -> Result<Self, ChartError> {
        let file = ChartFile::parse(source)?;
        check::check_words::<V>(&file)?;
        check::check_events::<V>(&file)?;
        check::check_reachable(&file)?;
        Self::compile(&file)
    }

    fn compile(file: &ChartFile) -> Result<Self, ChartError> {
        let events = V::Event::ALL.len();
        let mut cells = Vec::new();
        cells.resize_with(V::State::ALL.len() * events, Vec::new);
        for state in &file.state {
            let row = check::find::<V::State>(file, "state", &state.name)?.index();
            for entry in &state.on {
                let column = check::find::<V::Event>(file, "event", &entry.event)?.index();
                cells[row * events + column].push(compile_step(file, entry)?);
            }
        }
        let initial = check::find::<V::State>(file, "state", &file.initial)?;
        Ok(Self {
            initial,
            cells,
            marker: marker::PhantomData,
        })
    }

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> V::State {
        self.initial
    }

    /// Returns the first transition of `event` in `state` that has no guard or whose guard `holds`,
    /// or `None` if the state ignores the event.
    pub fn step(
        &self,
        state: V::State,
        event: V::Event,
        holds: impl Fn(V::Guard) -> bool,
    ) -> Option<&ChartStep<V>> {
        let cell = &self.cells[state.index() * V::Event::ALL.len() + event.index()];
        cell.iter().find(|step| step.guard.is_none_or(&holds))
    }
}

impl<V: ChartVocabulary<Guard = NoGuard>> ChartTable<V> {
    /// Returns the transition of `event` in `state`, for charts without guards, or `None` if the
    /// state ignores the event.
    #[must_use]
    pub fn step_unguarded(&self, state: V::State, event: V::Event) -> Option<&ChartStep<V>> {
        self.step(state, event, |guard| match guard {})
    }
}

fn compile_step<V: ChartVocabulary>(
    file: &ChartFile,
    entry: &TransitionEntry,
) -> Result<ChartStep<V>, ChartError> {
    let guard = entry
        .guard
        .as_ref()
        .map(|word| check::find::<V::Guard>(file, "guard", word))
        .transpose()?;
    let actions: Result<Vec<_>, _> = entry
        .actions
        .iter()
        .map(|word| check::find::<V::Action>(file, "action", word))
        .collect();
    Ok(ChartStep {
        guard,
        next: check::find::<V::State>(file, "state", &entry.next)?,
        actions: actions?.into_boxed_slice(),
    })
}

/// The text of every chart, in order of name.
pub const CHART_SOURCES: [&str; 12] = [
    include_str!("../../charts/delivery.toml"),
    include_str!("../../charts/evacuation.toml"),
    include_str!("../../charts/fencing.toml"),
    include_str!("../../charts/grant.toml"),
    include_str!("../../charts/granting.toml"),
    include_str!("../../charts/host.toml"),
    include_str!("../../charts/key-range.toml"),
    include_str!("../../charts/lease.toml"),
    include_str!("../../charts/patch.toml"),
    include_str!("../../charts/request.toml"),
    include_str!("../../charts/responses.toml"),
    include_str!("../../charts/term.toml"),
];
