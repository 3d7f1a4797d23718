//! The platform's store: keyed topics, conditional appends, waiting reads and one group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// The most items of one page of `log-newest` (PROTOCOL.md).
pub const PAGE_ITEMS: usize = 500;
/// The topic of the workers' entries.
pub const SERVERS: &str = "keyed.servers";
/// The routers' own topic of the assignment table.
pub const ASSIGNMENTS: &str = "keyed.zinnia-book";

#[derive(Clone)]
struct Record {
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Record>,
    // The offset of the newest record of each key that has a value.
    newest: BTreeMap<String, usize>,
}

#[derive(Default)]
struct Group {
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
    generation: u64,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    group: Group,
    // Topics whose partition is down: calls about it are answered with 503.
    down: BTreeSet<String>,
    // The end of what each caller was given of the list of workers.
    given: BTreeMap<u8, usize>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Appends a record as the operator and the workers do; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.append(key.as_bytes().to_vec(), value.as_bytes().to_vec());
        self.state.1.notify_all();
    }

    /// Serves one caller on an address of its own.
    pub fn serve(&self, caller: u8, address: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        http::serve(
            address,
            Arc::new(move |request| Some(store.answer(caller, request))),
        )?;
        Ok(())
    }

    /// Takes the partition of a topic down, or brings it back.
    pub fn set_down(&self, topic: &str, is_down: bool) {
        let mut state = self.lock();
        if is_down {
            state.down.insert(topic.to_owned());
        } else {
            state.down.remove(topic);
        }
        self.state.1.notify_all();
    }

    /// The number of records of a topic.
    pub fn end(&self, topic: &str) -> usize {
        self.lock()
            .topics
            .get(topic)
            .map_or(0, |topic| topic.records.len())
    }

    /// The end of what a caller was given of the list of workers.
    pub fn given(&self, caller: u8) -> usize {
        self.lock().given.get(&caller).copied().unwrap_or(0)
    }

    fn is_down(&self, request: &Message) -> bool {
        let topic = request.query("topic").unwrap_or_default();
        self.lock().down.contains(&topic)
    }

    fn answer(&self, caller: u8, request: &Message) -> Message {
        match request.path() {
            _ if self.is_down(request) => Message::response(503),
            "/zinniastack/log-append" => self.append(request),
            "/zinniastack/log-read" => self.read(caller, request),
            "/zinniastack/log-newest" => self.newest(request),
            "/zinniastack/log-join" => self.join(request),
            "/zinniastack/log-leave" => self.leave(request),
            _ => Message::response(404),
        }
    }

    fn append(&self, request: &Message) -> Message {
        let name = request.query("topic").unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return Message::response(403);
        }
        let Some(records) = decode(&request.body) else {
            return Message::response(400);
        };
        let mut state = self.lock();
        let topic = state.topics.entry(name).or_default();
        let end = topic.records.len();
        let at = request.query("at").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != end) {
            return json(412, format!("{{\"end\":{end}}}"));
        }
        for (key, value) in records {
            topic.append(key, value);
        }
        let body = format!("{{\"offset\":{end},\"end\":{}}}", topic.records.len());
        self.state.1.notify_all();
        json(200, body)
    }

    fn read(&self, caller: u8, request: &Message) -> Message {
        let name = request.query("topic").unwrap_or_default();
        let from = request
            .query("from")
            .and_then(|v| v.parse::<usize>().ok())
            .unwrap_or(0);
        let wait = request
            .query("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            if state.down.contains(&name) {
                return Message::response(503);
            }
            let topic = state.topics.entry(name.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let (end, body) = (topic.records.len(), topic.encode_from(from));
                if name == SERVERS {
                    state.given.insert(caller, end);
                }
                return Message::response(200).with_body(body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Message) -> Message {
        let name = request.query("topic").unwrap_or_default();
        let after = request.query("after");
        let mut state = self.lock();
        let topic = state.topics.entry(name).or_default();
        let later = topic.newest.iter();
        let later = later.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<_> = later
            .map(|(key, offset)| {
                let value = base64(&topic.records[*offset].value);
                let key = quote(key);
                format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let page = &items[..items.len().min(PAGE_ITEMS)];
        let has_more = page.len() < items.len();
        let end = topic.records.len();
        let items = page.join(",");
        json(
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}"),
        )
    }

    fn join(&self, request: &Message) -> Message {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let member = text_field(&body, "member").unwrap_or_default();
        let ttl = number_field(&body, "ttl_ms").unwrap_or(1_000);
        let now = Instant::now();
        let mut state = self.lock();
        let group = &mut state.group;
        group
            .members
            .insert(member.clone(), now + Duration::from_millis(ttl));
        group.members.retain(|_, until| now < *until);
        let owner_left = group
            .owner
            .as_ref()
            .is_none_or(|o| !group.members.contains_key(o));
        if owner_left {
            group.generation += 1;
            group.owner = group.members.keys().next().cloned();
        }
        let parts = if group.owner.as_ref() == Some(&member) {
            "[\"keyed.zinnia-book\",0,0]"
        } else {
            ""
        };
        json(
            200,
            format!(
                "{{\"generation\":{},\"ttl_ms\":{ttl},\"parts\":[{parts}]}}",
                group.generation
            ),
        )
    }

    fn leave(&self, request: &Message) -> Message {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let member = text_field(&body, "member").unwrap_or_default();
        let mut state = self.lock();
        state.group.members.remove(&member);
        json(200, "{}".to_owned())
    }
}

impl Topic {
    fn append(&mut self, key: Vec<u8>, value: Vec<u8>) {
        let text = String::from_utf8_lossy(&key).into_owned();
        if value.is_empty() {
            self.newest.remove(&text);
        } else {
            self.newest.insert(text, self.records.len());
        }
        self.records.push(Record { key, value });
    }

    // The end, the first offset that is kept, and the records.
    fn encode_from(&self, from: usize) -> Vec<u8> {
        let mut body = (self.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in self.records.iter().skip(from) {
            let length = 1 + record.key.len() + record.value.len();
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(record.key.len() as u8);
            body.extend_from_slice(&record.key);
            body.extend_from_slice(&record.value);
        }
        body
    }
}

fn json(status: u16, body: String) -> Message {
    Message::response(status)
        .with("content-type", "application/json")
        .with_body(body)
}

// The keys and values of the records of an append.
fn decode(body: &[u8]) -> Option<Vec<(Vec<u8>, Vec<u8>)>> {
    let mut records = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (length, after) = rest.split_first_chunk::<4>()?;
        let (content, after) = after.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (key_length, content) = content.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*key_length))?;
        records.push((key.to_vec(), value.to_vec()));
        rest = after;
    }
    Some(records)
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => quoted.extend(['\\', letter]),
            letter if u32::from(letter) < 32 => {
                quoted.push_str(&format!("\\u{:04x}", u32::from(letter)))
            }
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    text
}

/// The value of a field that holds a string without escapes.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

/// The value of a field that holds a whole number.
pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
