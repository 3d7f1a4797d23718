//! Stand-ins for the platform of `zinnia-router`, for the cases of this review: the store, workers and
//! clients, with the standard library alone. The first argument names the case; the program exits with 1
//! where the rule was broken, 0 where it held, and 2 where the case could not run.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Shared<T> = Arc<Mutex<T>>;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Shared<Vec<(u128, String)>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    // The requests of the crowd, whose ids begin with "slow-", are left out: they may run more than once.
    fn note(&self, text: String) {
        if text.contains(" slow-") {
            return;
        }
        let at = self.start.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, text));
    }

    fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:9.3} ms  {text}\n", *at as f64 / 1_000.0))
            .collect();
        let _ = std::fs::write(path, text);
    }
}

/// A message's first line, headers and body.
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(known, _)| known == name);
        named.next().map(|(_, value)| value.as_str())
    }
}

/// Reads HTTP messages from a connection.
struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk)? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn message(&mut self) -> std::io::Result<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                message.body.extend(self.exactly(size)?);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.exactly(length)?;
        }
        Ok(message)
    }
}

fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let length = body.len();
    let mut text =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Returns the text of a field of a flat JSON object, without quotes.
fn field(json: &str, name: &str) -> String {
    let rest = json
        .split_once(&format!("\"{name}\":"))
        .map_or("", |(_, rest)| rest);
    let text = rest.trim_start_matches('"');
    text.chars()
        .take_while(|c| !matches!(c, '"' | ',' | '}'))
        .collect()
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
    generation: u64,
}

