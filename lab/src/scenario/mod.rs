//! The command language of scripted scenarios, which run on a simulation.

mod show;

use std::collections;
use std::str;
use std::time;

use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::names;
use zinniastack::timing;

use crate::checker;
use crate::faults;
use crate::server_state;
use crate::simulation;

/// One command of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioCommand {
    name: String,
    arguments: collections::BTreeMap<String, Vec<String>>,
    input: String,
}

impl ScenarioCommand {
    /// Creates a command without arguments. `input` is the text below the command's line.
    #[must_use]
    pub fn new(name: &str, input: &str) -> Self {
        Self {
            name: name.into(),
            arguments: collections::BTreeMap::new(),
            input: input.trim().into(),
        }
    }

    /// Parses a command from one line: its name, then arguments such as `ms=5`.
    #[must_use]
    pub fn from_line(line: &str) -> Self {
        let mut words = line.split(' ');
        let mut command = Self::new(words.next().unwrap_or_default(), "");
        for word in words {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            command = command.with_argument(name, &[value.to_owned()]);
        }
        command
    }

    /// Adds an argument.
    #[must_use]
    pub fn with_argument(mut self, name: &str, values: &[String]) -> Self {
        self.arguments.insert(name.into(), values.to_vec());
        self
    }

    fn text(&self, name: &str) -> Option<&str> {
        let values = self.arguments.get(name)?;
        values.first().map(String::as_str)
    }

    fn value<T: str::FromStr>(&self, name: &str) -> Result<T, String> {
        let text = self.text(name).unwrap_or_default();
        text.parse()
            .map_err(|_| format!("{} needs {name}=..., got '{text}'", self.name))
    }

    fn value_or<T: str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.text(name) {
            Some(_) => self.value(name),
            None => Ok(default),
        }
    }
}

/// A running scenario: a simulation and its checker.
pub struct ScenarioRun {
    simulation: simulation::LabSimulation,
    checker: checker::SimulationChecker,
}

impl ScenarioRun {
    /// Creates the simulation that the command `world` describes.
    ///
    /// # Errors
    /// Fails if an argument is missing or invalid.
    pub fn new(command: &ScenarioCommand) -> Result<Self, String> {
        let domains = command.arguments.get("domains");
        let domains = domains.ok_or("world needs domains=(NAME.HOSTS.CHECKED.UNCHECKED,...)")?;
        let domains: Result<Vec<_>, _> = domains.iter().map(|text| parse_domain(text)).collect();
        let plan = simulation::SimulationPlan {
            seed: command.value("seed")?,
            domains: domains?,
            shards: command.value_or("shards", 6)?,
            long_delay_one_in: command.value_or("hold-up", 0)?,
            mutation: server_state::ServerMutation::None,
            host_clock_gain_ppm: 0,
            timing: timing::LeaseTiming::new(),
        };
        Ok(Self::with_plan(plan))
    }

    /// Creates the simulation of a plan.
    #[must_use]
    pub fn with_plan(plan: simulation::SimulationPlan) -> Self {
        Self {
            simulation: simulation::LabSimulation::new(plan),
            checker: checker::SimulationChecker::new(),
        }
    }

    /// Returns the simulation.
    #[must_use]
    pub const fn simulation(&self) -> &simulation::LabSimulation {
        &self.simulation
    }

    /// Returns the simulation for modification.
    pub const fn simulation_mut(&mut self) -> &mut simulation::LabSimulation {
        &mut self.simulation
    }

    /// Returns the checker.
    #[must_use]
    pub const fn checker(&self) -> &checker::SimulationChecker {
        &self.checker
    }

    /// Resets the checker's measurements.
    pub fn mark(&mut self) {
        self.checker.mark(self.simulation.now());
    }

    /// Advances the time by a duration and checks the invariants after every event.
    pub fn advance(&mut self, duration: time::Duration) {
        let until = self.simulation.now() + duration;
        while self.simulation.step(until) {
            self.checker.check(&self.simulation);
        }
    }

    /// Advances the time until all shards are served, at most by a duration; reports whether they
    /// are served.
    pub fn settle(&mut self, duration: time::Duration) -> bool {
        let until = self.simulation.now() + duration;
        while self.simulation.step(until) {
            self.checker.check(&self.simulation);
            if self.checker.served(&self.simulation) == self.simulation.shards().len() {
                return true;
            }
        }
        false
    }

