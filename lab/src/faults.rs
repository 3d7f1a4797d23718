//! The faults of a site, one by one, for tables of faults at every step and in pairs.

use std::time;

use zinniastack::names;

use crate::scenario;
use crate::walk;

/// A fault that the users name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteFault {
    /// The granter's process ends.
    GranterLost,
    /// The granter's process is paused, and goes on later.
    GranterPaused,
    /// The granter is cut off from all servers.
    GranterCut,
    /// Another host's process ends.
    HostLost,
    /// A server's process ends.
    ServerLost,
    /// A server's process is restarted at once.
    ServerRestarted,
    /// A server freezes, and goes on later.
    ServerFrozen,
    /// A server asks to be relieved.
    ServerDraining,
    /// The failure domain is cut off.
    DomainCut,
    /// The log is down.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// Appends take effect without an answer.
    AnswersLost,
    /// Two operators submit patches against one version.
    OperatorRace,
    /// A malformed record is published.
    BadRecord,
    /// A majority of the witnesses restarts.
    WitnessesRestarted,
}

impl SiteFault {
    /// Every fault.
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

    /// Returns the commands that bring the fault about.
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

    /// Brings the fault about. A command that finds nothing to act on, as when no host grants, is
    /// passed over.
    pub fn inject(self, run: &mut scenario::ScenarioRun) {
        for line in self.commands() {
            let _ = run.execute(&scenario::ScenarioCommand::from_line(line));
        }
    }
}

/// Lets all faults end, and waits until all shards are served; reports whether they are.
pub fn recover(run: &mut scenario::ScenarioRun) -> bool {
    walk::end_faults(run);
    run.settle(time::Duration::from_millis(walk::RECOVERY_MS))
}

/// Returns the domain that the faults strike.
///
/// # Panics
/// Never: the name is well formed.
#[must_use]
pub fn faulted_domain() -> names::DomainName {
    names::DomainName::new("north").expect("a name")
}
