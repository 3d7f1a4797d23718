//! A site with the processes of real hosts, for tests.

use std::cell;
use std::net;
use std::path;
use std::process;
use std::time;

use crate::platform_site::settings;
use crate::platform_site::site;

/// Upper bound on a step. It only ends a hung test; no case asserts a duration.
pub const STEP_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Interval at which a condition is polled.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The number of keys for which requests have to be served.
const SERVED_KEYS: u16 = 20;
/// Names a directory in which each host writes its log.
const LOGS_VARIABLE: &str = "ZINNIA_LAB_LOGS";

/// Defines a test for each named case, which gets the number of its loopback address.
#[macro_export]
macro_rules! site_cases {
    ($($name:ident = $number:literal),* $(,)?) => {
        mod cases {
            $(#[actix_web::test]
            async fn $name() {
                super::$name($number).await;
            })*
        }
    };
}

/// The process of a host, killed when the value is dropped.
pub struct RouterProcess {
    child: process::Child,
    /// Its listen addresses.
    pub ports: settings::HostPorts,
    /// Where it serves operators.
    pub operators: net::SocketAddr,
    file: path::PathBuf,
}

impl RouterProcess {
    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reports whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends it a signal, by the signal's option of `kill`.
    ///
    /// # Panics
    /// Panics when the process has ended.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = process::Command::new("kill").args([name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

// A loopback address for this test alone, so that parallel tests do not compete for ports.
fn own_ip(test: u8) -> net::IpAddr {
    let [high, low] = u16::try_from(process::id() % 60_000)
        .unwrap_or(1)
        .to_be_bytes();
    net::IpAddr::from([127, 64 + test, high, low.max(1)])
}

/// A site with its host processes.
pub struct SiteCase {
    /// The stand-ins.
    pub site: site::PlatformSite,
    /// The hosts that run.
    pub hosts: Vec<RouterProcess>,
    program: path::PathBuf,
    started: u16,
    // The limits of the machine that the settings files state, if any.
    limits: Option<serde_json::Value>,
}

impl SiteCase {
    /// Starts only the store. `lab` is the path of the lab's program: `cargo test --workspace` builds
    /// that of the hosts in the same directory. `test` tells the cases of a test program apart.
    ///
    /// # Panics
    /// Panics when the store's port is taken.
    #[must_use]
    pub fn new(lab: &path::Path, test: u8) -> Self {
        let site = site::PlatformSite::new(own_ip(test));
        Self {
            site: site.expect("the store's port is free"),
            hosts: Vec::new(),
            program: lab.with_file_name("zinnia-router"),
            started: 0,
            limits: None,
        }
    }

    /// Sets the limits of the machine that the settings files of the hosts state.
    #[must_use]
    pub fn with_limits(mut self, limits: serde_json::Value) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Starts a site with this number of hosts, and waits until they are ready.
    ///
    /// # Panics
    /// Panics when a port is taken or a host does not get ready.
    pub async fn start(lab: &path::Path, test: u8, hosts: u16) -> Self {
        let mut case = Self::new(lab, test);
        case.site.start_workers().expect("the ports are free");
        for _ in 0..hosts {
            case.add_host();
        }
        case.wait_until_ready().await;
        case
    }

    /// Starts another host.
    ///
    /// # Panics
    /// Panics when the program is missing.
    pub fn add_host(&mut self) {
        let number = self.started;
        self.started += 1;
        let name = format!("zinnia-{}-{}-{number}", process::id(), self.site.ip);
        let file = std::env::temp_dir().join(format!("{name}.json"));
        let mut settings = self.site.settings_file(number);
        if let Some(limits) = &self.limits {
            settings["self"]["limits"] = limits.clone();
        }
        std::fs::write(&file, settings.to_string()).expect("the settings file is written");
        let port = site::METRICS_PORT + number;
        let child = process::Command::new(&self.program)
            .env("ZINNIASTACK_CONFIG", &file)
            .env("ZINNIA_METRICS_PORT", port.to_string())
            .stdout(log_output(&name))
            .spawn()
            .expect("zinnia-router starts");
        self.hosts.push(RouterProcess {
            child,
            ports: self.site.ports(number),
            operators: net::SocketAddr::new(self.site.ip, port),
            file,
        });
    }

    /// Kills a host.
    pub fn kill_host(&mut self, host: usize) {
        drop(self.hosts.remove(host));
    }

    /// Waits until each host is ready.
    ///
    /// # Panics
    /// Panics when one does not get ready.
    pub async fn wait_until_ready(&self) {
        for host in &self.hosts {
            wait_until("the host is ready", async || {
                site::is_ready(host.ports.ready).await
            })
            .await;
        }
    }

    /// Sends one request to a host.
    pub async fn send(&self, host: usize, path: &str, id: &str, key: u16) -> Option<(u16, String)> {
        site::send(self.hosts[host].ports.front, path, id, key).await
    }

    /// Sends requests with many keys to all hosts; returns the number of correct responses.
    pub async fn send_many(&self, path: &str, prefix: &str, count: u16) -> usize {
        let fronts: Vec<_> = self.hosts.iter().map(|host| host.ports.front).collect();
        site::send_many(&fronts, path, prefix, count).await
    }

    /// Waits until requests for many keys are served at all hosts. Their ids begin with `prefix`.
    ///
    /// # Panics
    /// Panics when some are not.
    pub async fn wait_until_served(&self, path: &str, prefix: &str) {
        let round = cell::Cell::new(0_u32);
        wait_until("every key is served", async || {
            round.set(round.get() + 1);
            let prefix = format!("{prefix}-{}", round.get());
            self.send_many(path, &prefix, SERVED_KEYS).await == usize::from(SERVED_KEYS)
        })
        .await;
    }

    /// Returns the host that has the granter role, as the hosts report it.
    pub async fn granting_host(&self) -> Option<usize> {
        for (number, host) in self.hosts.iter().enumerate() {
            let report = site::host_report(host.operators).await;
            if report.is_some_and(|report| report["own"]["granting"] == true) {
                return Some(number);
            }
        }
        None
    }

    /// Checks that no request ran twice, that no key had two holders, and that fences rose.
    ///
    /// # Panics
    /// Panics when one of them is not so.
    pub fn expect_invariants(&self) {
        if let Err(broken) = self.site.check_invariants() {
            panic!("{broken}");
        }
    }
}

// The log goes nowhere unless a directory is named for it.
fn log_output(name: &str) -> process::Stdio {
    let Some(directory) = std::env::var_os(LOGS_VARIABLE) else {
        return process::Stdio::null();
    };
    let file = path::Path::new(&directory).join(format!("{name}.log"));
    std::fs::File::create(file).map_or_else(|_| process::Stdio::null(), process::Stdio::from)
}

/// Waits until `check` holds.
///
/// # Panics
/// Panics when it does not for `STEP_TIMEOUT`.
pub async fn wait_until(what: &str, check: impl AsyncFn() -> bool) {
    let end = time::Instant::now() + STEP_TIMEOUT;
    while !check().await {
        assert!(time::Instant::now() < end, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
