//! Tests the HTTP front end of an entry host over real connections: statuses, malformed requests,
//! and large and truncated uploads.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use zinnia_lab::caller;
use zinnia_lab::http;
use zinnia_lab::site;
use zinniastack::cmd;
use zinniastack::edge::controller;
use zinniastack::edge::operators;

const CONFIGURATION: &str = include_str!("../examples/manizales.toml");
/// Upper bound on the start of a site, in seconds. It only ends a hung test; no case asserts a
/// duration.
const START_TIMEOUT_S: u64 = 60;
/// The size of a large upload, in bytes.
const UPLOAD_BYTES: usize = 20 << 20;

struct CallerTrial {
    site: site::LabSite,
    client: caller::CallerClient,
}

impl CallerTrial {
    async fn start() -> Self {
        let plan = site::SitePlan {
            base: toml::from_str(CONFIGURATION).expect("the example is valid"),
            domains: vec!["north".parse().expect("a valid name")],
            hosts_each: 2,
            servers_each: 3,
            unchecked: Some("site-files".parse().expect("a valid name")),
        };
        let site = site::LabSite::start(&plan).await.expect("the site starts");
        let trial = Self {
            site,
            client: caller::CallerClient::new(),
        };
        let changes = trial.site.configuration.to_changes();
        let submission = operators::PatchSubmission {
            id: "first".parse().expect("a valid id"),
            base: 0,
            changes,
        };
        let address = trial.site.hosts[0].settings.operators;
        let response: Option<controller::PatchStatus> =
            cmd::call_host(address, "/patches", Some(&submission))
                .await
                .expect("the host responds");
        assert!(response.is_some());
        for service in ["stock", "orders", "site-files"] {
            for host in 0..2 {
                trial.wait_until_served(host, service).await;
            }
        }
        trial
    }

