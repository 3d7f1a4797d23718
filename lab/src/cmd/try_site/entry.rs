//! Checks the guarantees of the project's own front end.

use std::collections;
use std::net;
use std::time;

use zinniastack::cmd;
use zinniastack::cmd::check;
use zinniastack::configuration;
use zinniastack::edge::controller;
use zinniastack::edge::operators;
use zinniastack::names;
use zinniastack::replay;
use zinniastack::report;

use crate::caller;
use crate::cmd::try_site;
use crate::http;
use crate::site;

/// The number of keys of each service that are tried.
pub const KEYS_TRIED: usize = 24;

const BASE: &str = include_str!("../../../../examples/manizales.toml");

async fn start_site() -> Result<site::LabSite, Box<dyn std::error::Error>> {
    let file = check::check_text(BASE)?;
    let check::CheckedFile::Configuration(base) = file else {
        return Err("the example file is not a configuration".into());
    };
    let plan = site::SitePlan {
        base,
        domains: vec![
            names::DomainName::new("chipre")?,
            names::DomainName::new("palermo")?,
        ],
        hosts_each: 2,
        servers_each: 2,
        unchecked: Some(names::ServiceName::new("site-files")?),
    };
    site::LabSite::start(&plan).await
}

/// A running site with the project's own front end.
pub struct EntryTrial {
    site: site::LabSite,
    client: caller::CallerClient,
    tally: try_site::TrialTally,
    counter: u64,
}

impl EntryTrial {
    /// Starts the site.
    ///
    /// # Errors
    /// Fails when the site cannot be started.
    pub async fn start() -> Result<Self, cmd::CommandError> {
        let site = start_site().await.map_err(cmd::CommandError::failed)?;
        Ok(Self {
            site,
            client: caller::CallerClient::new(),
            tally: try_site::TrialTally::default(),
            counter: 0,
        })
    }

    /// Checks all guarantees in turn.
    pub async fn run(mut self) -> try_site::TrialTally {
        let result = self.try_configuration().await;
        self.tally.record_result(
            "a configuration is accepted and in force at every host",
            result,
        );
        let result = self.try_ranks().await;
        self.tally
            .record_result("a request of each rank is served at every host", result);
        let result = self.try_one_owner().await;
        self.tally
            .record_result("each key has one owner, whichever host is asked", result);
        let result = self.try_operators().await;
        self.tally.record_result(
            "of two patches against one version, one is refused as stale",
            result,
        );
        let result = self.try_bad_record().await;
        self.tally.record_result(
            "a malformed record is skipped and counted by every host",
            result,
        );
        let result = self.try_retirement().await;
        self.tally
            .record_result("a retired feature's job reaches no server", result);
        let result = self.try_lost_server().await;
        self.tally
            .record_result("a lost server's keys are served again", result);
        let result = self.try_stopped_host().await;
        self.tally.record_result(
            "a stopping host cuts off no request, and granting goes on",
            result,
        );
        self.tally
    }

    fn next_id(&mut self) -> String {
        self.counter += 1;
        format!("try-{}", self.counter)
    }

    fn operators(&self, host: usize) -> net::SocketAddr {
        self.site.hosts[host].settings.operators
    }

    fn callers(&self, host: usize) -> net::SocketAddr {
        self.site.hosts[host].settings.callers
    }

    async fn submit(
        &self,
        host: usize,
        id: &str,
        base: u64,
        changes: Vec<configuration::ConfigurationChange>,
    ) -> Result<controller::PatchStatus, String> {
        let id = names::RecordId::new(id).map_err(|e| e.to_string())?;
        let submission = operators::PatchSubmission { id, base, changes };
        let address = self.operators(host);
        let response = cmd::call_host(address, "/patches", Some(&submission)).await;
        let response = response.map_err(|e| e.to_string())?;
        response.ok_or_else(|| "no response to the patch".into())
    }

    async fn status(&self, host: usize) -> Result<report::HostStatus, String> {
        let address = self.operators(host);
        let response = cmd::call_host::<(), _>(address, "/status", None).await;
        let response = response.map_err(|e| e.to_string())?;
        response.ok_or_else(|| "no response to the status request".into())
    }

    async fn wait_for_version(&self, version: u64) -> try_site::GuaranteeResult {
        let started = time::Instant::now();
        for host in 0..self.site.hosts.len() {
            while self.status(host).await?.version < version {
                try_site::check_timeout(started)?;
                try_site::sleep_poll_interval().await;
            }
        }
        Ok(format!("{} ms", started.elapsed().as_millis()))
    }

