//! Applies the changes of a patch, and checks the configuration that results.

use std::collections;

use crate::configuration;
use crate::names;

impl configuration::Configuration {
    /// Applies changes in their order and checks the result as a whole.
    ///
    /// # Errors
    /// Fails at the first change that is not allowed, or at the first invalid field of the result.
    pub fn with_changes(
        &self,
        changes: &[configuration::ConfigurationChange],
    ) -> Result<Self, configuration::ConfigurationError> {
        let mut next = self.clone();
        for change in changes {
            next.apply(change)?;
        }
        next.check()?;
        Ok(next)
    }

    pub(crate) fn apply(
        &mut self,
        change: &configuration::ConfigurationChange,
    ) -> Result<(), configuration::ConfigurationError> {
        match change {
            configuration::ConfigurationChange::PutDomain(spec) => self.apply_domain(spec),
            configuration::ConfigurationChange::PutHost(spec) => {
                self.put_host(spec.clone());
                Ok(())
            }
            configuration::ConfigurationChange::PutService(spec) => self.apply_service(spec),
            configuration::ConfigurationChange::PutServer(spec) => self.apply_server(spec),
            configuration::ConfigurationChange::PutFeature(spec) => {
                self.put_feature(spec.clone());
                Ok(())
            }
            configuration::ConfigurationChange::RemoveHost { name } => self.remove_host(name),
            configuration::ConfigurationChange::RemoveServer { name } => self.remove_server(name),
            configuration::ConfigurationChange::WithdrawServer { name } => {
                self.withdraw_server(name)
            }
            configuration::ConfigurationChange::RetireFeature { name } => self.retire_feature(name),
            configuration::ConfigurationChange::GiveUpDomain { name } => self.give_up_domain(name),
        }
    }

    pub(crate) fn apply_domain(
        &mut self,
        spec: &configuration::DomainSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        let given_up = self
            .find_domain(&spec.name)
            .is_some_and(configuration::DomainSpec::is_gone);
        if given_up && !spec.is_gone() {
            let field = format!("domain.{}.gone", spec.name);
            return refuse(field, "a domain that was given up never comes back");
        }
        self.put_domain(spec.clone());
        Ok(())
    }

    pub(crate) fn apply_service(
        &mut self,
        spec: &configuration::ServiceSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        if let Some(old) = self.find_service(&spec.name) {
            if old.shards != spec.shards {
                let field = format!("service.{}.shards", spec.name);
                return refuse(field, "the number of shards never changes");
            }
            if old.homes != spec.homes {
                let field = format!("service.{}.homes", spec.name);
                return refuse(field, "the homes never change");
            }
        }
        self.put_service(spec.clone());
        Ok(())
    }

    pub(crate) fn apply_server(
        &mut self,
        spec: &configuration::ServerSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        if let Some(old) = self.find_server(&spec.name) {
            let same_place = old.service == spec.service
                && old.domain == spec.domain
                && old.address == spec.address
                && old.fences == spec.fences;
            if !same_place {
                let field = format!("server.{}", spec.name);
                let reason = "service, domain, address and fences never change; use a new name";
                return refuse(field, reason);
            }
        }
        self.put_server(spec.clone());
        Ok(())
    }

    pub(crate) fn remove_host(
        &mut self,
        name: &names::HostName,
    ) -> Result<(), configuration::ConfigurationError> {
        if self.find_host(name).is_none() {
            return refuse(format!("host.{name}"), "unknown host");
        }
        self.host.retain(|spec| spec.name != *name);
        Ok(())
    }

    pub(crate) fn remove_server(
        &mut self,
        name: &names::ServerName,
    ) -> Result<(), configuration::ConfigurationError> {
        match self.find_server(name) {
            None => refuse(format!("server.{name}"), "unknown server"),
            Some(spec) if !spec.is_withdrawn() => {
                refuse(format!("server.{name}"), "withdraw the server first")
            }
            Some(_) => {
                self.server.retain(|spec| spec.name != *name);
                Ok(())
            }
        }
    }

    pub(crate) fn withdraw_server(
        &mut self,
        name: &names::ServerName,
    ) -> Result<(), configuration::ConfigurationError> {
        match self.server.iter_mut().find(|spec| spec.name == *name) {
            None => refuse(format!("server.{name}"), "unknown server"),
            Some(spec) => {
                spec.withdrawn = Some(true);
                Ok(())
            }
        }
    }

