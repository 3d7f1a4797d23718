//! `zinnia-lab load`: open-loop load on entry hosts. Latency counts from the intended send time.

use std::cell;
use std::net;
use std::rc;
use std::time;

use zinniastack::cmd;
use zinniastack::settings;

use crate::caller;

/// The usage text.
pub const USAGE: &str = "\
Sends requests to entry hosts at a fixed rate, whether or not earlier ones are answered, and prints
key=value lines. Latency counts from the time a request was due, so it includes stalls in full.

Usage: zinnia-lab load --hosts IP:PORT,... --services NAME,... [--rate N] [--seconds N]
                       [--keys N] [--deadline-ms N]
Services are taken in turn.";

/// The greatest latency that the quantiles distinguish, in microseconds.
pub const MAX_LATENCY_US: u64 = 60_000_000;
/// The most requests that one run sends.
pub const MAX_REQUESTS: u64 = 5_000_000;

/// The arguments.
#[derive(Clone, Debug)]
#[derive(gumdrop::Options)]
pub struct LoadArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The caller addresses of the entry hosts, separated by commas.
    #[options(no_short, help = "the entry hosts' caller listeners")]
    pub hosts: Option<String>,
    /// The names of the services, separated by commas; requests go to them in turn.
    #[options(no_short, help = "the services, taken in turn")]
    pub services: Option<String>,
    /// The requests per second.
    #[options(no_short, default = "1000", help = "how many requests a second")]
    pub rate: u64,
    /// The duration of the run, in seconds.
    #[options(no_short, default = "10", help = "for how many seconds")]
    pub seconds: u64,
    /// The number of keys of each service.
    #[options(
        no_short,
        default = "1000",
        help = "over how many keys of each service"
    )]
    pub keys: u64,
    /// The deadline of each request, in milliseconds.
    #[options(
        no_short,
        default = "1000",
        help = "the deadline of each, in milliseconds"
    )]
    pub deadline_ms: u64,
}

#[derive(Default)]
struct ServiceTally {
    sent: u64,
    ran: u64,
    not_run: u64,
    unknown: u64,
    unanswered: u64,
    latencies_us: Vec<u64>,
}

/// Runs the command.
///
/// # Errors
/// Fails when the arguments are invalid.
pub fn run(arguments: &[String]) -> Result<u8, cmd::CommandError> {
    let Some(args) = cmd::parse_args::<LoadArgs>(USAGE, arguments)? else {
        return Ok(cmd::EXIT_OK);
    };
    let takes = "addresses separated by commas, such as 127.0.0.1:7301,127.0.0.1:7401";
    let hosts = settings::SettingSource::new("hosts", args.hosts.as_deref(), takes);
    let hosts: Vec<net::SocketAddr> = hosts.list()?;
    let takes = "names of services separated by commas";
    let services = settings::SettingSource::new("services", args.services.as_deref(), takes);
    let services: Vec<String> = services.list()?;
    if hosts.is_empty() || services.is_empty() || args.rate * args.seconds > MAX_REQUESTS {
        return Err(cmd::CommandError::Usage {
            message: format!(
                "--hosts and --services must not be empty, --rate times --seconds at most {MAX_REQUESTS}"
            ),
        });
    }
    let tallies = actix::System::new().block_on(send_all(&args, &hosts, &services));
    for (service, tally) in services.iter().zip(&tallies) {
        print_tally(service, tally);
    }
    Ok(cmd::EXIT_OK)
}

async fn send_all(
    args: &LoadArgs,
    hosts: &[net::SocketAddr],
    services: &[String],
) -> Vec<ServiceTally> {
    let tallies: Vec<_> = services.iter().map(|_| ServiceTally::default()).collect();
    let tallies = rc::Rc::new(cell::RefCell::new(tallies));
    let client = caller::CallerClient::new();
    let started = time::Instant::now();
    let gap =
        time::Duration::from_secs(1).div_f64(f64::from(u32::try_from(args.rate).unwrap_or(1)));
    let mut calls = Vec::new();
    for number in 0..args.rate * args.seconds {
        let due = started + gap.mul_f64(f64::from(u32::try_from(number).unwrap_or(u32::MAX)));
        tokio::time::sleep_until(due.into()).await;
        let position = usize::try_from(number).unwrap_or(0);
        let (service, host) = (position % services.len(), hosts[position % hosts.len()]);
        let key = format!("key-{}", number / services.len() as u64 % args.keys.max(1));
        let id = format!("load-{number}");
        let request = caller::CallerRequest::new(&services[service], &key, &id);
        let request = request.with_deadline_ms(args.deadline_ms);
        let (client, tallies) = (client.clone(), rc::Rc::clone(&tallies));
        tallies.borrow_mut()[service].sent += 1;
        calls.push(actix::spawn(async move {
            let response = client.send(host, &request).await;
            let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            record_response(&mut tallies.borrow_mut()[service], &response, micros);
        }));
    }
    for call in calls {
        let _ = call.await;
    }
    rc::Rc::try_unwrap(tallies).map_or_else(|_| Vec::new(), cell::RefCell::into_inner)
}

fn record_response(
    tally: &mut ServiceTally,
    response: &Result<caller::CallerResponse, String>,
    micros: u64,
) {
    match response.as_ref().map(|response| response.outcome.as_str()) {
        Ok("ran") => {
            tally.ran += 1;
            tally.latencies_us.push(micros);
        }
        Ok("not-run") => tally.not_run += 1,
        Ok(_) => tally.unknown += 1,
        Err(_) => tally.unanswered += 1,
    }
}

fn print_tally(service: &str, tally: &ServiceTally) {
    let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3) else {
        return;
    };
    for value in &tally.latencies_us {
        histogram.saturating_record(*value);
    }
    println!(
        "service={service} sent={} ran={} not_run={} unknown={} unanswered={} p50_us={} p99_us={}",
        tally.sent,
        tally.ran,
        tally.not_run,
        tally.unknown,
        tally.unanswered,
        histogram.value_at_quantile(0.50),
        histogram.value_at_quantile(0.99)
    );
}
