//! Tests that a traffic thread frees the slot or the place in the queue of a caller that
//! disconnects.

use std::rc;
use std::sync;
use std::time;

use zinnia_lab::fixtures;
use zinniastack::chart;
use zinniastack::clock;
use zinniastack::clock::MonoClock as _;
use zinniastack::edge::router::grant_relay;
use zinniastack::edge::router::metrics;
use zinniastack::edge::router::ports;
use zinniastack::edge::router::shutdown_watch;
use zinniastack::edge::router::traffic;
use zinniastack::names;
use zinniastack::ownership::assignment;
use zinniastack::serving::cold;
use zinniastack::serving::directory;
use zinniastack::serving::scheduler;
use zinniastack::serving::view;

/// Concurrent requests that the only server runs.
const SLOTS: u32 = 4;

/// A header codec that these cases never call.
#[derive(Clone)]
struct UnusedCodec;

impl ports::HeaderCodec for UnusedCodec {
    fn read_request(&self, _: &actix_web::http::header::HeaderMap) -> ports::CallerHeaders {
        ports::CallerHeaders::default()
    }

    fn is_replaced(&self, _: &str) -> bool {
        false
    }

    fn write_request(&self, _: &mut hyper::HeaderMap, _: time::Duration, _: &names::ServerName) {}

    fn read_response(&self, _: &hyper::HeaderMap, _: Option<&str>) -> ports::ResponseHeaders {
        ports::ResponseHeaders::default()
    }

    fn ready_path(&self) -> &'static str {
        "/"
    }
}

/// A traffic thread with one known server.
struct ThreadCase {
    thread: rc::Rc<traffic::TrafficThread<UnusedCodec>>,
    clock: clock::SystemClock,
}

impl ThreadCase {
    fn new() -> Self {
        let server = directory::ServerRecord {
            life: assignment::ServerIncarnation {
                server: fixtures::name("near"),
                born: 1,
            },
            service: fixtures::name("orders"),
            address: ([127, 0, 0, 1], 9).into(),
            domain: fixtures::name("north"),
            slots: SLOTS,
            state: directory::ServerState::Ready,
            sequence: 1,
            cold_remaining: Some(time::Duration::ZERO),
        };
        let known = directory::KnownServer {
            record: sync::Arc::new(server),
            state_since: None,
            cold: cold::ColdTimes::new(),
        };
        let servers = [(fixtures::name("near"), known)].into();
        let view = view::ServingView {
            servers: sync::Arc::new(servers),
            ..view::ServingView::new()
        };
        let (reports, _) = tokio::sync::mpsc::unbounded_channel();
        let clock = clock::SystemClock::new();
        let chart = chart::ChartTable::new().expect("the chart is valid");
        let (_, shutdown) = shutdown_watch::ShutdownWatch::new();
        let parts = traffic::TrafficParts {
            codec: UnusedCodec,
            view: sync::Arc::new(arc_swap::ArcSwap::from_pointee(view)),
            scheduler: scheduler::SchedulerSettings {
                domain: fixtures::name("north"),
                retry_ratio: 0.2,
                retry_slack: 10.0,
                drain: time::Duration::from_secs(2),
            },
            chart: sync::Arc::new(chart),
            shutdown,
            in_flight: sync::Arc::default(),
            relay: grant_relay::new_relay().1,
            reports,
            clock,
            metrics: metrics::RouterMetrics::new(),
        };
        let thread = traffic::TrafficThread::start(parts);
        Self { thread, clock }
    }

    fn request(&self) -> scheduler::DispatchRequest {
        let now = self.clock.now();
        scheduler::DispatchRequest {
            service: fixtures::name("orders"),
            key: None,
            priority: 1,
            objective: now + time::Duration::from_mins(1),
            deadline: now + time::Duration::from_mins(2),
            body_bytes: 0,
            is_retry: false,
            avoid: None,
        }
    }
}

async fn gives_a_slot_back_that_its_caller_never_took() {
    let case = ThreadCase::new();
    let wait = case
        .thread
        .request_slot(case.request())
        .expect("the request is queued");
    assert_eq!(
        case.thread.demand().servers.len(),
        1,
        "the server was not assigned"
    );
    drop(wait);
    assert!(
        case.thread.demand().is_empty(),
        "{:?}",
        case.thread.demand()
    );
}

async fn gives_a_slot_back_that_its_caller_took() {
    let case = ThreadCase::new();
    let mut wait = case
        .thread
        .request_slot(case.request())
        .expect("the request is queued");
    let slot = wait.result().await;
    assert!(slot.is_ok());
    drop(slot);
    assert!(case.thread.demand().is_empty());
}

async fn gives_the_place_of_a_waiting_caller_back() {
    let case = ThreadCase::new();
    let slot_waits = (0..2 * SLOTS).map(|_| {
        case.thread
            .request_slot(case.request())
            .expect("the request is queued")
    });
    let waits: Vec<_> = slot_waits.collect();
    drop(waits);
    assert!(case.thread.demand().is_empty());
}

macro_rules! thread_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(#[test]
            fn $name() {
                actix::System::new().block_on(super::$name());
            })*
        }
    };
}

thread_cases! {
    gives_a_slot_back_that_its_caller_never_took,
    gives_a_slot_back_that_its_caller_took,
    gives_the_place_of_a_waiting_caller_back,
}
