//! Stand-in of an application server (upstream) beside a node.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::{Event, Record};

/// Time between two check-ins (`heartbeat_s`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Requests that wait for a slot.
const QUEUE: usize = 36;
/// How often it says that it leaves.
const FAREWELLS: usize = 3;

/// What a server is.
#[derive(Clone)]
pub struct Settings {
    pub process: String,
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddr,
    /// Where it checks in.
    pub admin: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// How many times as long work takes while it is cold.
    pub cold_factor: f64,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    settings: Settings,
    record: Record,
    born_ms: u128,
    sequence: AtomicU64,
    slots: Mutex<Slots>,
    freed: Condvar,
    cold_until: Mutex<Instant>,
    /// Time that a check-in is under way, in milliseconds.
    check_in_delay_ms: AtomicU64,
    /// Whether answers may be followed by an extra response.
    sends_extra: AtomicBool,
    /// An answer of so many is followed by one.
    extra_each: AtomicU32,
    answers: AtomicU32,
    is_leaving: AtomicBool,
}

/// A check-in that is under way.
pub struct CheckIn {
    admin: SocketAddr,
    request: Vec<u8>,
}

impl CheckIn {
    /// It arrives. Returns the status of the answer, zero for none.
    pub fn arrive(&self) -> u16 {
        let answer = http::exchange(self.admin, &self.request, Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status())
    }
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

impl Server {
    pub fn start(settings: Settings, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.address)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            settings,
            record: record.clone(),
            born_ms: since.unwrap_or_default().as_millis(),
            sequence: AtomicU64::new(0),
            slots: Mutex::default(),
            freed: Condvar::new(),
            cold_until: Mutex::new(Instant::now()),
            check_in_delay_ms: AtomicU64::new(0),
            sends_extra: AtomicBool::new(false),
            extra_each: AtomicU32::new(1),
            answers: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
        });
        let serving = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&serving);
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        let checking_in = Arc::clone(&shared);
        std::thread::spawn(move || checking_in.check_in());
        Ok(Self { shared })
    }

    /// The server becomes cold for `time`.
    pub fn become_cold(&self, time: Duration) {
        *lock(&self.shared.cold_until) = Instant::now() + time;
    }

    /// Check-ins that are sent from now on arrive so much later.
    pub fn delay_check_ins(&self, time: Duration) {
        self.shared
            .check_in_delay_ms
            .store(millis(time), Ordering::SeqCst);
    }

    /// A check-in of this moment, which arrives later.
    pub fn late_check_in(&self) -> CheckIn {
        CheckIn {
            admin: self.shared.settings.admin,
            request: self.shared.check_in_request(),
        }
    }

    /// The server says that it leaves, until it is acknowledged, and serves on. It checks in no more, and
    /// its health responses say that it isn't well. Returns whether it was acknowledged.
    pub fn leave(&self) -> bool {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
        let Settings { process, admin, .. } = &self.shared.settings;
        let start = format!("DELETE /instances/{process} HTTP/1.1");
        let host = admin.to_string();
        let fields = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        let body = format!(r#"{{"born":{}}}"#, self.shared.born_ms);
        let request = http::bytes(&start, &fields, body.as_bytes());
        (0..FAREWELLS).any(|_| {
            let answer = http::exchange(*admin, &request, Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// From now on, one of `each` answers is followed by an extra response; none for zero.
    pub fn send_extra(&self, each: u32) {
        self.shared.extra_each.store(each.max(1), Ordering::SeqCst);
        self.shared.sends_extra.store(each > 0, Ordering::SeqCst);
    }
}

impl Shared {
    fn serve(&self, stream: TcpStream) {
        // An error means that the other side has gone.
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read(&mut reader) {
            if request.target().starts_with("/healthz") {
                if writer.write_all(&self.health()).is_err() {
                    return;
                }
                continue;
            }
            // It arrives where the next response is expected.
            if let Some(extra) = extra.take() {
                let id = request.field("x-attempt-id").unwrap_or_default();
                self.record.note(format!(
                    "{} sends the extra response of the request before; {id} is under way on that connection",
                    self.settings.process
                ));
                if writer.write_all(&extra).is_err() {
                    return;
                }
            }
            let answer = self.handle(&request);
            if writer.write_all(&answer).is_err() {
                return;
            }
            extra = self.extra();
        }
    }

    /// A refusal as the pages print it, with nothing that names a request.
    fn extra(&self) -> Option<Vec<u8>> {
        let is_due = self.sends_extra.load(Ordering::SeqCst)
            && self.answers.fetch_add(1, Ordering::SeqCst) % self.extra_each.load(Ordering::SeqCst)
                == 0;
        is_due.then(|| {
            http::bytes(
                "HTTP/1.1 503 Service Unavailable",
                &[("X-Not-Run", "1")],
                b"",
            )
        })
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let process = &self.settings.process;
        let id = request.field("x-attempt-id").unwrap_or_default().to_owned();
        let server = process.clone();
        self.record.add(Event::Arrived {
            id: id.clone(),
            server: server.clone(),
        });
        if id.is_empty() {
            return self.refuse(&id, 400);
        }
        if request
            .field("x-expect-instance")
            .is_some_and(|expected| expected != process)
        {
            return self.refuse(&id, 421);
        }
        if !self.take_slot() {
            return self.refuse(&id, 503);
        }
        let named = |field| request.field(field).unwrap_or_default().to_owned();
        self.record.add(Event::Run {
            id: id.clone(),
            server,
            tenant: named("x-tenant"),
            caller: named("x-caller"),
        });
        let factor = if self.cold_left().is_zero() {
            1.0
        } else {
            self.settings.cold_factor
        };
        std::thread::sleep(self.settings.work.mul_f64(factor));
        self.free_slot();
        let fields = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Response-Sig", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Load", &self.load()),
        ];
        http::bytes("HTTP/1.1 200 OK", &fields, format!("done {id}").as_bytes())
    }

    fn refuse(&self, id: &str, status: u16) -> Vec<u8> {
        self.record.add(Event::NotRun {
            id: id.to_owned(),
            server: self.settings.process.clone(),
            status,
        });
        let start = format!("HTTP/1.1 {status} Refused");
        let fields = [
            ("X-Attempt-Id", id),
            ("X-Not-Run", "1"),
            ("X-Instance", &self.settings.process),
        ];
        http::bytes(&start, &fields, b"")
    }

    /// Waits for a slot; false if too many wait already.
    fn take_slot(&self) -> bool {
        let mut slots = lock(&self.slots);
        if slots.running >= self.settings.slots && slots.waiting >= QUEUE {
            return false;
        }
        slots.waiting += 1;
        while slots.running >= self.settings.slots {
            slots = self
                .freed
                .wait(slots)
                .unwrap_or_else(PoisonError::into_inner);
        }
        slots.waiting -= 1;
        slots.running += 1;
        true
    }

    fn free_slot(&self) {
        lock(&self.slots).running -= 1;
        self.freed.notify_one();
    }

    fn load(&self) -> String {
        let slots = lock(&self.slots);
        format!(
            "{},{},{}",
            slots.running, slots.waiting, self.settings.slots
        )
    }

    fn cold_left(&self) -> Duration {
        lock(&self.cold_until).saturating_duration_since(Instant::now())
    }

    fn health(&self) -> Vec<u8> {
        let cold_ms = self.cold_left().as_millis().to_string();
        let fields = [
            ("X-Instance", self.settings.process.as_str()),
            ("X-Load", &self.load()),
            ("X-Cold-Ms", &cold_ms),
        ];
        let start = if self.is_leaving.load(Ordering::SeqCst) {
            "HTTP/1.1 503 Leaving"
        } else {
            "HTTP/1.1 200 OK"
        };
        http::bytes(start, &fields, b"")
    }

    fn check_in(self: Arc<Self>) {
        while !self.is_leaving.load(Ordering::SeqCst) {
            let request = self.check_in_request();
            let delay = Duration::from_millis(self.check_in_delay_ms.load(Ordering::SeqCst));
            let sender = Arc::clone(&self);
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                if !delay.is_zero() {
                    let process = &sender.settings.process;
                    let late = delay.as_secs_f64();
                    sender
                        .record
                        .note(format!("a check-in of {process} arrives {late} s late"));
                }
                // Without an acknowledgement, the next check-in says the same.
                let _ = http::exchange(sender.settings.admin, &request, Duration::from_secs(1));
            });
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// A check-in of this moment.
    fn check_in_request(&self) -> Vec<u8> {
        let Settings {
            process,
            service,
            zone,
            address,
            slots,
            ..
        } = &self.settings;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold_s = self.cold_left().as_secs_f64();
        let born = self.born_ms;
        let body = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","warmup_s_time":{cold_s:.3},"seq":{sequence},"born":{born}}}"#
        );
        let start = format!("PUT /instances/{process} HTTP/1.1");
        let host = self.settings.admin.to_string();
        let fields = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        http::bytes(&start, &fields, body.as_bytes())
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