    async fn try_configuration(&mut self) -> try_site::GuaranteeResult {
        let changes = self.site.configuration.to_changes();
        let status = self.submit(0, "first", 0, changes).await?;
        if status.verdict != Some(replay::PatchVerdict::Accepted { version: 1 }) {
            return Err(format!("{status:?}"));
        }
        let waited = self.wait_for_version(1).await?;
        Ok(format!("version 1 after {waited}"))
    }

    fn services(&self) -> Vec<String> {
        let services = self.site.configuration.service.iter();
        services.map(|spec| spec.name.to_string()).collect()
    }

    async fn send_until_ran(
        &mut self,
        host: usize,
        service: &str,
        key: &str,
    ) -> Result<caller::CallerResponse, String> {
        let started = time::Instant::now();
        loop {
            let id = self.next_id();
            let request = caller::CallerRequest::new(service, key, &id);
            let response = self.client.send(self.callers(host), &request).await?;
            if response.ran() {
                return Ok(response);
            }
            try_site::check_timeout(started)
                .map_err(|e| format!("{e}: {service}/{key} {response:?}"))?;
            try_site::sleep_poll_interval().await;
        }
    }

    async fn try_ranks(&mut self) -> try_site::GuaranteeResult {
        let started = time::Instant::now();
        let mut served = 0;
        for host in 0..self.site.hosts.len() {
            for service in self.services() {
                self.send_until_ran(host, &service, "yard-7").await?;
                served += 1;
            }
        }
        Ok(format!(
            "{served} served, {} ms",
            started.elapsed().as_millis()
        ))
    }

    async fn try_one_owner(&mut self) -> try_site::GuaranteeResult {
        for service in self.services() {
            for key in 0..KEYS_TRIED {
                for host in 0..self.site.hosts.len() {
                    self.send_until_ran(host, &service, &format!("key-{key}"))
                        .await?;
                }
            }
        }
        let mut owners = collections::BTreeMap::new();
        for (name, server) in &self.site.servers {
            for entry in http::lock(server.service.state()).journal() {
                let owner = owners.entry(entry.shard.clone()).or_insert(name.clone());
                if owner != name {
                    return Err(format!("{} ran at {owner} and at {name}", entry.shard));
                }
            }
        }
        Ok(format!("{} shards seen, each at one server", owners.len()))
    }

    async fn try_operators(&mut self) -> try_site::GuaranteeResult {
        let put = |name: &str| {
            let name = names::FeatureName::new(name).map_err(|e| e.to_string())?;
            let service = self.site.configuration.service[0].name.clone();
            Ok::<_, String>(configuration::ConfigurationChange::PutFeature(
                configuration::FeatureSpec {
                    name,
                    service,
                    rank: None,
                    status: configuration::FeatureStatus::Live,
                    when_stale: configuration::StalePolicy::Serve,
                },
            ))
        };
        let (left, right) = (vec![put("left")?], vec![put("right")?]);
        let left = self.submit(0, "left", 1, left);
        let right = self.submit(1, "right", 1, right);
        let (left, right) = futures_util::future::join(left, right).await;
        let verdicts = [left?.verdict, right?.verdict];
        let accepted = Some(replay::PatchVerdict::Accepted { version: 2 });
        let stale = Some(replay::PatchVerdict::Stale { current: 2 });
        if !verdicts.contains(&accepted) || !verdicts.contains(&stale) {
            return Err(format!("{verdicts:?}"));
        }
        self.wait_for_version(2).await?;
        Ok("accepted 2 and refused stale (current 2)".into())
    }

    async fn try_bad_record(&mut self) -> try_site::GuaranteeResult {
        http::lock(&self.site.log).append("{\"id\": 7, \"body\":".into());
        let started = time::Instant::now();
        for host in 0..self.site.hosts.len() {
            while self.status(host).await?.skipped < 1 {
                try_site::check_timeout(started)?;
                try_site::sleep_poll_interval().await;
            }
        }
        self.send_until_ran(0, "stock", "after-bad-record").await?;
        Ok(format!("{} hosts skipped it", self.site.hosts.len()))
    }

