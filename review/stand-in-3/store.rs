//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Value};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time between two looks for leases that have ended.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    is_down: AtomicBool,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    text: String,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let text = self.item_text(key, &item);
        self.items.insert(key.to_owned(), item);
        self.remember(key, text);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let text = format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#);
            self.remember(key, text);
        }
    }

    fn remember(&mut self, key: &str, text: String) {
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            text,
        });
    }

    fn item_text(&self, key: &str, item: &Item) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = item;
        format!(
            r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":{created},"lease":{lease}}}"#
        )
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

impl Store {
    /// Starts a store on this loopback address.
    pub fn start(ip: std::net::Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        store.lock().revision = 1;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let ending = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LEASE_CHECK_INTERVAL);
                ending.end_leases();
            }
        });
        Ok(store)
    }

    /// The operator writes a record.
    pub fn operate(&self, key: &str, text: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(text.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    /// From now on all calls get 503, and all leases run out.
    pub fn go_down(&self) {
        self.shared.is_down.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        self.shared.changed.notify_all();
    }

    pub fn come_back(&self) {
        self.shared.is_down.store(false, Ordering::SeqCst);
    }

    fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            state.end_lease(lease);
        }
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        // An error means that the other side has gone.
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let start = format!("HTTP/1.1 {status} Answer");
            let fields = [("Content-Type", "application/json")];
            if writer
                .write_all(&http::bytes(&start, &fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.is_down() {
            return unavailable();
        }
        let path = request.target().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/kv-key") => self.get(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&json::parse(&request.body)),
            ("POST", "/kv-lease") => self.grant(&json::parse(&request.body)),
            ("POST", keep) if keep.starts_with("/kv-keep/") => self.keep(keep),
            ("DELETE", end) if end.starts_with("/kv-lease-end/") => {
                let mut state = self.lock();
                state.end_lease(last_number(end));
                self.shared.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, request: &Message) -> (u16, String) {
        let key = request.parameter("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => (200, state.item_text(&key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let state = self.lock();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<String> = items
            .map(|(key, item)| state.item_text(key, item))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            if self.is_down() {
                return unavailable();
            }
            let changes = state
                .history
                .iter()
                .filter(|change| change.revision > after);
            let changes = changes.filter(|change| change.key.starts_with(&prefix));
            let events: Vec<&str> = changes.map(|change| change.text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#),
                );
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, call: &Value) -> (u16, String) {
        let mut state = self.lock();
        let expected = call.get("expect_rev").list();
        let is_met = |row: &Value| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("rev").number() as u64
        };
        if !expected.iter().all(is_met) {
            let current = expected.iter().map(|row| {
                let key = row.get("key").text();
                let item = state.items.get(key);
                item.map_or_else(|| "null".to_owned(), |item| state.item_text(key, item))
            });
            let items: Vec<String> = current.collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let writes = call.get("writes").list();
        let lease = |write: &Value| write.get("lease").number() as u64;
        let is_held = |write: &Value| lease(write) == 0 || state.leases.contains_key(&lease(write));
        if !writes.iter().all(is_held) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for write in writes {
            let value = write.get("value").text().to_owned();
            state.put(write.get("key").text(), value, lease(write));
        }
        for key in call.get("delete").list() {
            state.delete(key.text());
        }
        self.shared.changed.notify_all();
        (200, format!(r#"{{"rev":{}}}"#, state.revision))
    }

    fn grant(&self, call: &Value) -> (u16, String) {
        let seconds = call.get("ttl_s_time").number().clamp(1.0, 600.0);
        let ttl = Duration::from_secs_f64(seconds);
        let mut state = self.lock();
        state.last_lease += 1;
        let lease = state.last_lease;
        let ends_at = Instant::now() + ttl;
        state.leases.insert(lease, Lease { ttl, ends_at });
        (
            200,
            format!(r#"{{"lease":{lease},"ttl_s_time":{seconds}}}"#),
        )
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&last_number(path)) else {
            return (404, "{}".to_owned());
        };
        lease.ends_at = Instant::now() + lease.ttl;
        (
            200,
            format!(r#"{{"ttl_s_time":{}}}"#, lease.ttl.as_secs_f64()),
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn unavailable() -> (u16, String) {
    (503, "{}".to_owned())
}

fn last_number(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or_default();
    last.parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    text
}
