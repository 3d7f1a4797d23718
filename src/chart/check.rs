//! Checks a chart before it is compiled: that its words are those of the code, that every state
//! handles or ignores every event, and that every state is reachable.

use crate::chart;
use crate::chart::ChartWord as _;
use std::collections;

pub(super) fn find<W: chart::ChartWord>(
    file: &chart::ChartFile,
    kind: &'static str,
    word: &str,
) -> Result<W, chart::ChartError> {
    let found = W::ALL.iter().copied().find(|w| w.word() == word);
    found.ok_or_else(|| chart::ChartError::UnknownWord {
        chart: file.name.clone(),
        kind,
        word: word.into(),
    })
}

pub(super) fn check_words<V: chart::ChartVocabulary>(
    file: &chart::ChartFile,
) -> Result<(), chart::ChartError> {
    let transitions = || file.state.iter().flat_map(|s| &s.on);
    let named = file.state.iter().map(|s| s.name.as_str());
    let targets = transitions().map(|t| t.next.as_str());
    let states = named.chain(targets).chain([file.initial.as_str()]);
    let events = transitions().map(|t| t.event.as_str());
    let guards = transitions().filter_map(|t| t.guard.as_deref());
    let actions = transitions().flat_map(|t| t.actions.iter().map(String::as_str));
    check_kind::<V::State>(file, "state", states)?;
    check_kind::<V::Event>(file, "event", events)?;
    check_kind::<V::Guard>(file, "guard", guards)?;
    check_kind::<V::Action>(file, "action", actions)
}

fn check_kind<'a, W: chart::ChartWord>(
    file: &chart::ChartFile,
    kind: &'static str,
    words: impl Iterator<Item = &'a str>,
) -> Result<(), chart::ChartError> {
    let used: collections::BTreeSet<&str> = words.collect();
    for word in &used {
        find::<W>(file, kind, word)?;
    }
    let unused = W::ALL.iter().find(|w| !used.contains(w.word()));
    match unused {
        None => Ok(()),
        Some(word) => Err(chart::ChartError::UnusedWord {
            chart: file.name.clone(),
            kind,
            word: word.word().into(),
        }),
    }
}

pub(super) fn check_events<V: chart::ChartVocabulary>(
    file: &chart::ChartFile,
) -> Result<(), chart::ChartError> {
    for state in &file.state {
        for word in &state.ignores {
            find::<V::Event>(file, "event", word)?;
        }
        for event in V::Event::ALL {
            check_event(file, state, event.word())?;
        }
    }
    Ok(())
}

fn check_event(
    file: &chart::ChartFile,
    state: &chart::StateEntry,
    event: &str,
) -> Result<(), chart::ChartError> {
    let ignored = state.ignores.iter().any(|word| word == event);
    let guards: Vec<bool> = state
        .on
        .iter()
        .filter(|entry| entry.event == event)
        .map(|entry| entry.guard.is_some())
        .collect();
    if guards.is_empty() != ignored {
        return Err(chart::ChartError::Unhandled {
            chart: file.name.clone(),
            state: state.name.clone(),
            event: event.into(),
        });
    }
    let unguarded = guards.iter().filter(|guarded| !**guarded).count();
    let well_formed = ignored || (unguarded == 1 && guards.last() == Some(&false));
    if well_formed {
        return Ok(());
    }
    Err(chart::ChartError::BadGuards {
        chart: file.name.clone(),
        state: state.name.clone(),
        event: event.into(),
    })
}

pub(super) fn check_reachable(file: &chart::ChartFile) -> Result<(), chart::ChartError> {
    let mut reached = collections::BTreeSet::from([file.initial.as_str()]);
    loop {
        let next: Vec<&str> = file
            .state
            .iter()
            .filter(|state| reached.contains(state.name.as_str()))
            .flat_map(|state| state.on.iter().map(|entry| entry.next.as_str()))
            .collect();
        let before = reached.len();
        reached.extend(next);
        if reached.len() == before {
            break;
        }
    }
    let unreachable = file
        .state
        .iter()
        .find(|state| !reached.contains(state.name.as_str()));
    match unreachable {
        None => Ok(()),
        Some(state) => Err(chart::ChartError::Unreachable {
            chart: file.name.clone(),
            state: state.name.clone(),
        }),
    }
}
