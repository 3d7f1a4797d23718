//! Checks the guarantees of the front end on the users' platform.

use std::cell;
use std::net;

use zinnia_platform::adapter;
use zinnia_platform::settings as platform_settings;
use zinniastack::clock::MonoClock as _;
use zinniastack::cmd;
use zinniastack::edge::router::admin;
use zinniastack::edge::router::host;
use zinniastack::serving::report;

use crate::cmd::try_site;
use crate::http;
use crate::platform_site::settings;
use crate::platform_site::site;
use crate::site as free_site;

/// The number of entry hosts.
const HOSTS: u16 = 2;
/// The number of requests sent for each check.
const REQUESTS: u16 = 24;
/// The key whose owner a host is asked to explain.
const EXPLAINED_KEY: u16 = 7;

/// A running site with the front end on the users' platform.
pub struct PlatformTrial {
    site: site::PlatformSite,
    hosts: Vec<host::RouterHost>,
    tally: try_site::TrialTally,
    counter: cell::Cell<u32>,
}

impl PlatformTrial {
    /// Starts the site.
    ///
    /// # Errors
    /// Fails when the site cannot be started.
    pub async fn start() -> Result<Self, cmd::CommandError> {
        let ip = free_site::free_address().ip();
        let mut site = site::PlatformSite::new(ip).map_err(cmd::CommandError::failed)?;
        site.start_workers().map_err(cmd::CommandError::failed)?;
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            let file = site.settings_file(number);
            let settings = platform_settings::PlatformSettings::with_value(file, rand::random());
            let mut settings = settings.map_err(cmd::CommandError::failed)?;
            settings.router.metrics = Some(operators(&site, number));
            let router = settings.router.clone();
            let adapter = adapter::RouterAdapter::new(settings);
            let started = host::RouterHost::start(router, adapter).await;
            hosts.push(started.map_err(cmd::CommandError::failed)?);
        }
        Ok(Self {
            site,
            hosts,
            tally: try_site::TrialTally::default(),
            counter: cell::Cell::new(0),
        })
    }

    /// Checks all guarantees in turn.
    pub async fn run(mut self) -> try_site::TrialTally {
        let result = self.try_start().await;
        self.tally
            .record_result("every host is ready and serves keys and pools", result);
        let result = self.try_unknown().await;
        self.tally
            .record_result("a request that no version allows gets 404", result);
        let result = self.try_version().await;
        self.tally
            .record_result("a version is in force at every host and stays", result);
        let result = self.try_outage().await;
        self.tally
            .record_result("keys are served without the store", result);
        let result = self.try_drain().await;
        self.tally
            .record_result("a draining server's keys move to the other", result);
        let result = self.try_explain().await;
        self.tally
            .record_result("a host explains where a key's requests go", result);
        let result = self.try_stop().await;
        self.tally.record_result(
            "a stopping host cuts off no request, and granting goes on",
            result,
        );
        self.tally
    }

    fn fronts(&self) -> Vec<net::SocketAddr> {
        let numbers = 0..HOSTS;
        numbers.map(|n| self.site.ports(n).front).collect()
    }

    // Returns an unused request id, or prefix of request ids.
    fn next_id(&self) -> String {
        self.counter.set(self.counter.get() + 1);
        format!("try-{}", self.counter.get())
    }

    async fn serves(&self, path: &str) -> Result<(), String> {
        let answered = site::send_many(&self.fronts(), path, &self.next_id(), REQUESTS).await;
        if answered != usize::from(REQUESTS) {
            return Err(format!("{answered} of {REQUESTS} requests were answered"));
        }
        self.site.check_invariants()
    }

    async fn try_start(&self) -> try_site::GuaranteeResult {
        let mut longest = std::time::Duration::ZERO;
        for number in 0..HOSTS {
            let ready = self.site.ports(number).ready;
            longest =
                longest.max(try_site::wait_until(async || site::is_ready(ready).await).await?);
        }
        self.serves("/stock/a").await?;
        self.serves("/orders/a").await?;
        Ok(format!("ready after {} ms", longest.as_millis()))
    }

    async fn try_unknown(&self) -> try_site::GuaranteeResult {
        let response = site::send(self.fronts()[0], "/nowhere/", &self.next_id(), 0).await;
        match response {
            Some((404, _)) => Ok("404".into()),
            other => Err(format!("{other:?}")),
        }
    }

    async fn try_version(&self) -> try_site::GuaranteeResult {
        self.site.configure(&settings::configuration(7, true));
        for front in self.fronts() {
            let served = async || {
                let response = site::send(front, "/extra/a", &self.next_id(), 0).await;
                response.is_some_and(|(status, _)| status == 200)
            };
            try_site::wait_until(served).await?;
        }
        self.site.configure(&settings::configuration(5, false));
        self.serves("/extra/a").await?;
        Ok("version 7, an older one was ignored".into())
    }

    async fn try_outage(&self) -> try_site::GuaranteeResult {
        http::lock(&self.site.store).faults.is_down = true;
        // Longer than a grant's hold, so that grants must be renewed without the store.
        tokio::time::sleep(std::time::Duration::from_secs(4)).await;
        let served = self.serves("/stock/a").await;
        http::lock(&self.site.store).faults.is_down = false;
        served.map(|()| "4 s".into())
    }

    async fn try_drain(&self) -> try_site::GuaranteeResult {
        http::lock(&self.site.workers[0]).drain();
        let empty = async || {
            let state = http::lock(&self.site.workers[0]);
            state.held(self.site.clock.now()).is_empty()
        };
        let waited = try_site::wait_until(empty).await?;
        let served = async || self.serves("/stock/a").await.is_ok();
        try_site::wait_until(served).await?;
        self.site.check_invariants()?;
        Ok(format!("after {} ms", waited.as_millis()))
    }

    async fn try_explain(&self) -> try_site::GuaranteeResult {
        let path = format!("{}/stock/{EXPLAINED_KEY}", admin::EXPLAIN_PATH);
        let asked = cmd::call_host::<(), report::KeyReport>(operators(&self.site, 0), &path, None);
        let response = asked.await.map_err(|e| e.to_string())?;
        let report = response.ok_or("the host knows no such key")?;
        let range = report.range.ok_or("no server holds the key")?;
        Ok(format!(
            "{}, at {} under fence {}",
            report.standing.as_str(),
            range.holder.life.server,
            range.fence
        ))
    }

    async fn try_stop(&mut self) -> try_site::GuaranteeResult {
        let stopped = self.hosts.remove(0);
        let fronts = self.fronts();
        let id = self.next_id();
        let in_flight = site::send(fronts[0], "/orders/a", &id, 0);
        let (response, ()) = futures_util::future::join(in_flight, stopped.stop()).await;
        if response.as_ref().is_none_or(|(status, _)| *status != 200) {
            return Err(format!(
                "the request in flight was not served: {response:?}"
            ));
        }
        let served = async || {
            let id = self.next_id();
            let answered = site::send_many(&fronts[1..], "/stock/a", &id, REQUESTS).await;
            answered == usize::from(REQUESTS)
        };
        try_site::wait_until(served).await?;
        self.site.check_invariants()?;
        Ok("its request in flight was answered".into())
    }
}

// Returns the address at which the host with this number serves operators.
const fn operators(site: &site::PlatformSite, number: u16) -> net::SocketAddr {
    net::SocketAddr::new(site.ip, site::METRICS_PORT + number)
}
