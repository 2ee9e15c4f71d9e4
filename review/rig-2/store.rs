//! A stand-in of the platform's store: keys, leases, watches, outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::{Json, quoted};

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
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
    /// Deleted keys with the revision of their deletion.
    deleted: Vec<(u64, String)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    is_down: bool,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.deleted.push((self.revision, key.to_owned()));
        }
    }

    fn end_leases(&mut self, is_over: impl Fn(&Lease) -> bool) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| is_over(lease))
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.delete(&key);
            }
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<(u64, String)> {
        let mut events: Vec<(u64, String)> = self
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
            .map(|(key, item)| (item.revision, item_json(key, item)))
            .collect();
        for (revision, key) in &self.deleted {
            if *revision > after && key.starts_with(prefix) && !self.items.contains_key(key) {
                let key = quoted(key);
                let event = format!("{{\"key\":{key},\"rev\":{revision},\"deleted\":true}}");
                events.push((*revision, event));
            }
        }
        events.sort();
        events
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"rev\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        quoted(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        let store = Self {
            address,
            shared: Arc::clone(&shared),
        };
        let ticking = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = ticking.state.lock().expect("no panic");
                let now = Instant::now();
                state.end_leases(|lease| lease.ends_at <= now);
                ticking.changed.notify_all();
            }
        });
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(Conn::new(socket), &shared));
            }
        });
        store
    }

    /// Writes as the operator.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.state.lock().expect("no panic");
        state.put(key, &base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    /// Refuses every call with 503 from now on; all leases run out meanwhile.
    pub fn go_down_with_lapse(&self) {
        let mut state = self.shared.state.lock().expect("no panic");
        state.is_down = true;
        state.end_leases(|_| true);
        self.shared.changed.notify_all();
    }

    pub fn come_back(&self) {
        self.shared.state.lock().expect("no panic").is_down = false;
    }
}

fn serve(mut conn: Conn, shared: &Shared) {
    while let Ok(request) = conn.request() {
        let (status, body) = answer(&request, shared);
        let fields = "Content-Type: application/json\r\n";
        if conn.respond(status, fields, body.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(request: &Message, shared: &Shared) -> (u16, String) {
    let mut state = shared.state.lock().expect("no panic");
    if state.is_down {
        return (503, "{}".into());
    }
    let path = request.path();
    let prefix = request.query("prefix").unwrap_or_default();
    match (request.first.as_str(), path) {
        ("GET", "/kv-key") => {
            let key = request.query("key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => (200, item_json(&key, item)),
                None => (404, "{}".into()),
            }
        }
        ("GET", "/kv-range") => {
            let after = request.query("after").unwrap_or_default();
            let items: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, item)| item_json(key, item))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                items.join(","),
                state.revision
            );
            (200, body)
        }
        ("GET", "/kv-watch") => {
            let number = |name| request.query(name).and_then(|text| text.parse().ok());
            let after = number("after").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                if state.is_down {
                    return (503, "{}".into());
                }
                let events = state.events(&prefix, after);
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                    let body = format!(
                        "{{\"events\":[{}],\"current_rev\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return (200, body);
                }
                let waited = shared.changed.wait_timeout(state, left);
                state = waited.expect("no panic").0;
            }
        }
        ("POST", "/kv-txn") => {
            let answered = transact(&mut state, &request.body);
            shared.changed.notify_all();
            answered
        }
        ("POST", "/kv-lease") => {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let ttl = Json::parse(&body).and_then(|body| body.get("ttl_s_time")?.number());
            let ttl = ttl.unwrap_or(1.0).clamp(1.0, 600.0);
            state.next_lease += 1;
            let id = state.next_lease;
            let lasting = Duration::from_secs_f64(ttl);
            let lease = Lease {
                ttl: lasting,
                ends_at: Instant::now() + lasting,
            };
            state.leases.insert(id, lease);
            (200, format!("{{\"lease\":{id},\"ttl_s_time\":{ttl}}}"))
        }
        ("POST", path) if path.starts_with("/kv-keep/") => {
            let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
            match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends_at = Instant::now() + lease.ttl;
                    (
                        200,
                        format!("{{\"ttl_s_time\":{}}}", lease.ttl.as_secs_f64()),
                    )
                }
                None => (404, "{}".into()),
            }
        }
        ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
            let id: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
            if let Some(lease) = state.leases.get_mut(&id) {
                lease.ends_at = Instant::now();
            }
            let now = Instant::now();
            state.end_leases(|lease| lease.ends_at <= now);
            (200, "{}".into())
        }
        _ => (404, "{}".into()),
    }
}

fn transact(state: &mut State, body: &[u8]) -> (u16, String) {
    let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
        return (400, "{}".into());
    };
    let list = |name: &str| body.get(name).map(Json::items).unwrap_or_default();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = |value: Option<&Json>| value.and_then(Json::number).unwrap_or(0.0) as u64;
    let key_of = |row: &Json| {
        row.get("key")
            .and_then(Json::text)
            .unwrap_or_default()
            .to_owned()
    };
    let mut holds = true;
    let mut current = Vec::new();
    for row in list("expect_rev") {
        let key = key_of(row);
        let item = state.items.get(&key);
        holds &= item.map_or(0, |item| item.revision) == whole(row.get("rev"));
        current.push(item.map_or("null".to_owned(), |item| item_json(&key, item)));
    }
    if !holds {
        return (412, format!("{{\"items\":[{}]}}", current.join(",")));
    }
    let leases = list("writes").iter().map(|row| whole(row.get("lease")));
    if leases
        .into_iter()
        .any(|lease| lease > 0 && !state.leases.contains_key(&lease))
    {
        return (404, "{}".into());
    }
    for row in list("writes") {
        let value = row.get("value").and_then(Json::text).unwrap_or_default();
        state.put(&key_of(row), value, whole(row.get("lease")));
    }
    for key in list("delete") {
        state.delete(key.text().unwrap_or_default());
    }
    (200, format!("{{\"rev\":{}}}", state.revision))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for at in 0..3 {
            bits = bits << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = (bits >> (18 - 6 * at)) & 63;
            out.push(if at <= group.len() {
                char::from(DIGITS[digit as usize])
            } else {
                '='
            });
        }
    }
    out
}