    async fn wait_until_served(&self, host: usize, service: &str) {
        let started = time::Instant::now();
        for key in 0..8 {
            let request = caller::CallerRequest::new(service, &key.to_string(), "warm");
            while !self.send(host, &request).await.ran() {
                let timed_out = started.elapsed() > time::Duration::from_secs(START_TIMEOUT_S);
                assert!(
                    !timed_out,
                    "{service} is not served after {START_TIMEOUT_S} s"
                );
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }

    async fn send(&self, host: usize, request: &caller::CallerRequest) -> caller::CallerResponse {
        let address = self.site.hosts[host].settings.callers;
        let response = self.client.send(address, request).await;
        response.expect("a complete response")
    }

    async fn expect(&self, request: &caller::CallerRequest, status: u16, reason: &str) {
        for host in 0..2 {
            let response = self.send(host, request).await;
            let seen = (response.status, response.reason.as_str());
            assert_eq!(seen, (status, reason), "{response:?}");
            if status >= 400 {
                assert_eq!(response.outcome, "not-run");
                assert_eq!(self.times_ran(&request.id), 0);
            }
        }
    }

    async fn expect_raw(&self, text: &str, status: &str) {
        let address = self.site.hosts[0].settings.callers;
        let response = raw(address, text.as_bytes()).await;
        assert!(
            response.starts_with(status),
            "response '{response}' does not start with '{status}'"
        );
    }

    fn times_ran(&self, id: &str) -> usize {
        let servers = self.site.servers.values();
        let times = servers.map(|server| {
            let state = http::lock(server.service.state());
            let entries = state.journal().iter();
            entries.filter(|entry| entry.id.as_str() == id).count()
        });
        times.sum()
    }
}

// Sends the bytes, shuts down the sending half, and reads until the host closes the connection.
async fn raw(address: net::SocketAddr, bytes: &[u8]) -> String {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.expect("the host accepts the connection");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let limit = time::Duration::from_secs(START_TIMEOUT_S);
    let read = tokio::time::timeout(limit, stream.read_to_end(&mut response)).await;
    assert!(
        read.is_ok(),
        "the host did not close the connection within {START_TIMEOUT_S} s"
    );
    String::from_utf8_lossy(&response).into_owned()
}

async fn responds_with_the_documented_status() {
    let trial = CallerTrial::start().await;
    let request = caller::CallerRequest::new;
    trial
        .expect(&request("stock", "yard-7", "fine"), 200, "")
        .await;
    trial
        .expect(
            &request("stork", "yard-7", "no-service"),
            404,
            "unknown-service",
        )
        .await;
    let unknown_feature = "forgotten-job".parse().expect("a valid name");
    let unknown_feature = request("stock", "yard-7", "no-feature").with_feature(unknown_feature);
    trial.expect(&unknown_feature, 410, "feature-unknown").await;
    let large = request("stock", "yard-7", "large").with_body(vec![0; 16_385]);
    trial.expect(&large, 413, "body-too-large").await;
    let expired = request("stock", "yard-7", "hasty").with_deadline_ms(0);
    trial.expect(&expired, 504, "deadline-queued").await;
    trial
        .expect(&request("stock", "yard-7", "bad id"), 400, "malformed")
        .await;
}

async fn answers_malformed_input_and_closes() {
    let trial = CallerTrial::start().await;
    trial
        .expect_raw(
            "GET /stock/k HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
            "HTTP/1.1 400",
        )
        .await;
    trial.expect_raw("NONSENSE\r\n\r\n", "HTTP/1.1 400").await;
    trial.expect_raw("GET /stock/k HTT", "").await;
    let long = format!(
        "GET /stock/k HTTP/1.1\r\nx: {}\r\n\r\n",
        "x".repeat(1 << 20)
    );
    trial.expect_raw(&long, "HTTP/1.1 4").await;
    let bad_deadline = "GET /stock/k HTTP/1.1\r\nhost: h\r\nconnection: close\r\nzinnia-request-id: b\r\nzinnia-deadline-ms: soon\r\n\r\n";
    trial.expect_raw(bad_deadline, "HTTP/1.1 400").await;
    trial
        .expect(&caller::CallerRequest::new("stock", "k", "after"), 200, "")
        .await;
}

async fn passes_a_large_upload_whole() {
    let trial = CallerTrial::start().await;
    for host in 0..2 {
        let id = format!("survey-{host}");
        let request = caller::CallerRequest::new("site-files", "survey", &id);
        let response = trial
            .send(host, &request.with_body(vec![7; UPLOAD_BYTES]))
            .await;
        assert!(response.ran(), "{response:?}");
        let receipt: http::WorkReceipt = serde_json::from_slice(&response.body).expect("a receipt");
        assert_eq!(receipt.bytes, UPLOAD_BYTES);
        assert_eq!(trial.times_ran(&id), 1);
    }
}

async fn runs_no_upload_that_was_cut() {
    let trial = CallerTrial::start().await;
    for (id, length) in [("cut-small", 1_000), ("cut-large", UPLOAD_BYTES)] {
        let head = format!(
            "POST /site-files/survey HTTP/1.1\r\nhost: h\r\nconnection: close\r\nzinnia-request-id: {id}\r\ncontent-length: {length}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.extend(vec![7; length / 2]);
        for host in 0..2 {
            let response = raw(trial.site.hosts[host].settings.callers, &bytes).await;
            assert!(!response.contains("zinnia-outcome: ran"), "{response}");
        }
        assert_eq!(trial.times_ran(id), 0);
    }
}

macro_rules! caller_cases {
    ($($name:ident),* $(,)?) => {
        mod cases {
            $(
                #[test]
                fn $name() {
                    actix::System::new().block_on(super::$name());
                }
            )*
        }
    };
}

caller_cases! {
    responds_with_the_documented_status,
    answers_malformed_input_and_closes,
    passes_a_large_upload_whole,
    runs_no_upload_that_was_cut,
}