/// The platform's store.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn append(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message() {
            let (status, body) = self.call(&message);
            if respond(&mut output, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn call(&self, message: &Message) -> (&'static str, Vec<u8>) {
        let target = message.first.split(' ').nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let (state, changed) = &*self.state;
        match path.rsplit('/').next().unwrap_or("") {
            "log-append" => {
                thread::sleep(Duration::from_millis(4));
                let mut state = state.lock().unwrap();
                let records = state.topics.entry(topic.to_owned()).or_default();
                let offset = records.len();
                let at = query.get("at").and_then(|at| at.parse::<usize>().ok());
                if at.is_some_and(|at| at != offset) {
                    return (
                        "412 Precondition Failed",
                        format!("{{\"end\":{offset}}}").into_bytes(),
                    );
                }
                let mut body = &message.body[..];
                while body.len() >= 4 {
                    let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                    let content = &body[4..4 + length];
                    let key = usize::from(content[0]) + 1;
                    let name = String::from_utf8_lossy(&content[1..key]).into_owned();
                    records.push((name, content[key..].to_vec()));
                    body = &body[4 + length..];
                }
                let end = records.len();
                changed.notify_all();
                (
                    "200 OK",
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            "log-read" => {
                let number = |name| {
                    query
                        .get(name)
                        .and_then(|text: &&str| text.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let from = number("from") as usize;
                let until = Instant::now() + Duration::from_millis(number("wait_ms"));
                let mut state = state.lock().unwrap();
                while state.topics.get(topic).map_or(0, Vec::len) <= from && Instant::now() < until
                {
                    let left = until.saturating_duration_since(Instant::now());
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                ("200 OK", body)
            }
            "log-newest" => {
                let state = state.lock().unwrap();
                let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
                let items: Vec<_> = items
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                (
                    "200 OK",
                    format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}")
                        .into_bytes(),
                )
            }
            "log-join" => {
                let mut state = state.lock().unwrap();
                let (member, now) = (field(&text, "member"), Instant::now());
                let ttl = field(&text, "ttl_ms").parse().unwrap_or(1_000);
                state
                    .members
                    .insert(member.clone(), now + Duration::from_millis(ttl));
                state.members.retain(|_, until| *until > now);
                let is_owned = state
                    .owner
                    .as_ref()
                    .is_some_and(|owner| state.members.contains_key(owner));
                if !is_owned {
                    state.owner = Some(member.clone());
                    state.generation += 1;
                }
                let is_owner = state.owner.as_ref() == Some(&member);
                let topic = text
                    .split("\"topics\":[\"")
                    .nth(1)
                    .and_then(|rest| rest.split('"').next());
                let part = format!("[\"{}\",0,0]", topic.unwrap_or(""));
                let parts = if is_owner { part.as_str() } else { "" };
                let generation = state.generation;
                (
                    "200 OK",
                    format!("{{\"generation\":{generation},\"parts\":[{parts}]}}").into_bytes(),
                )
            }
            "log-leave" => {
                let mut state = state.lock().unwrap();
                let member = field(&text, "member");
                state.members.remove(&member);
                if state.owner.as_ref() == Some(&member) {
                    state.owner = None;
                }
                ("200 OK", b"{}".to_vec())
            }
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }
}

/// One worker. It runs a request once it has read it whole, and answers with its id and signature.
struct Worker {
    id: String,
    address: SocketAddr,
    born: u128,
    work: Duration,
    record: Record,
    runs: Shared<Vec<String>>,
}

impl Worker {
    fn start(
        id: &str,
        ip: IpAddr,
        work: Duration,
        record: &Record,
        runs: &Shared<Vec<String>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_millis());
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            born,
            work,
            record: record.clone(),
            runs: Arc::clone(runs),
        });
        let served = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&served);
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    fn entry(&self, service: &str, slots: u32, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message() {
            let request_id = message.header("x-request-id").unwrap_or("").to_owned();
            if message
                .header("x-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                let headers = format!("X-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\n");
                if respond(&mut output, "421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(request_id.clone());
            self.record.note(format!(
                "worker {} runs {request_id}: {}",
                self.id, message.first
            ));
            thread::sleep(self.work);
            let headers = format!(
                "X-Request-Id: {request_id}\r\nX-Response-Signature: {}.{request_id}\r\nKeep-Alive: timeout=10\r\n",
                self.id
            );
            if respond(
                &mut output,
                "200 OK",
                &headers,
                &answer_body(&message.first, &request_id),
            )
            .is_err()
            {
                self.record.note(format!(
                    "worker {} cannot answer {request_id}: its connection is gone",
                    self.id
                ));
                return;
            }
            self.record
                .note(format!("worker {} has answered {request_id}", self.id));
        }
    }
}

// The answer to a request: as many bytes as the last part of a path under /files/ says, or a short text.
fn answer_body(first: &str, request_id: &str) -> Vec<u8> {
    let target = first.split(' ').nth(1).unwrap_or("");
    let size = target
        .strip_prefix("/files/")
        .and_then(|rest| rest.rsplit('/').next()?.parse::<usize>().ok());
    match size {
        Some(size) => vec![b'y'; size],
        None => format!("done {request_id}").into_bytes(),
    }
}

/// A process of the router with the command of the deploy file.
struct Router {
    process: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn free_port(ip: IpAddr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Router {
    fn start(folder: &str, ip: IpAddr, store: &Store, limits: &str) -> std::io::Result<Self> {
        let (front, ready, control) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let inner = free_port(ip)?;
        let settings = format!(
            "{{\"grants\":\"call\",\"self\":{{\"node\":\"edge-bc-coast-a-1\",\"role\":\"entry\",\"machine_class\":\"edge\",\
             \"serves\":[\"edge\"],\"ip\":\"{ip}\",\"zone\":\"bc-coast-a\",\"region\":\"bc-coast\",\"count_loss\":false,\
             \"bootstrap\":true,\"data_dir\":null,\"limits\":{limits}}},\
             \"network\":{{\"listen\":{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\",\"control\":\"{ip}:{control}\"}},\
             \"internal_ports\":[{inner},{inner}],\"seeds\":[],\"zones\":{{\"bc-coast-a\":\"bc-coast\"}}}},\
             \"platform\":{{\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1500,\"platform\":{{\"address\":\"{}\",\
             \"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":8,\"append_ms\":4.0,\"part_mb_s\":20.0,\
             \"read_mb_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,\"min_ttl_ms\":1000}}}},\
             \"terms\":{{\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\",\"platform\"],\
             \"tolerate\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\
             \"stable_window_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":6,\"loss_slack_ms\":200,\
             \"config_apply_ms\":2000,\"back_ms\":250,\"max_stretch_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,\
             \"retry_slack\":60,\"recovery_s\":15,\"max_hold_ms\":10000,\"thaw_ms\":300}}}}}}",
            store.address
        );
        let path = format!("{folder}/local.json");
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(format!("{folder}/router.log"))?;
        let mut command = Command::new("target/release/zinnia-router");
        command
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("ZINNIASTACK_CONFIG", &path);
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        // The router ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let process = command.spawn()?;
        Ok(Self {
            process,
            front: (ip, front).into(),
            ready: (ip, ready).into(),
        })
    }

    fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut stream) =
                TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))
            {
                let _ =
                    stream.write_all(b"GET /zinniastack/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
                let answer = Reader::new(stream).message();
                if answer.is_ok_and(|answer| answer.first.contains(" 200 ")) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// The answers that clients got, by request id: the status, 0 for a connection that ended without one.
type Answers = Shared<BTreeMap<String, u16>>;

fn read_answer(
    stream: TcpStream,
    id: &str,
    record: &Record,
    answers: &Answers,
) -> Option<(TcpStream, bool)> {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(3_000)));
    let mut reader = Reader::new(stream);
    let answer = reader.message();
    let status = answer
        .as_ref()
        .ok()
        .and_then(|answer| answer.first.split(' ').nth(1)?.parse().ok());
    let status = status.unwrap_or(0);
    record.note(format!("client gets {status} for {id}"));
    answers.lock().unwrap().insert(id.to_owned(), status);
    let closes = answer
        .ok()?
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Some((reader.stream, !closes))
}

fn order_head(id: &str) -> String {
    format!(
        "DELETE /credit/{id} HTTP/1.1\r\nHost: returns.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 2000\r\n\r\n"
    )
}

const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

// Many clients connect within a second; each sends the first line of its request at once, and the rest after
// 2.5 s, within `header_timeout_ms`. Their requests may run more than once.
fn slow_crowd(wave: usize, front: SocketAddr, record: &Record, answers: &Answers) {
    record.note(format!("{CROWD} clients connect within a second"));
    let mut clients = Vec::new();
    for number in 0..CROWD {
        let id = format!("slow-{wave}-{number}");
        if let Ok(mut stream) = TcpStream::connect(front) {
            let head = order_head(&id).replace("DELETE /credit/", "GET /titles/");
            let (line, rest) = head.split_at(head.find('\n').unwrap_or(0) + 1);
            let _ = stream.write_all(line.as_bytes());
            clients.push((stream, id, rest.to_owned(), Instant::now()));
        }
        thread::sleep(Duration::from_micros(600));
    }
    record.note(format!("{} of them are connected", clients.len()));
    for (stream, id, rest, opened) in &mut clients {
        let due = *opened + Duration::from_millis(2_500);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        record.note(format!("client sends {id} on a slow connection"));
        let _ = stream.write_all(rest.as_bytes());
    }
    for (stream, id, ..) in clients {
        read_answer(stream, &id, record, answers);
    }
}

// Many clients connect at once and are slow with the heads of their requests, while others go on sending
// orders that must not run twice. The host refuses connections.
fn crowd(ip: IpAddr, folder: &str, record: &Record, has_trouble: bool) -> std::io::Result<bool> {
    let store = Store::start(ip)?;
    let runs: Shared<Vec<String>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..8 {
        let id = format!("i-returns-{number}");
        workers.push((
            "returns",
            Worker::start(&id, ip, Duration::from_millis(96), record, &runs)?,
        ));
        let id = format!("i-titles-{number}");
        workers.push((
            "titles",
            Worker::start(&id, ip, Duration::from_millis(5), record, &runs)?,
        ));
    }
    store.append("keyed.op", "config", &format!(
        "{{\"version\":3,\"services\":[{{\"name\":\"returns\",\"health_path\":\"/health\",\"max_conns\":120,\"protocol\":\"h1\",\
         \"tls\":false}},{{\"name\":\"titles\",\"health_path\":\"/health\",\"max_conns\":120,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{LIMITS},\"base_version\":0,\"hosts\":[{{\"host\":\"returns.example\",\"paths\":[{{\
         \"name\":\"r-titles\",\"path_prefix\":\"/titles/\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":400,\
         \"priority\":1,\"service\":\"titles\",\"max_attempts\":2}},{{\
         \"name\":\"r-credit\",\"path_prefix\":\"/credit/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":250,\
         \"priority\":0,\"service\":\"returns\",\"max_attempts\":2}}]}}]}}"
    ));
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for (service, worker) in &workers {
                beats.append(
                    "keyed.servers",
                    &worker.id,
                    &worker.entry(service, 3, "bc-coast-a", sequence),
                );
            }
            thread::sleep(Duration::from_millis(1_500));
        }
    });
    let limits = "{\"cpu_share\":0.3,\"cpus\":1,\"memory_mb\":390,\"max_fds\":6150,\"link_mbps\":1500.0,\"disk_mb\":0}";
    let router = Router::start(folder, ip, &store, limits)?;
    if !router.wait_until_ready() {
        return Err(std::io::Error::other("the router does not become ready"));
    }
    let answers = Answers::default();
    let stop = Arc::new(AtomicBool::new(false));
    let front = router.front;
    let mut clients = Vec::new();
    for client in 0..12 {
        let (record, answers, stop) = (record.clone(), Arc::clone(&answers), Arc::clone(&stop));
        clients.push(thread::spawn(move || {
            let mut kept = None;
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("kept-{client}-{number}");
                let stream = kept.take().or_else(|| TcpStream::connect(front).ok());
                if let Some(mut stream) = stream {
                    record.note(format!("client sends {id} on a kept connection"));
                    let _ = stream.write_all(order_head(&id).as_bytes());
                    kept = read_answer(stream, &id, &record, &answers)
                        .filter(|kept| kept.1)
                        .map(|kept| kept.0);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let sent = AtomicU64::new(0);
    let began = Instant::now();
    let fresh = {
        let (record, answers, stop) = (record.clone(), Arc::clone(&answers), Arc::clone(&stop));
        thread::spawn(move || {
            let mut readers = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let id = format!("fresh-{}", sent.fetch_add(1, Ordering::Relaxed));
                let (record, answers) = (record.clone(), Arc::clone(&answers));
                readers.push(thread::spawn(move || {
                    let Ok(mut stream) = TcpStream::connect(front) else {
                        return;
                    };
                    record.note(format!("client sends {id} on a new connection"));
                    let _ = stream.write_all(order_head(&id).as_bytes());
                    read_answer(stream, &id, &record, &answers);
                }));
                thread::sleep(Duration::from_millis(25));
            }
            for reader in readers {
                let _ = reader.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    for wave in 0..if has_trouble { WAVES } else { 0 } {
        slow_crowd(wave, front, record, &answers);
    }
    thread::sleep((began + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = fresh.join();
    thread::sleep(Duration::from_millis(500));
    let ran: BTreeSet<String> = runs.lock().unwrap().iter().cloned().collect();
    let answers = answers.lock().unwrap();
    let broken = answers.iter().filter(|(id, _)| !id.starts_with("slow"));
    let broken = broken.filter(|(id, status)| PROMISES.contains(status) && ran.contains(*id));
    let broken: Vec<_> = broken.collect();
    let refused = answers
        .values()
        .filter(|status| PROMISES.contains(status))
        .count();
    record.note(format!(
        "{} requests answered, {} with 200, {refused} with a status that promises that nothing ran, of which {} ran",
        answers.len(),
        answers.values().filter(|status| **status == 200).count(),
        broken.len()
    ));
    for (id, status) in &broken {
        record.note(format!(
            "BROKEN {id}: answered {status}, and a worker ran it"
        ));
    }
    Ok(!broken.is_empty())
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

// Connects as over an Ethernet: with segments of 1,448 bytes, and a receive buffer of 16 KiB.
fn connect_slowly(address: SocketAddr) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(std::io::Error::other("not an IPv4 address"));
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&2_u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let (segment, buffer) = (1_448, 16_384);
        if setsockopt(descriptor, 6, 2, &segment, 4) != 0
            || setsockopt(descriptor, 1, 8, &buffer, 4) != 0
        {
            return Err(std::io::Error::last_os_error());
        }
        if connect(descriptor, raw.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// The size of the smallest answer in the case `slow-readers`, in bytes; each further client gets
/// `FILE_STEP_BYTES` more.
const FILE_BYTES: usize = 2_650_000;
const FILE_STEP_BYTES: usize = 100_000;
const FILE_CLIENTS: usize = 4;
/// How fast each client reads, in bytes a second.
const READ_RATE: f64 = 500_000.0;
/// How long clients wait, and the route's time-out, in milliseconds.
const FILE_DEADLINE_MS: u64 = 10_000;

// Reads an answer at `READ_RATE`; returns how many bytes of its body arrived, and when the connection ended.
fn read_slowly(mut stream: TcpStream, expected: usize) -> (usize, Duration) {
    let began = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(FILE_DEADLINE_MS)));
    let mut received = Vec::new();
    let mut chunk = vec![0; 16_384];
    let body = |received: &[u8]| {
        let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        end.map_or(0, |end| received.len() - end - 4)
    };
    while let Ok(count) = stream.read(&mut chunk) {
        if count == 0 {
            break;
        }
        received.extend_from_slice(&chunk[..count]);
        if received.len() > expected && body(&received) >= expected {
            break;
        }
        let due = Duration::from_secs_f64(received.len() as f64 / READ_RATE);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
    (body(&received), began.elapsed())
}

// A host gets SIGTERM while clients read answers that their worker has already given.
fn slow_readers(
    ip: IpAddr,
    folder: &str,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<bool> {
    let store = Store::start(ip)?;
    let runs: Shared<Vec<String>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..3 {
        workers.push(Worker::start(
            &format!("i-returns-{number}"),
            ip,
            Duration::from_millis(140),
            record,
            &runs,
        )?);
    }
    store.append("keyed.op", "config", &format!(
        "{{\"version\":3,\"services\":[{{\"name\":\"returns\",\"health_path\":\"/health\",\"max_conns\":120,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{LIMITS},\"base_version\":0,\"hosts\":[{{\"host\":\"returns.example\",\"paths\":[{{\
         \"name\":\"r-files\",\"path_prefix\":\"/files/\",\"kind\":\"safe\",\"timeout_ms\":{FILE_DEADLINE_MS},\
         \"target_latency_ms\":4000,\"priority\":2,\"service\":\"returns\",\"max_attempts\":2}}]}}]}}"
    ));
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for worker in &workers {
                beats.append(
                    "keyed.servers",
                    &worker.id,
                    &worker.entry("returns", 3, "bc-coast-a", sequence),
                );
            }
            thread::sleep(Duration::from_millis(1_500));
        }
    });
    let limits = "{\"cpu_share\":0.26,\"cpus\":1,\"memory_mb\":411,\"max_fds\":10543,\"link_mbps\":10,\"disk_mb\":0}";
    let mut router = Router::start(folder, ip, &store, limits)?;
    if !router.wait_until_ready() {
        return Err(std::io::Error::other("the router does not become ready"));
    }
    let mut clients = Vec::new();
    for number in 0..FILE_CLIENTS {
        let (record, front) = (record.clone(), router.front);
        clients.push(thread::spawn(move || -> std::io::Result<(String, usize, usize, Duration)> {
            let id = format!("file-{number}");
            let size = FILE_BYTES + number * FILE_STEP_BYTES;
            let mut stream = connect_slowly(front)?;
            let head = format!(
                "GET /files/{number}/{size} HTTP/1.1\r\nHost: returns.example\r\nX-Request-Id: {id}\r\n\
                 X-Request-Deadline: {FILE_DEADLINE_MS}\r\n\r\n"
            );
            record.note(format!("client sends {id}"));
            stream.write_all(head.as_bytes())?;
            let (count, elapsed) = read_slowly(stream, size);
            record.note(format!(
                "client has {count} of {size} bytes of {id} after {} ms, when its connection ends",
                elapsed.as_millis()
            ));
            Ok((id, size, count, elapsed))
        }));
    }
    thread::sleep(Duration::from_millis(600));
    if has_trouble {
        record.note("SIGTERM to the router".to_owned());
        let began = Instant::now();
        let process = router.process.id() as i32;
        if unsafe { kill(process, SIGTERM) } != 0 {
            return Err(std::io::Error::last_os_error());
        }
        while router.process.try_wait()?.is_none() && began.elapsed() < Duration::from_secs(6) {
            thread::sleep(Duration::from_millis(10));
        }
        record.note(format!(
            "the router has ended {} ms after it, of 6,000",
            began.elapsed().as_millis()
        ));
    }
    let mut cut = 0;
    for client in clients {
        let ended = client
            .join()
            .map_err(|_| std::io::Error::other("a client failed"))?;
        let (id, size, count, elapsed) = ended?;
        let answered = format!("has answered {id}");
        let is_answered = record
            .lines
            .lock()
            .unwrap()
            .iter()
            .any(|(_, line)| line.ends_with(&answered));
        let is_in_time = elapsed < Duration::from_millis(FILE_DEADLINE_MS);
        if count < size && is_answered && is_in_time {
            record.note(format!(
                "BROKEN {id}: its worker had answered, {} bytes are lost",
                size - count
            ));
            cut += 1;
        }
    }
    Ok(cut > 0)
}

/// The clients that connect at once.
const CROWD: usize = 1_400;
/// How often they do so.
const WAVES: usize = 3;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let id = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + (id[1] & 63), id[2], id[3].max(2)));
    let record = Record::new();
    let result = match case.as_str() {
        "slow-readers" => slow_readers(ip, folder, &record, has_trouble),
        "crowd" => crowd(ip, folder, &record, has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    let code = match &result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            2
        }
    };
    record.note(format!("exit {code}"));
    record.write(path);
    std::process::exit(code);
}
