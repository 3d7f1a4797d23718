//! Seeded random schedules of faults over a virtual world, and their shrinking to a scenario.

use std::fmt;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use zinniastack::names;

use crate::scenario;
use crate::simulation;

/// The longest time between two faults, in milliseconds.
pub const MAX_INTERVAL_MS: u64 = 400;
/// How long a world may take to serve all shards once all faults have ended, in milliseconds.
pub const RECOVERY_MS: u64 = 12_000;

/// One fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalkStep {
    /// Time passes.
    Run(u64),
    /// A host's process ends.
    KillHost(String),
    /// A host's process starts afresh.
    StartHost(String),
    /// A host's process is paused.
    PauseHost(String),
    /// A paused host goes on.
    ResumeHost(String),
    /// A server's process ends.
    KillServer(String),
    /// A server's process starts afresh.
    StartServer(String),
    /// A server freezes.
    FreezeServer(String),
    /// A frozen server goes on.
    ThawServer(String),
    /// A server asks to be relieved.
    DrainServer(String),
    /// A domain is cut off.
    CutDomain(String),
    /// Two parties are cut off from each other.
    Cut(String, String),
    /// All cuts end.
    Heal,
    /// The log fails.
    LogOutage,
    /// The log takes appends without answering.
    LoseAnswers(u32),
    /// The log works.
    LogRestored,
    /// An operator submits a patch through a host.
    Retire(String, u32),
}

impl fmt::Display for WalkStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Run(ms) => write!(f, "run ms={ms}"),
            Self::KillHost(name) => write!(f, "kill host={name}"),
            Self::StartHost(name) => write!(f, "start host={name}"),
            Self::PauseHost(name) => write!(f, "pause host={name}"),
            Self::ResumeHost(name) => write!(f, "resume host={name}"),
            Self::KillServer(name) => write!(f, "kill server={name}"),
            Self::StartServer(name) => write!(f, "start server={name}"),
            Self::FreezeServer(name) => write!(f, "freeze server={name}"),
            Self::ThawServer(name) => write!(f, "thaw server={name}"),
            Self::DrainServer(name) => write!(f, "drain server={name}"),
            Self::CutDomain(name) => write!(f, "cut domain={name}"),
            Self::Cut(left, right) => write!(f, "cut left={left} right={right}"),
            Self::Heal => write!(f, "heal"),
            Self::LogOutage => write!(f, "log outage=true"),
            Self::LoseAnswers(count) => write!(f, "log lose-answers={count}"),
            Self::LogRestored => write!(f, "log outage=false"),
            Self::Retire(host, number) => {
                write!(
                    f,
                    "patch id=retire-{number} base=1 retire=digest host={host}"
                )
            }
        }
    }
}

/// Why a schedule failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum WalkError {
    /// A promise was broken.
    #[snafu(display("{violation}"))]
    Violation {
        /// What the checker says.
        violation: String,
    },
    /// Some shards are still not served long after the last fault ended.
    #[snafu(display("{served} of {all} shards served after recovery"))]
    Unserved {
        /// How many are.
        served: usize,
        /// How many there are.
        all: usize,
    },
}

/// A schedule of faults in a world.
#[derive(Clone, Debug)]
pub struct FaultWalk {
    plan: simulation::SimulationPlan,
    steps: Vec<WalkStep>,
}

impl FaultWalk {
    /// Creates the schedule of a seed: as many steps as told, with pauses between them.
    #[must_use]
    pub fn new(plan: simulation::SimulationPlan, count: usize) -> Self {
        let mut generator = rand::rngs::StdRng::seed_from_u64(plan.seed ^ 0x5eed);
        let mut steps = vec![WalkStep::Run(2_500)];
        for number in 0..count {
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            steps.push(random_step(&plan, &mut generator, number));
            let pause = generator.random_range(0..MAX_INTERVAL_MS);
            steps.push(WalkStep::Run(pause));
        }
        Self { plan, steps }
    }

    /// Runs the schedule, ends all faults, and waits for all shards to be served.
    ///
    /// # Errors
    /// Fails with the first promise that was broken.
    pub fn run(&self) -> Result<(), WalkError> {
        let mut run = scenario::ScenarioRun::with_plan(self.plan.clone());
        for step in &self.steps {
            apply(&mut run, step);
            check_violations(&run)?;
        }
        end_faults(&mut run);
        let all_served = run.settle(time::Duration::from_millis(RECOVERY_MS));
        check_violations(&run)?;
        if all_served {
            return Ok(());
        }
        let served = run.checker().served(run.simulation());
        let all = run.simulation().shards().len();
        UnservedSnafu { served, all }.fail()
    }

    /// Removes steps as long as the schedule still fails.
    #[must_use]
    pub fn shrink(&self) -> Self {
        let mut best = self.clone();
        let mut size = best.steps.len() / 2;
        while size > 0 {
            let mut start = 0;
            while start < best.steps.len() {
                let mut candidate = best.clone();
                let end = (start + size).min(candidate.steps.len());
                candidate.steps.drain(start..end);
                if candidate.run().is_err() {
                    best = candidate;
                } else {
                    start += size;
                }
            }
            size /= 2;
        }
        best
    }

