//! Tests how a host follows a topic of the store when calls fail.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use zinniastack::clock;
use zinniastack::edge::router::ports;
use zinniastack::edge::router::store_reader;
use zinniastack::ownership::order;
use zinniastack::serving::topic;

/// A call that the fake store received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreCall {
    Newest,
    Read { from: u64 },
}

/// A response of the fake store: its era and the end of the log, or a failure.
type ScriptedResponse = Option<(u64, u64)>;

/// A store with scripted responses.
#[derive(Clone)]
struct ScriptedStore {
    calls: rc::Rc<cell::RefCell<Vec<StoreCall>>>,
    responses: rc::Rc<cell::RefCell<collections::VecDeque<ScriptedResponse>>>,
    era: rc::Rc<tokio::sync::watch::Sender<u64>>,
    // Whether the responses leave the known era as it is.
    keeps_era: rc::Rc<cell::Cell<bool>>,
    // Whether the log ends before any offset that is read, and the snapshots before the copy.
    is_gone: rc::Rc<cell::Cell<bool>>,
}

impl ScriptedStore {
    fn new(responses: impl IntoIterator<Item = ScriptedResponse>) -> Self {
        Self {
            calls: rc::Rc::default(),
            responses: rc::Rc::new(cell::RefCell::new(responses.into_iter().collect())),
            era: rc::Rc::new(tokio::sync::watch::Sender::new(0)),
            keeps_era: rc::Rc::default(),
            is_gone: rc::Rc::default(),
        }
    }

    // The next response; waits for ever after the last one.
    async fn respond(&self, call: StoreCall) -> Result<(u64, u64), ports::StoreError> {
        self.calls.borrow_mut().push(call);
        if self.is_gone.get() {
            return Self::gone_response(call);
        }
        let next = self.responses.borrow_mut().pop_front();
        let Some(response) = next else {
            return std::future::pending().await;
        };
        let (era, end) = response.ok_or(ports::StoreError::Lost {
            step: "read-log",
            peer: ([127, 0, 0, 1], 1).into(),
            error: "timeout".to_owned(),
        })?;
        if !self.keeps_era.get() {
            self.era.send_replace(era);
        }
        Ok((era, end))
    }

    fn gone_response(call: StoreCall) -> Result<(u64, u64), ports::StoreError> {
        match call {
            StoreCall::Newest => Ok((0, 9)),
            StoreCall::Read { .. } => Err(ports::StoreError::Gone {
                step: "read-log",
                peer: ([127, 0, 0, 1], 1).into(),
            }),
        }
    }
}

impl ports::StorePort for ScriptedStore {
    fn era(&self) -> tokio::sync::watch::Receiver<u64> {
        self.era.subscribe()
    }

    async fn newest(
        &self,
        _: topic::StoreTopic,
    ) -> Result<ports::StoreSnapshot, ports::StoreError> {
        let (era, end) = self.respond(StoreCall::Newest).await?;
        let records = Vec::new();
        Ok(ports::StoreSnapshot { era, records, end })
    }

    async fn read(
        &self,
        _: topic::StoreTopic,
        from: u64,
        _: time::Duration,
    ) -> Result<ports::StoreBatch, ports::StoreError> {
        let (era, next) = self.respond(StoreCall::Read { from }).await?;
        let records = Vec::new();
        Ok(ports::StoreBatch {
            era,
            from,
            records,
            next,
        })
    }

    async fn append(
        &self,
        _: topic::StoreTopic,
        _: &[topic::KeyedRecord],
        _: Option<u64>,
    ) -> order::AppendOutcome {
        order::AppendOutcome::Refused
    }

    async fn join(&self) -> Result<bool, ports::StoreError> {
        Ok(false)
    }

    async fn leave(&self) -> Result<(), ports::StoreError> {
        Ok(())
    }
}

/// How a case follows its topic.
struct ReaderCase {
    store: ScriptedStore,
    // Where the host's copy of the topic ends.
    end: rc::Rc<cell::Cell<Option<topic::LogPosition>>>,
    is_reading: tokio::sync::watch::Sender<bool>,
}

