//! Runs `zinnia-router` as processes while an operator evacuates failure domains.

use std::path;
use std::time;

use zinnia_lab::http;
use zinnia_lab::platform_site::case;
use zinnia_lab::platform_site::site;
use zinniastack::clock::MonoClock as _;

/// The time within which the last request must have reached an evacuated domain, as the hosts take it without
/// a setting.
const BOUND: time::Duration = time::Duration::from_secs(5);
/// The numbers of the workers in the domain `south`: one holds keys, one does not.
const SOUTH: [usize; 2] = [0, 2];

// Starts two hosts, and workers in two domains.
async fn start(test: u8) -> case::SiteCase {
    let lab = path::Path::new(env!("CARGO_BIN_EXE_zinnia-lab"));
    let mut case = case::SiteCase::new(lab, test);
    case.site.start_workers().expect("the ports are free");
    for worker in SOUTH {
        "south".clone_into(&mut http::lock(&case.site.workers[worker]).zone);
    }
    // The workers register anew with each heartbeat.
    case.site.rewrite();
    case.add_host();
    case.add_host();
    case.wait_until_ready().await;
    case.wait_until_served("/stock/a", "warm").await;
    case
}

fn write(case: &case::SiteCase, key: &str, value: &str) {
    let mut store = http::lock(&case.site.store);
    store.append(site::OPERATOR_TOPIC, key, value.as_bytes());
}

fn holds_keys(case: &case::SiteCase, worker: usize) -> bool {
    let now = case.site.clock.now();
    !http::lock(&case.site.workers[worker]).held(now).is_empty()
}

// Evacuates the domain `south` and waits until the bound has passed.
async fn evacuate_south(case: &case::SiteCase) {
    write(case, "evacuate/south", "{}");
    tokio::time::sleep(BOUND).await;
    assert!(!holds_keys(case, SOUTH[0]), "keys are held after the bound");
}

fn runs_in_south(case: &case::SiteCase) -> usize {
    let workers = SOUTH.iter().map(|number| &case.site.workers[*number]);
    workers.map(|worker| http::lock(worker).runs().len()).sum()
}

// Checks that requests are served and none of them reaches the domain `south`.
async fn expect_south_unused(case: &case::SiteCase, prefix: &str) {
    let before = runs_in_south(case);
    let stock = case.send_many("/stock/a", &format!("{prefix}-s"), 40).await;
    let orders = case
        .send_many("/orders/a", &format!("{prefix}-o"), 40)
        .await;
    assert_eq!((stock, orders), (40, 40));
    assert_eq!(runs_in_south(case), before, "requests reached the domain");
}

async fn sends_nothing_to_an_evacuated_domain_until_it_returns(test: u8) {
    let case = start(test).await;
    assert!(holds_keys(&case, SOUTH[0]));
    evacuate_south(&case).await;
    expect_south_unused(&case, "away").await;
    let report = site::host_report(case.hosts[0].operators).await;
    let report = report.expect("the host reports");
    assert_eq!(report["evacuated"][0]["domain"], "south");
    write(&case, "evacuate/south", "");
    case::wait_until("keys have returned", async || holds_keys(&case, SOUTH[0])).await;
    case.wait_until_served("/stock/a", "back").await;
    case.expect_invariants();
}

// Guards against keys that are refused while they leave the domain: all other servers respond.
async fn serves_all_keys_while_they_leave(test: u8) {
    let case = start(test).await;
    write(&case, "evacuate/south", "{}");
    let end = time::Instant::now() + BOUND;
    let (mut sent, mut answered) = (0, 0);
    while time::Instant::now() < end {
        let prefix = format!("leave-{sent}");
        answered += case.send_many("/stock/a", &prefix, 20).await;
        sent += 20;
    }
    assert_eq!(answered, sent);
    expect_south_unused(&case, "left").await;
    case.expect_invariants();
}

// Guards against an evacuation that ends because the store has lost the request, at hosts that knew it and at
// one that starts after that.
async fn keeps_an_evacuation_that_the_store_has_lost(test: u8) {
    let mut case = start(test).await;
    let copied = time::Instant::now();
    evacuate_south(&case).await;
    case.site.restore_store(copied);
    case.site.rewrite();
    case.kill_host(0);
    case.add_host();
    case.wait_until_ready().await;
    case.wait_until_served("/stock/a", "restored").await;
    expect_south_unused(&case, "kept").await;
    case.expect_invariants();
}

// Guards against an evacuation that does not survive the end of all hosts.
async fn keeps_an_evacuation_when_all_hosts_restart(test: u8) {
    let mut case = start(test).await;
    evacuate_south(&case).await;
    for _ in 0..2 {
        case.kill_host(0);
    }
    case.add_host();
    case.add_host();
    case.wait_until_ready().await;
    case.wait_until_served("/stock/a", "restarted").await;
    expect_south_unused(&case, "kept").await;
    case.expect_invariants();
}

async fn answers_503_when_the_last_domain_is_evacuated(test: u8) {
    let case = start(test).await;
    write(&case, "evacuate/south", "{}");
    write(&case, "evacuate/north", "{}");
    tokio::time::sleep(BOUND).await;
    for path in ["/stock/a", "/orders/a"] {
        let response = case.send(0, path, &format!("last{path}"), 7).await;
        assert_eq!(response.map(|response| response.0), Some(503), "{path}");
    }
    write(&case, "evacuate/north", "");
    case.wait_until_served("/stock/a", "again").await;
    case.expect_invariants();
}

async fn metrics(case: &case::SiteCase) -> String {
    let address = format!("http://{}/metrics", case.hosts[0].operators);
    let response = awc::Client::default().get(address).send().await;
    let mut response = response.expect("the host responds");
    let body = response.body().await.expect("the body is complete");
    String::from_utf8_lossy(&body).into_owned()
}

async fn ignores_records_that_request_nothing(test: u8) {
    let case = start(test).await;
    write(&case, "evacuate/south", "[]");
    write(&case, "evacuate/", "{}");
    write(&case, "evacuate/nowhere", "{}");
    write(&case, "evacuate/nowhere", "{}");
    write(&case, "evacuate/south", "");
    case::wait_until("the records are counted", async || {
        let metrics = metrics(&case).await;
        let ignored = |cause: &str| {
            let line = format!("evacuations_ignored_total{{cause=\"{cause}\"}} 1");
            metrics.contains(&line)
        };
        ignored("unknown-domain")
            && ignored("duplicate")
            && ignored("not-requested")
            && metrics.contains("records_refused_total{topic=\"routes\"} 2")
    })
    .await;
    let before = runs_in_south(&case);
    assert_eq!(case.send_many("/stock/a", "s", 40).await, 40);
    assert!(runs_in_south(&case) > before);
    case.expect_invariants();
}

zinnia_lab::site_cases! {
    sends_nothing_to_an_evacuated_domain_until_it_returns = 1,
    keeps_an_evacuation_that_the_store_has_lost = 2,
    keeps_an_evacuation_when_all_hosts_restart = 3,
    answers_503_when_the_last_domain_is_evacuated = 4,
    ignores_records_that_request_nothing = 5,
    serves_all_keys_while_they_leave = 6,
}
