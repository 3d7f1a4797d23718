//! Tests how a host follows a topic of the store when calls fail.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use zinniastack::clock;
use zinniastack::edge::router::ports;
use zinniastack::edge::router::store_reader;
use zinniastack::ownership::order;

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
}

impl ScriptedStore {
    fn new(responses: impl IntoIterator<Item = Option<u64>>) -> Self {
        Self {
            calls: rc::Rc::default(),
            responses: rc::Rc::new(cell::RefCell::new(responses.into_iter().collect())),
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
    async fn newest(
        &self,
        _: ports::StoreTopic,
    ) -> Result<ports::StoreSnapshot, ports::StoreError> {
        let end = self.respond(StoreCall::Newest).await?;
        let records = Vec::new();
        Ok(ports::StoreSnapshot { records, end })
    }

    async fn read(
        &self,
        _: ports::StoreTopic,
        from: u64,
        _: time::Duration,
    ) -> Result<ports::StoreBatch, ports::StoreError> {
        let next = self.respond(StoreCall::Read { from }).await?;
        let record = ports::KeyedRecord {
            key: "a".into(),
            value: None,
        };
        let records = vec![record];
        Ok(ports::StoreBatch { records, next })
    }

    async fn append(
        &self,
        _: ports::StoreTopic,
        _: &ports::KeyedRecord,
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

// Follows a topic until the store has no response left; returns all calls, the last of which is
// unanswered.
async fn follow(responses: &[Option<u64>], outdated_before: u64) -> Vec<StoreCall> {
    let store = ScriptedStore::new(responses.iter().copied());
    let timing = move || store_reader::ReadTiming {
        wait: time::Duration::ZERO,
        pause: time::Duration::ZERO,
        outdated_before,
    };
    let topic = ports::StoreTopic::Assignments;
    let clock = clock::SystemClock::new();
    let reader = store_reader::follow(store.clone(), topic, clock, timing, |_| ());
    let received = async {
        while store.calls.borrow().len() <= responses.len() {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        () = reader => {}
        () = received => {}
    }
    store.calls.take()
}

// Guards against a host that lags and reads every outdated record, so that it falls further behind.
async fn reads_the_newest_records_after_a_failed_read() {
    let calls = follow(&[Some(3), None, Some(40), Some(41)], 0).await;
    let expected = [
        StoreCall::Newest,
        StoreCall::Read { from: 3 },
        StoreCall::Newest,
        StoreCall::Read { from: 40 },
        StoreCall::Read { from: 41 },
    ];
    assert_eq!(calls, expected);
}

// Guards against a host that reads records which another host's newer record has replaced.
async fn skips_outdated_records() {
    let calls = follow(&[Some(3)], 20).await;
    assert_eq!(calls, [StoreCall::Newest, StoreCall::Read { from: 20 }]);
}

async fn continues_where_the_last_read_ended() {
    let calls = follow(&[Some(3), Some(5), Some(9)], 0).await;
    let expected = [
        StoreCall::Newest,
        StoreCall::Read { from: 3 },
        StoreCall::Read { from: 5 },
        StoreCall::Read { from: 9 },
    ];
    assert_eq!(calls, expected);
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
    skips_outdated_records,
    continues_where_the_last_read_ended,
}