    /// Executes a command and returns its output.
    ///
    /// # Errors
    /// Fails if the command is unknown or an argument is missing or invalid.
    pub fn execute(&mut self, command: &ScenarioCommand) -> Result<String, String> {
        match command.name.as_str() {
            "run" => {
                let duration = time::Duration::from_millis(command.value("ms")?);
                self.advance(duration);
                Ok(String::new())
            }
            "settle" => {
                let duration = time::Duration::from_millis(command.value("ms")?);
                let all = self.settle(duration);
                Ok(if all {
                    "all served\n"
                } else {
                    "not all served\n"
                }
                .into())
            }
            "mark" => {
                self.mark();
                Ok(String::new())
            }
            "kill" | "start" | "pause" | "resume" | "freeze" | "thaw" | "drain" => {
                self.change_process(command)
            }
            "cut" => self.cut(command),
            "heal" => {
                self.simulation.heal();
                Ok(String::new())
            }
            "log" => self.change_log(command),
            "publish" => {
                self.simulation.log.append(command.input.clone());
                Ok(String::new())
            }
            "patch" => self.patch(command),
            "show" => self.show(command),
            other => Err(format!("unknown command '{other}'")),
        }
    }

    fn change_process(&mut self, command: &ScenarioCommand) -> Result<String, String> {
        let verb = command.name.as_str();
        if command.text("server").is_some() {
            let name: names::ServerName = command.value("server")?;
            self.change_server(verb, &name)?;
            return Ok(String::new());
        }
        let name = match command.text("granter") {
            Some(_) => {
                let domain = command.value("granter")?;
                self.granter(&domain)
                    .ok_or("no host is the granter of the domain")?
            }
            None => command.value("host")?,
        };
        match verb {
            "kill" => self.simulation.kill_host(&name),
            "start" => self.simulation.start_host(&name),
            "pause" => self.simulation.pause_host(&name),
            "resume" => self.simulation.resume_host(&name),
            other => return Err(format!("command '{other}' does not apply to a host")),
        }
        Ok(String::new())
    }

    fn change_server(&mut self, verb: &str, name: &names::ServerName) -> Result<(), String> {
        match verb {
            "kill" => self.simulation.kill_server(name),
            "start" => self.simulation.restart_server(name),
            "freeze" => self.simulation.freeze_server(name),
            "thaw" => self.simulation.thaw_server(name),
            "drain" => {
                let server = self.simulation.servers.get_mut(name);
                if let Some(state) = server.and_then(|server| server.state.as_mut()) {
                    state.draining = true;
                }
            }
            other => return Err(format!("command '{other}' does not apply to a server")),
        }
        Ok(())
    }

    fn cut(&mut self, command: &ScenarioCommand) -> Result<String, String> {
        if command.text("domain").is_some() {
            let domain = command.value("domain")?;
            self.simulation.cut_domain(&domain);
            return Ok(String::new());
        }
        let left = self.node(command, "left")?;
        let right = self.node(command, "right")?;
        self.simulation.cut(&left, &right);
        Ok(String::new())
    }

    fn node(
        &self,
        command: &ScenarioCommand,
        side: &str,
    ) -> Result<simulation::SimulatedNode, String> {
        let text = command.text(side).unwrap_or_default();
        if text == "log" {
            return Ok(simulation::SimulatedNode::Log);
        }
        if let Some(host) = self
            .simulation
            .hosts
            .keys()
            .find(|name| name.as_str() == text)
        {
            return Ok(simulation::SimulatedNode::Host(host.clone()));
        }
        let server = self
            .simulation
            .servers
            .keys()
            .find(|name| name.as_str() == text);
        let server = server.ok_or(format!("no host or server is named '{text}'"))?;
        Ok(simulation::SimulatedNode::Server(server.clone()))
    }

