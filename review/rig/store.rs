//! A stand-in of the platform's store: keys, leases, watches and transactions.
//!
//! Each machine has a listener of its own, so that the store can turn that machine away while it
//! serves the others and the operator.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head, Reader};
use crate::json::{self, Value};

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

/// Way of one machine to the store.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    /// While set, this machine gets no answer. A connection on which an answer is lost returns
    /// nothing further.
    silent: Arc<AtomicBool>,
}

impl Path {
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change as a watch tells it.
    log: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Granted>,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Granted {
    ttl: Duration,
    ends_at: Instant,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let expiring = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK_INTERVAL);
                expiring.end_leases();
            }
        });
        Self { shared }
    }

    /// Opens the way of one machine.
    pub fn open(&self, ip: IpAddr) -> Path {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let path = Path {
            address: listener.local_addr().expect("an address"),
            silent: Arc::default(),
        };
        let shared = Arc::clone(&self.shared);
        let own = path.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                let path = own.clone();
                thread::spawn(move || shared.serve(Reader::new(stream), &path));
            }
        });
        path
    }

    /// Writes as the operator. The change is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.lock();
        state.put(key, &json::base64(value.as_bytes()), 0);
        drop(state);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    fn serve(&self, mut reader: Reader, path: &Path) {
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            if path.is_silent() {
                return stall(&reader.stream);
            }
            let (status, text) = self.answer(&head, &body);
            if path.is_silent() {
                return stall(&reader.stream);
            }
            let kind = ("Content-Type", "application/json".to_owned());
            let bytes = http::answer(status, &[kind], text.as_bytes());
            if http::write(&mut reader.stream, &bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query = parse_query(query);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let last = path.rsplit('/').next().unwrap_or_default();
        let lease = last.parse().unwrap_or(0);
        match path {
            "/kv-key" => self.get(&text("key")),
            "/kv-range" => self.range(&text("prefix")),
            "/kv-watch" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("wait_ms").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(wait))
            }
            "/kv-txn" => self.transact(&json::parse(body).unwrap_or(Value::Null)),
            "/kv-lease" => self.grant(&json::parse(body).unwrap_or(Value::Null)),
            _ if path.starts_with("/kv-keep/") => self.keep(lease),
            _ if path.starts_with("/kv-lease-end/") => self.end(lease),
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        match self.lock().items.get(key) {
            Some(item) => ("200 OK", item.text(key)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str) -> (&'static str, String) {
        let state = self.lock();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = found.map(|(key, item)| item.text(key)).collect();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let found = state
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = found.map(|(_, _, text)| text.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                let text = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return ("200 OK", text);
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn transact(&self, transaction: &Value) -> (&'static str, String) {
        let mut state = self.lock();
        let expected = transaction.field("expect_rev").items();
        let holds = |wanted: &Value| {
            let item = state.items.get(wanted.field("key").text());
            item.map_or(0, |item| item.revision) == wanted.field("rev").count()
        };
        if !expected.iter().all(holds) {
            let current = expected.iter().map(|wanted| {
                let key = wanted.field("key").text();
                let item = state.items.get(key);
                item.map_or_else(
                    || format!("{{\"key\":{},\"value\":\"\",\"rev\":0}}", json::quote(key)),
                    |item| item.text(key),
                )
            });
            let items: Vec<String> = current.collect();
            let text = format!("{{\"items\":[{}]}}", items.join(","));
            return ("412 Precondition Failed", text);
        }
        let writes = transaction.field("writes").items();
        let lease_of = |write: &Value| write.field("lease").count();
        let is_granted = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
        if !writes.iter().map(lease_of).all(is_granted) {
            return ("404 Not Found", "{}".to_owned());
        }
        for write in writes {
            let key = write.field("key").text();
            state.put(key, write.field("value").text(), lease_of(write));
        }
        for key in transaction.field("delete").items() {
            state.delete(key.text());
        }
        let text = format!("{{\"rev\":{}}}", state.revision);
        drop(state);
        self.changed.notify_all();
        ("200 OK", text)
    }

    fn grant(&self, wish: &Value) -> (&'static str, String) {
        let mut state = self.lock();
        let ttl_s = wish.field("ttl_s_time").number().clamp(1.0, 600.0);
        let ttl = Duration::from_secs_f64(ttl_s);
        state.last_lease += 1;
        let lease = state.last_lease;
        let ends_at = Instant::now() + ttl;
        state.leases.insert(lease, Granted { ttl, ends_at });
        let text = format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl_s}}}");
        ("200 OK", text)
    }

    fn keep(&self, lease: u64) -> (&'static str, String) {
        match self.lock().leases.get_mut(&lease) {
            Some(granted) => {
                granted.ends_at = Instant::now() + granted.ttl;
                let text = format!("{{\"ttl_s_time\":{}}}", granted.ttl.as_secs_f64());
                ("200 OK", text)
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn end(&self, lease: u64) -> (&'static str, String) {
        let ended = self.lock().end(lease);
        self.changed.notify_all();
        match ended {
            true => ("200 OK", "{}".to_owned()),
            false => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(&lease, _)| lease).collect();
        for &lease in &ended {
            state.end(lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.log.push((revision, key.to_owned(), item.text(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let quoted = json::quote(key);
        let text = format!("{{\"key\":{quoted},\"rev\":{revision},\"deleted\":true}}");
        self.log.push((revision, key.to_owned(), text));
    }

    fn end(&mut self, lease: u64) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        let ended = self.leases.remove(&lease).is_some();
        if ended {
            keys.iter().for_each(|key| self.delete(key));
        }
        ended
    }
}

impl Item {
    fn text(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
            json::quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

/// Keeps the connection open and says nothing more on it, until the other side closes it.
fn stall(stream: &TcpStream) {
    let mut part = [0; 1024];
    let mut stream = stream;
    while std::io::Read::read(&mut stream, &mut part).is_ok_and(|count| count > 0) {}
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
