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

/// A store with scripted responses: the end of the log for each call, or a failure.
#[derive(Clone)]
struct ScriptedStore {
    calls: rc::Rc<cell::RefCell<Vec<StoreCall>>>,
    responses: rc::Rc<cell::RefCell<collections::VecDeque<Option<u64>>>>,
    era: rc::Rc<tokio::sync::watch::Sender<u64>>,
}

impl ScriptedStore {
    fn new(responses: impl IntoIterator<Item = Option<u64>>) -> Self {
        Self {
            calls: rc::Rc::default(),
            responses: rc::Rc::new(cell::RefCell::new(responses.into_iter().collect())),
            era: rc::Rc::new(tokio::sync::watch::Sender::new(0)),
        }
    }

    // The next response; waits for ever after the last one.
    async fn respond(&self, call: StoreCall) -> Result<u64, ports::StoreError> {
        self.calls.borrow_mut().push(call);
        let next = self.responses.borrow_mut().pop_front();
        let Some(response) = next else {
            return std::future::pending().await;
        };
        response.ok_or(ports::StoreError::Lost {
            step: "read-log",
            peer: ([127, 0, 0, 1], 1).into(),
            error: "timeout".to_owned(),
        })
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
        let end = self.respond(StoreCall::Newest).await?;
        let records = Vec::new();
        let era = *self.era.borrow();
        Ok(ports::StoreSnapshot { era, records, end })
    }

    async fn read(
        &self,
        _: topic::StoreTopic,
        from: u64,
        _: time::Duration,
    ) -> Result<ports::StoreBatch, ports::StoreError> {
        let next = self.respond(StoreCall::Read { from }).await?;
        let records = Vec::new();
        let era = *self.era.borrow();
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
    end: rc::Rc<cell::Cell<Option<u64>>>,
    is_reading: tokio::sync::watch::Sender<bool>,
}

impl ReaderCase {
    fn new(responses: &[Option<u64>]) -> Self {
        Self {
            store: ScriptedStore::new(responses.iter().copied()),
            end: rc::Rc::default(),
            is_reading: tokio::sync::watch::Sender::new(true),
        }
    }

    // Follows the topic until `is_done` holds; returns all calls.
    async fn follow(&self, is_done: impl Fn(&[StoreCall]) -> bool) -> Vec<StoreCall> {
        let position = || store_reader::ReadPosition {
            wait: time::Duration::ZERO,
            pause: time::Duration::ZERO,
            from: self.end.get(),
        };
        let on_update = |_, update| match update {
            store_reader::StoreUpdate::Snapshot(snapshot) => self.end.set(Some(snapshot.end)),
            store_reader::StoreUpdate::Batch(batch) => self.end.set(Some(batch.next)),
            _ => {}
        };
        let topic = topic::StoreTopic::Assignments;
        let clock = clock::SystemClock::new();
        let (store, is_reading) = (self.store.clone(), self.is_reading.subscribe());
        let reader = store_reader::follow(store, topic, clock, is_reading, position, on_update);
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
    case.end.set(Some(20));
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
    case.end.set(Some(7));
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
}
