//! Seeded random fault schedules for a simulation. A failing schedule can be shrunk and formatted
//! as a scenario.

use std::fmt;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

use zinniastack::names;

use crate::scenario;
use crate::simulation;

/// The time between two steps is below this, in milliseconds.
pub const MAX_INTERVAL_MS: u64 = 400;
/// The time within which all shards must be served after all faults have ended, in milliseconds.
pub const RECOVERY_MS: u64 = 12_000;

/// One step of a schedule: a fault, the end of a fault, or a wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalkStep {
    /// Time passes, in milliseconds.
    Run(u64),
    /// A host's process ends.
    KillHost(String),
    /// A host's process is started or restarted.
    StartHost(String),
    /// A host's process is paused.
    PauseHost(String),
    /// A paused host resumes.
    ResumeHost(String),
    /// A server's process ends.
    KillServer(String),
    /// A server's process is started or restarted.
    StartServer(String),
    /// A server freezes.
    FreezeServer(String),
    /// A frozen server thaws.
    ThawServer(String),
    /// A server asks for its shards to be moved away.
    DrainServer(String),
    /// A failure domain is cut off from the other domains and the log.
    CutDomain(String),
    /// The connection between two nodes is cut.
    Cut(String, String),
    /// All connections are restored.
    Heal,
    /// The log rejects reads and appends. Ends the log's other faults.
    LogOutage,
    /// The next appends take effect, but their responses are lost. Ends the log's other faults.
    LoseAnswers(u32),
    /// All faults of the log end.
    LogRestored,
    /// An operator submits a patch through a host that retires the feature `digest`.
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
    /// An invariant was violated.
    #[snafu(display("{violation}"))]
    Violation {
        /// The checker's description.
        violation: String,
    },
    /// Some shards were not served within [`RECOVERY_MS`] after the last fault ended.
    #[snafu(display(
        "only {served} of {all} shards served {RECOVERY_MS} ms after the end of all faults"
    ))]
    Unserved {
        /// The number of shards that are served.
        served: usize,
        /// The number of shards.
        all: usize,
    },
}

/// A schedule of faults for a simulation.
#[derive(Clone, Debug)]
pub struct FaultWalk {
    plan: simulation::SimulationPlan,
    steps: Vec<WalkStep>,
}

impl FaultWalk {
    /// Creates the schedule of the plan's seed: `count` random steps, each followed by a random
    /// wait.
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
    /// Returns the first violation, or that not all shards were served in time.
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

    /// Returns a shorter schedule that still fails: removes ever smaller runs of steps that are not
    /// needed for the failure.
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

    /// Formats the schedule as a scenario. The plan's mutation, clock gain and timing are not part
    /// of it.
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
            // Each step formats as a valid command on hosts and servers of the plan, so execution
            // cannot fail.
            let _ = run.execute(&command);
        }
    }
}

// Applies a change to the host or server of this name; does nothing if the name is invalid.
fn on<N>(
    run: &mut scenario::ScenarioRun,
    name: Option<N>,
    change: impl FnOnce(&mut simulation::LabSimulation, &N),
) {
    if let Some(name) = name {
        change(run.simulation_mut(), &name);
    }
}

/// Ends all faults: restores connections and the log, resumes hosts, thaws servers, and restarts
/// ended processes and draining servers.
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