impl ReaderCase {
    fn new(responses: &[Option<u64>]) -> Self {
        let responses = responses.iter().map(|end| end.map(|end| (0, end)));
        Self::with_eras(&responses.collect::<Vec<_>>())
    }

    fn with_eras(responses: &[ScriptedResponse]) -> Self {
        Self {
            store: ScriptedStore::new(responses.iter().copied()),
            end: rc::Rc::default(),
            is_reading: tokio::sync::watch::Sender::new(true),
        }
    }

    fn set_end(&self, era: u64, end: u64) {
        self.end.set(Some(topic::LogPosition::new(era, end)));
    }

    // Follows the topic until `is_done` holds; returns all calls.
    async fn follow(&self, is_done: impl Fn(&[StoreCall]) -> bool) -> Vec<StoreCall> {
        let position = || store_reader::ReadPosition {
            wait: time::Duration::ZERO,
            pause: time::Duration::ZERO,
            from: self.end.get(),
        };
        let on_update = |_, update| match update {
            store_reader::StoreUpdate::Snapshot(snapshot, _) => {
                self.set_end(snapshot.era, snapshot.end);
            }
            store_reader::StoreUpdate::Batch(batch, _) => self.set_end(batch.era, batch.next),
            _ => {}
        };
        let source = store_reader::ReadSource {
            store: self.store.clone(),
            topic: topic::StoreTopic::Assignments,
            clock: clock::SystemClock::new(),
            is_reading: self.is_reading.subscribe(),
            era: self.store.era.subscribe(),
        };
        let reader = store_reader::follow(source, position, on_update);
        let received = async {
            while !is_done(&self.store.calls.borrow()) {
                tokio::time::sleep(time::Duration::from_millis(1)).await;
            }
        };
        tokio::select! {
            () = reader => {}
            () = received => {}
        }
        self.store.calls.borrow().clone()
    }
}

// Follows a topic until the store has no response left; returns all calls, the last of which is
// unanswered.
async fn follow(responses: &[Option<u64>]) -> Vec<StoreCall> {
    let case = ReaderCase::new(responses);
    case.follow(|calls| calls.len() > responses.len()).await
}

// Guards against a host that lags and reads every outdated record, so that it falls further behind.
async fn reads_the_newest_records_after_a_failed_read() {
    let calls = follow(&[Some(3), None, Some(40), Some(41)]).await;
    let expected = [
        StoreCall::Newest,
        StoreCall::Read { from: 3 },
        StoreCall::Newest,
        StoreCall::Read { from: 40 },
        StoreCall::Read { from: 41 },
    ];
    assert_eq!(calls, expected);
}

// Guards against a host that reads records which another host has sent it meanwhile.
async fn skips_records_that_it_has() {
    let case = ReaderCase::new(&[Some(3), Some(5)]);
    case.follow(|calls| calls.len() > 2).await;
    case.set_end(0, 20);
    let calls = case.follow(|calls| calls.len() > 3).await;
    assert_eq!(calls.last(), Some(&StoreCall::Read { from: 20 }));
}

async fn continues_where_the_last_read_ended() {
    let calls = follow(&[Some(3), Some(5), Some(9)]).await;
    let expected = [
        StoreCall::Newest,
        StoreCall::Read { from: 3 },
        StoreCall::Read { from: 5 },
        StoreCall::Read { from: 9 },
    ];
    assert_eq!(calls, expected);
}

// Guards against a snapshot of everything for a host that takes over the reading of its domain: it has
// the records that another host sent it.
async fn reads_on_from_the_records_of_another_host() {
    let case = ReaderCase::new(&[Some(9)]);
    case.set_end(0, 7);
    let calls = case.follow(|calls| calls.len() > 1).await;
    assert_eq!(
        calls,
        [StoreCall::Read { from: 7 }, StoreCall::Read { from: 9 }]
    );
}

