//! Faults of a site. Tests inject each one alone, in pairs, and at each step of a move or takeover.

use std::time;

use zinniastack::names;

use crate::scenario;
use crate::walk;

/// A fault that a site must survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteFault {
    /// The granter's process ends.
    GranterLost,
    /// The granter's process is paused until the faults end.
    GranterPaused,
    /// The host `north-h1` is cut off from the checked servers of its domain.
    GranterCut,
    /// The process of a host in another domain ends.
    HostLost,
    /// A server's process ends.
    ServerLost,
    /// A server's process restarts immediately.
    ServerRestarted,
    /// A server is frozen until the faults end.
    ServerFrozen,
    /// A server asks for its shards to be moved away.
    ServerDraining,
    /// The failure domain is cut off from the other domains and the log.
    DomainCut,
    /// The log rejects reads and appends.
    LogDown,
    /// Each call to the log takes 900 ms longer.
    LogSlow,
    /// The next three appends take effect, but their responses are lost.
    AnswersLost,
    /// Two operators submit patches against the same base version.
    OperatorRace,
    /// A malformed record is appended to the log.
    BadRecord,
    /// A majority of the witnesses restarts: two of three.
    WitnessesRestarted,
}

impl SiteFault {
    /// All faults.
    pub const ALL: [Self; 15] = [
        Self::GranterLost,
        Self::GranterPaused,
        Self::GranterCut,
        Self::HostLost,
        Self::ServerLost,
        Self::ServerRestarted,
        Self::ServerFrozen,
        Self::ServerDraining,
        Self::DomainCut,
        Self::LogDown,
        Self::LogSlow,
        Self::AnswersLost,
        Self::OperatorRace,
        Self::BadRecord,
        Self::WitnessesRestarted,
    ];

    /// Returns the scenario commands that inject the fault.
    #[must_use]
    pub fn commands(self) -> &'static [&'static str] {
        match self {
            Self::GranterLost => &["kill granter=north"],
            Self::GranterPaused => &["pause granter=north"],
            Self::GranterCut => &[
                "cut left=north-h1 right=north-s1",
                "cut left=north-h1 right=north-s2",
                "cut left=north-h1 right=north-s3",
            ],
            Self::HostLost => &["kill host=south-h1"],
            Self::ServerLost => &["kill server=north-s2"],
            Self::ServerRestarted => &["start server=north-s2"],
            Self::ServerFrozen => &["freeze server=north-s3"],
            Self::ServerDraining => &["drain server=north-s1"],
            Self::DomainCut => &["cut domain=north"],
            Self::LogDown => &["log outage=true"],
            Self::LogSlow => &["log slow-ms=900"],
            Self::AnswersLost => &["log lose-answers=3"],
            Self::OperatorRace => &[
                "patch id=left base=1 retire=digest host=north-h1",
                "patch id=right base=1 withdraw=south-s3 host=south-h1",
            ],
            Self::BadRecord => &["publish"],
            Self::WitnessesRestarted => &["start server=north-s1", "start server=north-s2"],
        }
    }

    /// Injects the fault. A command that has no target is skipped, such as one for the granter of a
    /// domain that has none.
    pub fn inject(self, run: &mut scenario::ScenarioRun) {
        for line in self.commands() {
            let _ = run.execute(&scenario::ScenarioCommand::from_line(line));
        }
    }
}

/// Ends all faults, waits until all shards are served, and reports whether they are.
pub fn recover(run: &mut scenario::ScenarioRun) -> bool {
    walk::end_faults(run);
    run.settle(time::Duration::from_millis(walk::RECOVERY_MS))
}

/// Returns the failure domain that most faults affect.
///
/// # Panics
/// Never panics, because the name is valid.
#[must_use]
pub fn faulted_domain() -> names::DomainName {
    names::DomainName::new("north").expect("a valid name")
}
