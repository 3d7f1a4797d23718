//! A small deployment on loopback addresses: the store, workers, and routers as processes of their own.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

const FRONT_PORT: u16 = 18_281;
const READY_PORT: u16 = 18_288;
const PEERS_PORT: u16 = 17_200;
const METRICS_PORT: &str = "9464";
/// The number of routers.
pub const ROUTERS: u8 = 3;
/// Each router reaches the store at an address of its own, so that the store can tell them apart.
const STORE_PORT: u16 = 18_384;
const WORKER_PORT: u16 = 18_080;

/// The bounds of `sites/coastline-orders.toml`.
const BOUNDS: &str = r#"{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"back_ms":250,"max_stretch_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":60,"recovery_s":15,"max_hold_ms":10000,"thaw_ms":300}"#;

/// One router's process.
pub struct Router {
    pub number: u8,
    child: Child,
}

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub struct Site {
    pub store: Store,
    pub record: Record,
    pub routers: Vec<Router>,
    base: [u8; 2],
    folder: PathBuf,
}

impl Site {
    /// Starts the store on an unused address.
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let id = std::process::id();
        let base = [64 + (id % 128) as u8, (id / 128 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("zinnia-review-{id}"));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        let site = Self {
            store: store.clone(),
            record: record.clone(),
            routers: Vec::new(),
            base,
            folder,
        };
        for router in 1..=ROUTERS {
            store.serve(router, site.address(200, STORE_PORT + u16::from(router)))?;
        }
        Ok(site)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [a, b] = self.base;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, last)), port)
    }

    pub fn worker_address(&self, number: u8) -> SocketAddr {
        self.address(100 + number, WORKER_PORT)
    }

    pub fn front(&self, router: u8) -> SocketAddr {
        self.address(router, FRONT_PORT)
    }

    /// Writes the operator's configuration: `stock` with keys, `orders` without.
    pub fn put_config(&self, version: u64) {
        let config = format!(
            r#"{{"version":{version},"services":[{{"name":"stock","health_path":"/health","max_conns":120,"protocol":"h1","tls":false,"use_shards":true,"warmup_s":5.0,"grants":"call"}},{{"name":"orders","health_path":"/health","max_conns":120,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"hosts":[{{"host":"desk.example","paths":[{{"name":"r-stock","path_prefix":"/stock/","kind":"safe","timeout_ms":1200,"target_latency_ms":400,"priority":1,"service":"stock","max_attempts":2}},{{"name":"r-bookings","path_prefix":"/bookings/","kind":"unsafe","timeout_ms":1200,"target_latency_ms":400,"priority":1,"service":"stock","max_attempts":2}},{{"name":"r-plans","path_prefix":"/plans/","kind":"upload","timeout_ms":8000,"target_latency_ms":4000,"priority":2,"service":"orders","max_attempts":2}},{{"name":"r-orders","path_prefix":"/orders/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":500,"priority":1,"service":"orders","max_attempts":2}}]}}]}}"#
        );
        self.store.put("keyed.op", "config", &config);
        self.record
            .line(format!("the operator writes version {version}"));
    }

    /// Starts a router with the command of the deploy file.
    pub fn start_router(&mut self, number: u8) -> std::io::Result<()> {
        let file = self.folder.join(format!("router-{number}.json"));
        let ip = self.front(number).ip();
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number - 1) % 3];
        let store = self.address(200, STORE_PORT + u16::from(number));
        let settings = format!(
            r#"{{"grants":"call","self":{{"node":"edge-{zone}-{number}","role":"entry","machine_class":"edge","serves":["edge"],"ip":"{ip}","zone":"{zone}","region":"here","count_loss":false,"bootstrap":true,"data_dir":null,"limits":{{"cpu_share":0.4,"cpus":1,"memory_mb":520,"max_fds":8200,"link_mbps":2000.0,"disk_mb":0}}}},"network":{{"listen":{{"front":"{ip}:{FRONT_PORT}","ready":"{ip}:{READY_PORT}"}},"internal_ports":[{PEERS_PORT},{}],"seeds":[],"zones":{{"zone-a":"here","zone-b":"here","zone-c":"here"}}}},"platform":{{"discovery":"platform","entry":"vip","heartbeat_ms":1500,"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":8,"append_ms":4.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"min_ttl_ms":1000}}}},"terms":{{"contracts":["base","drain","config","cost","retry","recover","own","platform"],"tolerate":{{"machines":2,"zones":1,"regions":0}},"bounds":{BOUNDS}}}}}"#,
            PEERS_PORT + 15
        );
        fs::write(&file, settings)?;
        let log = fs::File::create(self.folder.join(format!("router-{number}.log")))?;
        let child = Command::new("target/release/zinnia-router")
            .args(["--metrics-port", METRICS_PORT])
            .env("ZINNIASTACK_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("router {number} starts"));
        self.routers.push(Router { number, child });
        Ok(())
    }

    /// Kills a router (SIGKILL).
    pub fn kill_router(&mut self, number: u8) {
        let Some(index) = self.routers.iter().position(|r| r.number == number) else {
            return;
        };
        let mut router = self.routers.remove(index);
        let _ = router.child.kill();
        let _ = router.child.wait();
        self.record.line(format!("router {number} is killed"));
    }

    /// Sends SIGTERM to a router.
    pub fn stop_router(&self, number: u8) {
        if let Some(router) = self.routers.iter().find(|r| r.number == number) {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(router.child.id().cast_signed(), SIGTERM) };
            self.record.line(format!("router {number} gets SIGTERM"));
        }
    }

    /// Waits for the end of a router's process, at most for `limit`.
    pub fn wait_for_end(&mut self, number: u8, limit: Duration) {
        let until = Instant::now() + limit;
        if let Some(router) = self.routers.iter_mut().find(|r| r.number == number) {
            while Instant::now() < until && matches!(router.child.try_wait(), Ok(None)) {
                std::thread::sleep(Duration::from_millis(10));
            }
            self.record.line(format!("router {number} has ended"));
        }
    }

    pub fn is_ready(&self, number: u8) -> bool {
        let request = Message {
            method: "GET".to_owned(),
            target: "/zinniastack/readiness".to_owned(),
            ..Message::default()
        };
        let request = request.with("host", "ready");
        let limit = Duration::from_millis(500);
        let answer = http::call(self.address(number, READY_PORT), &request, limit);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until each router is ready, at most for `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            let ready = self
                .routers
                .iter()
                .all(|router| self.is_ready(router.number));
            if ready || Instant::now() >= until {
                self.record.line(format!("all routers ready: {ready}"));
                return ready;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a client's request; returns the answer's status, 0 for none.
    pub fn send(
        &self,
        router: u8,
        method: &str,
        path: &str,
        id: &str,
        key: Option<u64>,
    ) -> (u16, String) {
        let mut request = Message {
            method: method.to_owned(),
            target: path.to_owned(),
            ..Message::default()
        };
        request = request
            .with("host", "desk.example")
            .with("x-request-id", id)
            .with("x-request-deadline", 3_000);
        if let Some(key) = key {
            request = request.with("x-shard-key", key);
        }
        if method == "POST" {
            request = request.with_body("one order");
        }
        let answer = http::call(self.front(router), &request, Duration::from_secs(4));
        let (status, body) = match answer {
            Ok(answer) => (
                answer.status,
                String::from_utf8_lossy(&answer.body).into_owned(),
            ),
            Err(error) => (0, error.to_string()),
        };
        self.record.line(format!(
            "client {id} {method} {path} at router {router}: {status} {body}"
        ));
        (status, body)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.child.kill();
            let _ = router.child.wait();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(folder) => {
                let _ = fs::create_dir_all(&folder);
                for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                    let _ = fs::copy(entry.path(), PathBuf::from(&folder).join(entry.file_name()));
                }
            }
            None => {}
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