    /// Writes the schedule as a scenario.
    #[must_use]
    pub fn to_scenario(&self) -> String {
        let domains = self.plan.domains.iter();
        let domains =
            domains.map(|d| format!("{}.{}.{}.{}", d.name, d.hosts, d.checked, d.unchecked));
        let domains: Vec<_> = domains.collect();
        let hold_up = self.plan.long_delay_one_in;
        let header = format!(
            "world seed={} domains=({}) shards={} hold-up={hold_up}\n----\n",
            self.plan.seed,
            domains.join(","),
            self.plan.shards
        );
        let steps = self.steps.iter().map(|step| format!("\n{step}\n----\n"));
        let steps: String = steps.collect();
        header + &steps + "\nshow violations\n----\n"
    }
}

fn check_violations(run: &scenario::ScenarioRun) -> Result<(), WalkError> {
    match run.checker().violations().first() {
        None => Ok(()),
        Some(violation) => ViolationSnafu { violation }.fail(),
    }
}

fn random_step(
    plan: &simulation::SimulationPlan,
    generator: &mut rand::rngs::StdRng,
    number: u32,
) -> WalkStep {
    let domain = plan.domains[generator.random_range(0..plan.domains.len())].clone();
    let host = format!(
        "{}-h{}",
        domain.name,
        generator.random_range(1..=domain.hosts)
    );
    let last = domain.checked + domain.unchecked;
    let position = generator.random_range(1..=last);
    let server = if position <= domain.checked {
        format!("{}-s{position}", domain.name)
    } else {
        format!("{}-u{}", domain.name, position - domain.checked)
    };
    match generator.random_range(0..24) {
        0 => WalkStep::KillHost(host),
        1..=3 => WalkStep::StartHost(host),
        4 | 5 => WalkStep::PauseHost(host),
        6..=8 => WalkStep::ResumeHost(host),
        9 => WalkStep::KillServer(server),
        10 | 11 => WalkStep::StartServer(server),
        12 | 13 => WalkStep::FreezeServer(server),
        14..=16 => WalkStep::ThawServer(server),
        17 => WalkStep::DrainServer(server),
        18 => WalkStep::CutDomain(domain.name),
        19 => WalkStep::Cut(host, server),
        20 => WalkStep::Heal,
        21 => WalkStep::LogOutage,
        22 => WalkStep::LogRestored,
        _ if generator.random_range(0..2) == 0 => WalkStep::LoseAnswers(2),
        _ => WalkStep::Retire(host, number),
    }
}

fn apply(run: &mut scenario::ScenarioRun, step: &WalkStep) {
    let host = |name: &str| names::HostName::new(name).ok();
    let server = |name: &str| names::ServerName::new(name).ok();
    match step {
        WalkStep::Run(ms) => run.advance(time::Duration::from_millis(*ms)),
        WalkStep::KillHost(name) => on(run, host(name), simulation::LabSimulation::kill_host),
        WalkStep::StartHost(name) => on(run, host(name), simulation::LabSimulation::start_host),
        WalkStep::PauseHost(name) => on(run, host(name), simulation::LabSimulation::pause_host),
        WalkStep::ResumeHost(name) => on(run, host(name), simulation::LabSimulation::resume_host),
        WalkStep::KillServer(name) => on(run, server(name), simulation::LabSimulation::kill_server),
        WalkStep::StartServer(name) => {
            on(run, server(name), simulation::LabSimulation::restart_server);
        }
        WalkStep::FreezeServer(name) => {
            on(run, server(name), simulation::LabSimulation::freeze_server);
        }
        WalkStep::ThawServer(name) => on(run, server(name), simulation::LabSimulation::thaw_server),
        other => {
            let command = scenario::ScenarioCommand::from_line(&other.to_string());
            // Every step is a command of the scenario language, so none can fail.
            let _ = run.execute(&command);
        }
    }
}

fn on<N>(
    run: &mut scenario::ScenarioRun,
    name: Option<N>,
    change: impl FnOnce(&mut simulation::LabSimulation, &N),
) {
    if let Some(name) = name {
        change(run.simulation_mut(), &name);
    }
}

/// Ends all faults: heals, resumes, thaws and restarts what does not run.
pub fn end_faults(run: &mut scenario::ScenarioRun) {
    let simulation = run.simulation_mut();
    simulation.heal();
    simulation.log.faults = crate::log_state::LogFaults::default();
    let hosts: Vec<_> = simulation.hosts.keys().cloned().collect();
    for host in &hosts {
        simulation.resume_host(host);
        if simulation.hosts[host].state.is_none() {
            simulation.start_host(host);
        }
    }
    let servers: Vec<_> = simulation.servers.keys().cloned().collect();
    for server in &servers {
        simulation.thaw_server(server);
        let needs_restart = simulation.servers[server]
            .state
            .as_ref()
            .is_none_or(|s| s.draining);
        if needs_restart {
            simulation.restart_server(server);
        }
    }
}
