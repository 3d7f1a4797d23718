//! The platform's store: keyed logs and one consumer group, in memory.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::http;

/// The most items of a page of the newest records.
const MAX_PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Topic {
    // The contents of the records, from offset 0 on.
    records: Vec<Vec<u8>>,
    // The newest value of each key, with its offset.
    newest: collections::BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, content: &[u8]) {
        let offset = self.end();
        self.records.push(content.to_vec());
        let length = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
        let value = content[length + 1..].to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, offset));
        }
    }
}

#[derive(Default)]
struct Group {
    generation: u64,
    owner: Option<String>,
    members: collections::BTreeMap<String, time::Instant>,
}

impl Group {
    fn expire(&mut self, now: time::Instant) {
        self.members.retain(|_, until| now < *until);
        let lost = self
            .owner
            .as_ref()
            .is_some_and(|owner| !self.members.contains_key(owner));
        if lost {
            self.owner = None;
            self.generation += 1;
        }
    }

    fn join(&mut self, member: &str, ttl: time::Duration, now: time::Instant) -> bool {
        if self.members.insert(member.to_owned(), now + ttl).is_none() {
            self.generation += 1;
        }
        self.expire(now);
        let owner = self.owner.get_or_insert_with(|| member.to_owned());
        owner == member
    }
}

#[derive(Default)]
struct State {
    topics: collections::BTreeMap<String, Topic>,
    groups: collections::BTreeMap<String, Group>,
}

/// A store that serves on an address of its own.
#[derive(Clone, Default)]
pub struct Store {
    state: sync::Arc<(sync::Mutex<State>, sync::Condvar)>,
}

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start(ip: net::IpAddr) -> io::Result<(Self, net::SocketAddr)> {
        let listener = net::TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Self::default();
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(http::Connection::new(stream)));
            }
        });
        Ok((store, address))
    }

    /// Appends a record, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .append(&content);
        changed.notify_all();
    }

    fn serve(&self, mut connection: http::Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let (status, answer) = self.answer(head.target(), &body);
            if connection.respond(status, "", &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let path = target.split('?').next().unwrap_or_default();
        match path {
            "/zinniastack/log-append" => self.append(target, body),
            "/zinniastack/log-read" => self.read(target),
            "/zinniastack/log-newest" => self.newest(target),
            "/zinniastack/log-join" => self.join(body),
            "/zinniastack/log-leave" => self.leave(body),
            "/zinniastack/log-commit" | "/zinniastack/log-trim" => ("200 OK", b"{}".to_vec()),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, target: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let name = http::query(target, "topic").unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return ("403 Forbidden", Vec::new());
        }
        let at = http::query(target, "at").and_then(|at| at.parse::<u64>().ok());
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        if at.is_some_and(|at| at != offset) {
            return (
                "412 Precondition Failed",
                format!("{{\"end\":{offset}}}").into_bytes(),
            );
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            topic.append(&rest[4..4 + length]);
            rest = &rest[4 + length..];
        }
        let end = topic.end();
        changed.notify_all();
        (
            "200 OK",
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, target: &str) -> (&'static str, Vec<u8>) {
        let number = |name| http::query(target, name).and_then(|text| text.parse::<u64>().ok());
        let name = http::query(target, "topic").unwrap_or_default();
        let from = number("from").unwrap_or(0);
        let wait = time::Duration::from_millis(number("wait_ms").unwrap_or(0));
        let until = time::Instant::now() + wait;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            let end = state.topics.entry(name.to_owned()).or_default().end();
            let left = until.saturating_duration_since(time::Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let topic = &state.topics[name];
        let mut answer = topic.end().to_be_bytes().to_vec();
        answer.extend_from_slice(&0_u64.to_be_bytes());
        for content in topic.records.iter().skip(from as usize) {
            answer.extend_from_slice(&(content.len() as u32).to_be_bytes());
            answer.extend_from_slice(content);
        }
        ("200 OK", answer)
    }

    fn newest(&self, target: &str) -> (&'static str, Vec<u8>) {
        let name = http::query(target, "topic").unwrap_or_default();
        let after = http::query(target, "after")
            .unwrap_or_default()
            .replace("%2F", "/");
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let items = topic
            .newest
            .iter()
            .filter(|(key, _)| key.as_str() > after.as_str());
        let items: Vec<_> = items.collect();
        let page = items
            .iter()
            .take(MAX_PAGE_ITEMS)
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            });
        let page: Vec<_> = page.collect();
        let has_more = items.len() > MAX_PAGE_ITEMS;
        let (page, end) = (page.join(","), topic.end());
        let answer = format!("{{\"items\":[{page}],\"has_more\":{has_more},\"end\":{end}}}");
        ("200 OK", answer.into_bytes())
    }

    fn join(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let text = String::from_utf8_lossy(body);
        let member = json_text(&text, "member");
        let ttl = time::Duration::from_millis(json_number(&text, "ttl_ms"));
        let topic = json_text(&text, "topics");
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(json_text(&text, "group")).or_default();
        let owns = group.join(&member, ttl, time::Instant::now());
        let parts = if owns {
            format!("[\"{topic}\",0,0]")
        } else {
            String::new()
        };
        let generation = group.generation;
        let answer = format!("{{\"generation\":{generation},\"parts\":[{parts}]}}");
        ("200 OK", answer.into_bytes())
    }

    fn leave(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let text = String::from_utf8_lossy(body);
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(json_text(&text, "group")).or_default();
        group.members.remove(&json_text(&text, "member"));
        group.expire(time::Instant::now());
        ("200 OK", b"{}".to_vec())
    }
}

// Returns the first text after a field's name; a list of texts counts as its first one.
fn json_text(text: &str, field: &str) -> String {
    let rest = text
        .split_once(&format!("\"{field}\":"))
        .map_or("", |(_, rest)| rest);
    rest.split('"').nth(1).unwrap_or_default().to_owned()
}

fn json_number(text: &str, field: &str) -> u64 {
    let rest = text
        .split_once(&format!("\"{field}\":"))
        .map_or("", |(_, rest)| rest);
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
