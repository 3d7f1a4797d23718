//! Runs the scripted scenarios under scenarios/: commands to a simulated site, each with its
//! expected output.

use zinnia_lab::scenario;

fn run_file(path: &str) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/");
    datadriven::walk(&format!("{root}{path}"), |file| {
        let mut run: Option<scenario::ScenarioRun> = None;
        file.run(|case| {
            let mut command = scenario::ScenarioCommand::new(&case.directive, &case.input);
            for (name, values) in &case.args {
                command = command.with_argument(name, values);
            }
            case.args.clear();
            if case.directive == "world" {
                let created = scenario::ScenarioRun::new(&command);
                run = Some(created.unwrap_or_else(|fault| panic!("{fault}")));
                return String::new();
            }
            let run = run.as_mut().expect("a scenario starts with 'world'");
            let printed = run.execute(&command);
            printed.unwrap_or_else(|fault| format!("error: {fault}\n"))
        });
    });
}

macro_rules! scenario_files {
    ($($name:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            run_file(stringify!($name));
        }
    )*};
}

scenario_files! {
    checkpoint,
    cut_off_domain,
    frozen_and_back,
    given_up_domain,
    granter_lost_in_a_move,
    late_start,
    log_outage,
    loss_of_a_server,
    lost_answer,
    lost_past,
    malformed_records,
    operator_race,
    returned_server,
    unchecked_servers,
    withdrawn_server,
}