    pub(crate) fn retire_feature(
        &mut self,
        name: &names::FeatureName,
    ) -> Result<(), configuration::ConfigurationError> {
        match self.feature.iter_mut().find(|spec| spec.name == *name) {
            None => refuse(format!("feature.{name}"), "unknown feature"),
            Some(spec) => {
                spec.status = configuration::FeatureStatus::Retired;
                Ok(())
            }
        }
    }

    pub(crate) fn give_up_domain(
        &mut self,
        name: &names::DomainName,
    ) -> Result<(), configuration::ConfigurationError> {
        match self.domain.iter_mut().find(|spec| spec.name == *name) {
            None => refuse(format!("domain.{name}"), "unknown domain"),
            Some(spec) => {
                spec.gone = Some(true);
                Ok(())
            }
        }
    }

    /// Checks the configuration as a whole.
    ///
    /// # Errors
    /// Fails at the first invalid field.
    pub fn check(&self) -> Result<(), configuration::ConfigurationError> {
        check_unique("domain", self.domain.iter().map(|s| s.name.as_str()))?;
        check_unique("host", self.host.iter().map(|s| s.name.as_str()))?;
        check_unique("service", self.service.iter().map(|s| s.name.as_str()))?;
        check_unique("server", self.server.iter().map(|s| s.name.as_str()))?;
        check_unique("feature", self.feature.iter().map(|s| s.name.as_str()))?;
        self.host.iter().try_for_each(|s| self.check_host(s))?;
        self.service
            .iter()
            .try_for_each(|s| self.check_service(s))?;
        self.check_floors()?;
        self.server.iter().try_for_each(|s| self.check_server(s))?;
        self.feature.iter().try_for_each(|s| self.check_feature(s))
    }

    pub(crate) fn check_host(
        &self,
        spec: &configuration::HostSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        if self.find_domain(&spec.domain).is_none() {
            let field = format!("host.{}.domain", spec.name);
            return refuse(field, format!("unknown domain '{}'", spec.domain));
        }
        Ok(())
    }

    pub(crate) fn check_service(
        &self,
        spec: &configuration::ServiceSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        let field = |name: &str| format!("service.{}.{name}", spec.name);
        if spec.shards == 0 || spec.shards > configuration::MAX_SHARDS {
            return refuse(
                field("shards"),
                format!("use 1 to {}", configuration::MAX_SHARDS),
            );
        }
        if spec.deadline_ms == 0 || spec.deadline_ms > configuration::MAX_DEADLINE_MS {
            return refuse(
                field("deadline-ms"),
                format!("use 1 to {}", configuration::MAX_DEADLINE_MS),
            );
        }
        if spec.homes.is_empty() {
            return refuse(field("homes"), "name at least one domain");
        }
        let unknown = spec.homes.iter().find(|n| self.find_domain(n).is_none());
        if let Some(name) = unknown {
            return refuse(field("homes"), format!("unknown domain '{name}'"));
        }
        Ok(())
    }

    pub(crate) fn check_floors(&self) -> Result<(), configuration::ConfigurationError> {
        let over = self.service.iter().find(|s| s.floor_percent > 50);
        match over {
            None => Ok(()),
            Some(spec) => refuse(
                format!("service.{}.floor-percent", spec.name),
                "use 0 to 50",
            ),
        }
    }

    pub(crate) fn check_server(
        &self,
        spec: &configuration::ServerSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        let field = |name: &str| format!("server.{}.{name}", spec.name);
        if self.find_service(&spec.service).is_none() {
            let reason = format!("unknown service '{}'", spec.service);
            return refuse(field("service"), reason);
        }
        if self.find_domain(&spec.domain).is_none() {
            let reason = format!("unknown domain '{}'", spec.domain);
            return refuse(field("domain"), reason);
        }
        if spec.slots == 0 {
            return refuse(field("slots"), "use at least 1");
        }
        if spec.connections == 0 {
            return refuse(field("connections"), "use at least 1");
        }
        Ok(())
    }

    pub(crate) fn check_feature(
        &self,
        spec: &configuration::FeatureSpec,
    ) -> Result<(), configuration::ConfigurationError> {
        if self.find_service(&spec.service).is_none() {
            let field = format!("feature.{}.service", spec.name);
            return refuse(field, format!("unknown service '{}'", spec.service));
        }
        Ok(())
    }
}

fn refuse<T>(
    field: String,
    reason: impl Into<String>,
) -> Result<T, configuration::ConfigurationError> {
    Err(configuration::ConfigurationError {
        field,
        fault: reason.into(),
    })
}

fn check_unique<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), configuration::ConfigurationError> {
    let mut seen = collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return refuse(format!("{list}.{name}"), "the name stands twice");
        }
    }
    Ok(())
}