    fn ran_for(&self, feature: &names::FeatureName) -> usize {
        let servers = self.site.servers.values();
        let runs = servers.map(|server| {
            let state = http::lock(server.service.state());
            let entries = state.journal().iter();
            entries
                .filter(|entry| entry.feature.as_ref() == Some(feature))
                .count()
        });
        runs.sum()
    }

    async fn send_feature_jobs(
        &mut self,
        feature: &names::FeatureName,
    ) -> Result<Vec<u16>, String> {
        let mut statuses = Vec::new();
        for host in 0..self.site.hosts.len() {
            let id = self.next_id();
            let request = caller::CallerRequest::new("stock", &id, &id);
            let request = request.with_feature(feature.clone());
            let response = self.client.send(self.callers(host), &request).await?;
            statuses.push(response.status);
        }
        Ok(statuses)
    }

    async fn try_retirement(&mut self) -> try_site::GuaranteeResult {
        let feature = names::FeatureName::new("nightly-stock-digest").map_err(|e| e.to_string())?;
        let before = self.send_feature_jobs(&feature).await?;
        if before.iter().any(|status| *status != 200) || self.ran_for(&feature) != before.len() {
            return Err(format!("not served before the retirement: {before:?}"));
        }
        let change = configuration::ConfigurationChange::RetireFeature {
            name: feature.clone(),
        };
        let status = self.submit(2, "retire", 2, vec![change]).await?;
        if status.verdict != Some(replay::PatchVerdict::Accepted { version: 3 }) {
            return Err(format!("{status:?}"));
        }
        let started = time::Instant::now();
        // A host that is behind the log also answers 410 if it forwards the job to one that is not, so
        // the version is waited for first.
        self.wait_for_version(3).await?;
        while self
            .send_feature_jobs(&feature)
            .await?
            .iter()
            .any(|status| *status != 410)
        {
            try_site::check_timeout(started)?;
        }
        let in_force = started.elapsed().as_millis();
        let ran = self.ran_for(&feature);
        for _ in 0..25 {
            self.send_feature_jobs(&feature).await?;
            try_site::sleep_poll_interval().await;
        }
        if self.ran_for(&feature) != ran {
            return Err("a server ran it after the retirement".into());
        }
        Ok(format!(
            "410 at every host within {in_force} ms of the verdict, 100 later jobs stopped"
        ))
    }

    async fn try_lost_server(&mut self) -> try_site::GuaranteeResult {
        let owner = |site: &site::LabSite, id: &str| {
            let servers = site.servers.iter();
            let mut ran = servers.filter(|(_, server)| {
                let state = http::lock(server.service.state());
                state.journal().iter().any(|entry| entry.id.as_str() == id)
            });
            ran.next().map(|(name, _)| name.clone())
        };
        let response = self.send_until_ran(0, "orders", "contractor-9").await?;
        let lost = owner(&self.site, &response.id).ok_or("no journal has the request")?;
        self.site.servers[&lost].handle.stop(false).await;
        http::lock(self.site.servers[&lost].service.faults()).frozen = true;
        let started = time::Instant::now();
        let response = self.send_until_ran(1, "orders", "contractor-9").await?;
        let waited = started.elapsed().as_millis();
        let next = owner(&self.site, &response.id).ok_or("no journal has the request")?;
        if next == lost {
            return Err(format!("{lost} still ran it"));
        }
        Ok(format!("moved from {lost} to {next} after {waited} ms"))
    }

    async fn try_stopped_host(&mut self) -> try_site::GuaranteeResult {
        let status = self.status(0).await?;
        let granters: Vec<_> = status
            .domains
            .iter()
            .filter_map(|d| d.granter.clone())
            .collect();
        let stopped = self
            .site
            .hosts
            .iter()
            .position(|host| granters.contains(&host.settings.name))
            .ok_or("no host grants")?;
        let client = self.client.clone();
        let request = caller::CallerRequest::new("orders", "in-flight", "in-flight");
        let address = self.callers(stopped);
        let in_flight = async move { client.send(address, &request).await };
        let stopping = self.site.hosts[stopped].entry.stop();
        let (response, ()) = futures_util::future::join(in_flight, stopping).await;
        let response = response?;
        if !response.ran() {
            return Err(format!(
                "the request in flight was not served: {response:?}"
            ));
        }
        let other = (stopped + 1) % self.site.hosts.len();
        self.send_until_ran(other, "stock", "after-stop").await?;
        let name = &self.site.hosts[stopped].settings.name;
        Ok(format!(
            "{name} stopped, its request in flight was answered"
        ))
    }
}
