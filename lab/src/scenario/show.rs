//! The command `show`, which prints the state of the simulation and of its checker.

use crate::scenario;
use zinniastack::names;

impl scenario::ScenarioRun {
    pub(super) fn show(&self, command: &scenario::ScenarioCommand) -> Result<String, String> {
        let mut texts = Vec::new();
        for what in command.arguments.keys() {
            texts.push(match what.as_str() {
                "served" => {
                    let served = self.checker.served(&self.simulation);
                    format!("served {}/{}\n", served, self.simulation.shards().len())
                }
                "violations" => self.show_violations(),
                "granters" => self.show_granters(),
                "versions" => self.show_versions(),
                "unserved-below-ms" => {
                    let bound: u64 = command.value("unserved-below-ms")?;
                    self.show_unserved(bound)
                }
                "moves" => format!("moves {}\n", self.checker.moves()),
                "verdict" => self.show_verdict(&command.value("verdict")?),
                "skipped" => self.show_skipped(),
                "shards-of" => self.show_shards_of(&command.value("shards-of")?),
                other => return Err(format!("unknown argument '{other}' of show")),
            });
        }
        Ok(texts.concat())
    }

    fn show_violations(&self) -> String {
        let violations = self.checker.violations();
        if violations.is_empty() {
            return "no violation\n".into();
        }
        violations.join("\n") + "\n"
    }

    fn show_granters(&self) -> String {
        let configuration = self.simulation.configuration();
        let lines = configuration.domain.iter().map(|domain| {
            let granter = self.granter(&domain.name);
            let granter = granter.map_or("none".into(), |name| name.to_string());
            format!("granter of {}: {granter}\n", domain.name)
        });
        lines.collect()
    }

    fn show_versions(&self) -> String {
        let lines = self.simulation.hosts.iter().map(|(name, host)| {
            let version = host.state.as_ref().map(|s| s.replay().state().version);
            let version = version.map_or("dead".into(), |version| version.to_string());
            format!("{name}: version {version}\n")
        });
        lines.collect()
    }

    fn show_unserved(&self, bound: u64) -> String {
        let longest = self.checker.longest_unserved(&self.simulation).as_millis();
        if longest < u128::from(bound) {
            return format!("unserved for less than {bound} ms\n");
        }
        format!("unserved for {longest} ms, bound {bound} ms\n")
    }

    fn show_verdict(&self, id: &names::RecordId) -> String {
        let lines = self.simulation.hosts.iter().map(|(name, host)| {
            let state = host.state.as_ref();
            let verdict = state.and_then(|state| state.replay().verdict(id));
            format!("{name}: {verdict:?}\n")
        });
        lines.collect()
    }

    fn show_skipped(&self) -> String {
        let lines = self.simulation.hosts.iter().map(|(name, host)| {
            let skipped = host.state.as_ref().map(|s| s.replay().state().skipped);
            format!("{name}: skipped {skipped:?}\n")
        });
        lines.collect()
    }

    fn show_shards_of(&self, name: &names::ServerName) -> String {
        let owned = self.owned_count(name.as_str());
        format!("{name} owns {owned} shards\n")
    }
}