// Guards against calls of hosts that get the records from another host.
async fn does_not_read_what_another_host_reads_for_it() {
    let case = ReaderCase::new(&[Some(3), Some(5)]);
    case.is_reading.send_replace(false);
    let waited = cell::Cell::new(0);
    let calls = case.follow(|_| waited.replace(waited.get() + 1) > 20).await;
    assert_eq!(calls, []);
    case.is_reading.send_replace(true);
    let calls = case.follow(|calls| calls.len() > 2).await;
    assert_eq!(calls.len(), 3);
}

// Guards against records of a restored store that are taken for those that follow the copy: their
// offsets were given out before.
async fn reads_all_records_after_a_response_of_another_era() {
    let case = ReaderCase::with_eras(&[Some((0, 3)), Some((1, 5)), Some((1, 4))]);
    let waited = cell::Cell::new(0);
    let is_done = |calls: &[StoreCall]| calls.len() > 3 || waited.replace(waited.get() + 1) > 100;
    let calls = case.follow(is_done).await;
    let expected = [
        StoreCall::Newest,
        StoreCall::Read { from: 3 },
        StoreCall::Newest,
        StoreCall::Read { from: 4 },
    ];
    assert_eq!(calls, expected);
}

// Guards against a host that waits at an offset which the restored store has yet to give out again,
// while changes are acknowledged at lower ones.
async fn drops_a_waiting_read_when_the_store_was_restored() {
    let case = ReaderCase::new(&[Some(9)]);
    let waited = cell::Cell::new(0);
    let is_done = |calls: &[StoreCall]| {
        if calls.len() == 2 {
            case.store.era.send_replace(1);
        }
        calls.len() > 2 || waited.replace(waited.get() + 1) > 100
    };
    let calls = case.follow(is_done).await;
    assert_eq!(calls.last(), Some(&StoreCall::Newest), "{calls:?}");
    assert_eq!(calls.len(), 3);
}

// Guards against a host that waits for a snapshot although the store has come back meanwhile.
async fn drops_a_waiting_snapshot_when_the_store_was_restored() {
    let case = ReaderCase::new(&[]);
    let waited = cell::Cell::new(0);
    let is_done = |calls: &[StoreCall]| {
        if calls.len() == 1 {
            case.store.era.send_replace(1);
        }
        calls.len() > 1 || waited.replace(waited.get() + 1) > 100
    };
    let calls = case.follow(is_done).await;
    assert_eq!(calls, [StoreCall::Newest, StoreCall::Newest]);
}

// Guards against calls without a pause while the store is known to be restored and its responses do not
// say so yet.
async fn waits_between_snapshots_of_an_outdated_era() {
    let case = ReaderCase::with_eras(&[Some((1, 3)); 100]);
    case.store.era.send_replace(2);
    case.store.keeps_era.set(true);
    let waited = cell::Cell::new(0);
    let calls = case.follow(|_| waited.replace(waited.get() + 1) > 20).await;
    assert_eq!(calls, [StoreCall::Newest]);
}

// Guards against calls without a pause where the copy does not accept the snapshot.
async fn waits_where_the_copy_stays_beyond_the_end() {
    let case = ReaderCase::new(&[]);
    case.set_end(0, 9);
    case.store.is_gone.set(true);
    let waited = cell::Cell::new(0);
    let calls = case.follow(|_| waited.replace(waited.get() + 1) > 20).await;
    let read = StoreCall::Read { from: 9 };
    assert_eq!(calls, [read, StoreCall::Newest, read]);
}

macro_rules! store_reader_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[actix::test]
            async fn $name() {
                super::$name().await;
            })*
        }
    };
}

store_reader_cases! {
    reads_the_newest_records_after_a_failed_read,
    skips_records_that_it_has,
    continues_where_the_last_read_ended,
    reads_on_from_the_records_of_another_host,
    does_not_read_what_another_host_reads_for_it,
    reads_all_records_after_a_response_of_another_era,
    drops_a_waiting_read_when_the_store_was_restored,
    drops_a_waiting_snapshot_when_the_store_was_restored,
    waits_between_snapshots_of_an_outdated_era,
    waits_where_the_copy_stays_beyond_the_end,
}
