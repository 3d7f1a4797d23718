//! Runs one case of the review: `standin CASE RECORD`. Exits with 0 where the rule held, 1 where it was
//! broken, 2 where the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod record;
mod site;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = record::Record::new(path)
        .map_err(|e| e.to_string())
        .and_then(|record| {
            record.line(format!("case {case}, disruption: {trouble}"));
            let broken = cases::run(case, trouble, &record);
            match &broken {
                Ok(true) => record.line("the rule is BROKEN"),
                Ok(false) => record.line("the rule held"),
                Err(error) => record.line(format!("the case could not run: {error}")),
            }
            broken
        });
    match run {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