    fn change_log(&mut self, command: &ScenarioCommand) -> Result<String, String> {
        if command.text("keep").is_some() {
            self.simulation.log.trim(command.value("keep")?);
            return Ok(String::new());
        }
        if command.text("restore-older").is_some() {
            let count = command.value("restore-older")?;
            self.simulation.log.restore_older(count);
            return Ok(String::new());
        }
        if command.arguments.contains_key("lose-past") {
            self.simulation.log.lose_past();
            return Ok(String::new());
        }
        self.simulation.log.faults.outage = command.value_or("outage", false)?;
        self.simulation.log.faults.slow_ms = command.value_or("slow-ms", 0)?;
        self.simulation.log.faults.lose_answers = command.value_or("lose-answers", 0)?;
        Ok(String::new())
    }

    fn patch(&mut self, command: &ScenarioCommand) -> Result<String, String> {
        let id: String = command.value("id")?;
        let base = command.value("base")?;
        let change = if command.text("retire").is_some() {
            let name = command.value("retire")?;
            configuration::ConfigurationChange::RetireFeature { name }
        } else if command.text("withdraw").is_some() {
            let name = command.value("withdraw")?;
            configuration::ConfigurationChange::WithdrawServer { name }
        } else if command.text("remove").is_some() {
            let name = command.value("remove")?;
            configuration::ConfigurationChange::RemoveServer { name }
        } else {
            let name = command.value("give-up")?;
            configuration::ConfigurationChange::GiveUpDomain { name }
        };
        match command.text("host") {
            Some(_) => {
                let host = command.value("host")?;
                self.simulation.submit(&host, &id, base, vec![change]);
            }
            None => self.simulation.append_patch(&id, base, vec![change]),
        }
        Ok(String::new())
    }

    /// Returns the host that may grant in a domain by its own clock.
    #[must_use]
    pub fn granter(&self, domain: &names::DomainName) -> Option<names::HostName> {
        let mut hosts = self.simulation.hosts.iter();
        let granting = hosts.find(|(_, host)| {
            let state = host.state.as_ref().filter(|_| !host.paused);
            state.is_some_and(|state| state.granting().contains(domain))
        });
        granting.map(|(name, _)| name.clone())
    }

    /// Returns the faults that make a certain server lose its shards, each with the number of
    /// shards that the server owns now.
    #[must_use]
    pub fn shards_by_faulted_server(&self) -> Vec<(faults::SiteFault, usize)> {
        let fault_targets = [
            (faults::SiteFault::ServerLost, "north-s2"),
            (faults::SiteFault::ServerFrozen, "north-s3"),
            (faults::SiteFault::ServerDraining, "north-s1"),
        ];
        let owned = fault_targets.into_iter().map(|(fault, name)| {
            let count = self.owned_count(name);
            (fault, count)
        });
        owned.collect()
    }

    fn owned_count(&self, name: &str) -> usize {
        let server = self.simulation.servers.get(name);
        let owned = server.and_then(|server| {
            let time: clock::MonoTime = server.time(self.simulation.now());
            server.state.as_ref().map(|state| state.owned(time).count())
        });
        owned.unwrap_or(0)
    }

    /// Returns the ratio of the most shards of one server to the mean of the servers that own any,
    /// for the domain where this ratio is highest.
    #[must_use]
    pub fn peak_to_mean(&self) -> f64 {
        let domains = self.simulation.configuration().domain;
        let ratios = domains.iter().map(|domain| {
            let servers = self.simulation.servers.values();
            let here = servers.filter(|server| server.spec.domain == domain.name);
            let counts = here.map(|server| self.owned_count(server.spec.name.as_str()));
            let counts: Vec<usize> = counts.filter(|count| *count > 0).collect();
            let total: usize = counts.iter().sum();
            let peak = counts.iter().max().copied().unwrap_or(0);
            ratio(peak * counts.len(), total)
        });
        ratios.fold(0.0, f64::max)
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let exact = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    exact(part) / exact(whole.max(1))
}

fn parse_domain(text: &str) -> Result<simulation::DomainPlan, String> {
    let parts: Vec<&str> = text.split('.').collect();
    let [name, hosts, checked, unchecked] = parts[..] else {
        return Err(format!("'{text}' is not NAME.HOSTS.CHECKED.UNCHECKED"));
    };
    let number = |part: &str| {
        part.parse()
            .map_err(|_| format!("invalid number '{part}' in '{text}'"))
    };
    Ok(simulation::DomainPlan {
        name: name.into(),
        hosts: number(hosts)?,
        checked: number(checked)?,
        unchecked: number(unchecked)?,
    })
}
