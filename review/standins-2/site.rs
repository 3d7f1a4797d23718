//! A small deployment: the store, and routers as separate processes with the command of the deploy file.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use crate::http;
use crate::record;
use crate::store;

/// The program of the deploy file, and its arguments.
const PROGRAM: &str = "target/release/zinnia-router";
const METRICS_PORT: u16 = 9_464;
/// How long a site may take until all routers are ready, in seconds.
const READY_TIMEOUT_S: u64 = 20;

/// The limits of a machine, as its settings state them.
#[derive(Clone, Copy)]
pub struct MachineLimits {
    /// The memory, in MB.
    pub memory_mb: u64,
    /// The descriptors.
    pub max_fds: u64,
    /// The rate of the link, in Mbit/s.
    pub link_mbps: u64,
}

/// A deployment.
pub struct Site {
    /// The store.
    pub store: store::Store,
    /// The record of the case.
    pub record: record::Record,
    /// The folder of settings and logs.
    pub folder: path::PathBuf,
    store_address: net::SocketAddr,
    ports: [u16; 3],
    network: (u8, u8),
}

/// One machine with its router process.
pub struct Machine {
    /// The address for callers.
    pub front: net::SocketAddr,
    /// The process.
    pub child: process::Child,
    ready: net::SocketAddr,
    settings: path::PathBuf,
    log: path::PathBuf,
    record: record::Record,
    name: String,
}

impl Site {
    /// Starts a site's store, on addresses that are free.
    pub fn start(record: &record::Record) -> io::Result<Self> {
        let number = process::id();
        let network = (100 + (number >> 8 & 63) as u8, (number & 255) as u8);
        let ip = address(network, 1);
        let (store, store_address) = store::Store::start(ip)?;
        let folder = std::env::temp_dir().join(format!("zinnia-review-{number}"));
        fs::create_dir_all(&folder)?;
        let first = 20_000 + (number % 400) as u16 * 40;
        Ok(Self {
            store,
            record: record.clone(),
            folder,
            store_address,
            ports: [first, first + 1, first + 2],
            network,
        })
    }

    /// Returns the address of a machine or a worker by its number, from 2 on.
    pub fn ip(&self, number: u8) -> net::IpAddr {
        address(self.network, number)
    }

    /// Writes a configuration: the services, and the routes of one host name.
    pub fn configure(&self, version: u64, services: &[&str], routes: &str) {
        let services = services.iter().map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false}}")
        });
        let services = services.collect::<Vec<_>>().join(",");
        let limits = "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
        let value = format!(
            "{{\"version\":{version},\"services\":[{services}],\"limits\":{limits},\"hosts\":[{{\"host\":\"app.example\",\"paths\":[{routes}]}}]}}"
        );
        self.store.put("keyed.op", "config", &value);
        self.record.note(&format!("configuration {value}"));
    }

    /// Starts a machine's router.
    pub fn machine(&self, number: u8, zone: &str, limits: MachineLimits) -> io::Result<Machine> {
        let ip = self.ip(number);
        let name = format!("edge-{zone}-{number}");
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, self.settings(&name, zone, ip, limits))?;
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        Ok(Machine {
            front: net::SocketAddr::new(ip, self.ports[0]),
            ready: net::SocketAddr::new(ip, self.ports[1]),
            child,
            settings,
            log,
            record: self.record.clone(),
            name,
        })
    }

    fn settings(&self, name: &str, zone: &str, ip: net::IpAddr, limits: MachineLimits) -> String {
        let [front, ready, control] = self.ports;
        let (first, last) = (self.ports[0] + 5, self.ports[0] + 20);
        let store = self.store_address;
        let MachineLimits {
            memory_mb,
            max_fds,
            link_mbps,
        } = limits;
        format!(
            r#"{{"grants":"call","self":{{"node":"{name}","role":"entry","machine_class":"edge","serves":["edge"],"ip":"{ip}","zone":"{zone}","region":"r","count_loss":false,"bootstrap":true,"data_dir":null,"limits":{{"cpu_share":0.4,"cpus":1,"memory_mb":{memory_mb},"max_fds":{max_fds},"link_mbps":{link_mbps},"disk_mb":0}}}},
"network":{{"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},"internal_ports":[{first},{last}],"seeds":[],"zones":{{"{zone}":"r"}}}},
"platform":{{"discovery":"platform","entry":"vip","heartbeat_ms":1500,"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":8,"append_ms":4.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"min_ttl_ms":1000}}}},
"terms":{{"contracts":["base","drain","config","cost","retry","recover","own","platform"],"tolerate":{{"machines":2,"zones":1,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"back_ms":250,"max_stretch_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":60,"recovery_s":15,"max_hold_ms":10000,"thaw_ms":300}}}}}}"#
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // A folder that cannot be removed lies among the temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    /// Waits until the router is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = time::Instant::now() + time::Duration::from_secs(READY_TIMEOUT_S);
        while time::Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(time::Duration::from_millis(100));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = net::TcpStream::connect(self.ready) else {
            return false;
        };
        let mut connection = http::Connection::new(stream);
        let request =
            b"GET /zinniastack/readiness HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n";
        let answered = connection
            .write(request)
            .and_then(|()| connection.read_head());
        answered.is_ok_and(|head| head.is_some_and(|head| head.status() == 200))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        self.record.note(&format!("{signal} to {}", self.name));
        let pid = self.child.id().to_string();
        // A process that has ended gets no signal.
        let _ = process::Command::new("kill").args([signal, &pid]).status();
    }

    /// Returns the memory in use, in kB; `None` once the process has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) -> io::Result<()> {
        // The process has ended, or ends now.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log)?;
        self.record.note(&format!("{} starts again", self.name));
        Ok(())
    }

    /// Returns the record of the case.
    pub fn record(&self) -> &record::Record {
        &self.record
    }

    /// Returns the machine's name.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":8000,\"target_latency_ms\":2000,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

fn spawn(settings: &path::Path, log: &path::Path) -> io::Result<process::Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = process::Command::new(PROGRAM);
    command.args(["--metrics-port", &METRICS_PORT.to_string()]);
    command.env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command.env("ZINNIASTACK_CONFIG", settings);
    command
        .stdin(process::Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log);
    command.spawn()
}

fn address((second, third): (u8, u8), number: u8) -> net::IpAddr {
    net::IpAddr::from([127, second, third, number])
}
