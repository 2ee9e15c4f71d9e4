//! A stand-in of an upstream.
//!
//! It runs each request for the milliseconds in the second segment of its path, and answers with
//! its signature. It checks in at the node beside it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head, Reader};
use crate::record::Record;

/// Time between two check-ins.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(1_500);
const SLOTS: u32 = 9;
const HEALTH: &str = "/healthz";
/// Answers in 100 that are given twice, at most.
const COPY_PERCENT: u64 = 3;

/// What an upstream is told at its start.
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Where it checks in.
    pub admin: SocketAddr,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub service: String,
    pub zone: String,
    /// Since the start of the script.
    pub at: Duration,
}

/// A running upstream.
pub struct Upstream {
    settings: Settings,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    running: AtomicU64,
    sequence: AtomicU64,
    born_ms: u128,
    /// It has said farewell: it checks in no more, and its health endpoint says 503.
    has_left: AtomicBool,
    /// The health endpoint says 503 though requests are served well.
    says_ill: AtomicBool,
    /// The health endpoint answers with bytes that never end.
    is_endless: AtomicBool,
    /// Some health answers are given twice, the second time late.
    gives_twice: AtomicBool,
    /// Answers given since that began, and second copies of them.
    answers: AtomicU64,
    copies: AtomicU64,
}

impl Upstream {
    pub fn start(settings: Settings, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Arc<Self> {
        let listener = TcpListener::bind(settings.address).expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let upstream = Arc::new(Self {
            settings,
            record: record.clone(),
            runs: Arc::clone(runs),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            born_ms: born.map_or(0, |born| born.as_millis()),
            has_left: AtomicBool::new(false),
            says_ill: AtomicBool::new(false),
            is_endless: AtomicBool::new(false),
            gives_twice: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            copies: AtomicU64::new(0),
        });
        let serving = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&serving);
                thread::spawn(move || upstream.serve(Reader::new(stream)));
            }
        });
        let checking_in = Arc::clone(&upstream);
        thread::spawn(move || {
            while !checking_in.has_left.load(Ordering::SeqCst) {
                checking_in.sequence.fetch_add(1, Ordering::SeqCst);
                let _ = checking_in.say("PUT", &checking_in.last_check_in());
                thread::sleep(CHECK_IN_INTERVAL);
            }
        });
        upstream
    }

    pub fn set_ill(&self, ill: bool) {
        self.says_ill.store(ill, Ordering::SeqCst);
    }

    pub fn set_endless(&self, endless: bool) {
        self.is_endless.store(endless, Ordering::SeqCst);
    }

    /// From now on a share of the answers is given twice, or none.
    pub fn set_gives_twice(&self, twice: bool) {
        self.gives_twice.store(twice, Ordering::SeqCst);
    }

    /// Answers given while some were given twice, and how many were.
    pub fn copied(&self) -> (u64, u64) {
        let answers = self.answers.load(Ordering::SeqCst);
        (answers, self.copies.load(Ordering::SeqCst))
    }

    /// Whether one more answer may be given twice: at most `COPY_PERCENT` in 100 are.
    fn is_given_twice(&self, head: &Head) -> bool {
        if !self.gives_twice.load(Ordering::SeqCst) {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let copies = self.copies.load(Ordering::SeqCst);
        let is_due = head.target() == HEALTH && (copies + 1) * 100 <= answers * COPY_PERCENT;
        if is_due {
            self.copies.fetch_add(1, Ordering::SeqCst);
        }
        is_due
    }

    fn serve(&self, mut reader: Reader) {
        // Second copy of the last answer on this connection; it leaves late.
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(head)) = reader.head() {
            let Ok(_) = reader.body(&head, false) else {
                return;
            };
            if let Some(copy) = late_copy.take() {
                let first = String::from_utf8_lossy(&copy);
                let first = first.lines().next().unwrap_or_default().to_owned();
                self.line(&format!(
                    "late second copy of its last answer ({first}) as {} {} arrives",
                    head.target(),
                    attempt(&head)
                ));
                if http::write(&mut reader.stream, &copy).is_err() {
                    return;
                }
            }
            if head.target() == HEALTH && self.is_endless.load(Ordering::SeqCst) {
                return self.answer_without_end(reader.stream);
            }
            let answer = self.answer(&head);
            if http::write(&mut reader.stream, &answer).is_err() {
                return;
            }
            late_copy = self.is_given_twice(&head).then_some(answer);
        }
    }

    fn answer(&self, head: &Head) -> Vec<u8> {
        let running = self.running.load(Ordering::SeqCst);
        let load = ("X-Load", format!("{running},0,{SLOTS},100"));
        let own = ("X-Instance", self.settings.id.clone());
        if head.target() == HEALTH {
            let is_off = [&self.says_ill, &self.has_left];
            let status = match is_off.iter().any(|state| state.load(Ordering::SeqCst)) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return http::answer(status, &[own, load], b"");
        }
        let expected = head.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.settings.id) {
            let not_run = ("X-Not-Run", "1".to_owned());
            return http::answer("421 Misdirected Request", &[own, not_run], b"");
        }
        self.run(head);
        let id = ("X-Attempt-Id", attempt(head).to_owned());
        let signature = ("X-Response-Sig", format!("sig-{}", attempt(head)));
        let body = format!("{} ran {}", self.settings.id, attempt(head));
        http::answer("200 OK", &[id, signature, load], body.as_bytes())
    }

    /// Sends bytes until the caller closes, or the trouble is over.
    fn answer_without_end(&self, mut stream: TcpStream) {
        let part = [b'x'; 64 * 1024];
        let mut bytes = 0;
        let mut sent = http::write(&mut stream, b"HTTP/1.1 200 OK\r\n\r\n");
        while sent.is_ok() && self.is_endless.load(Ordering::SeqCst) {
            sent = http::write(&mut stream, &part);
            bytes += part.len();
        }
        self.line(&format!("has sent {bytes} bytes from its health endpoint"));
    }

    fn run(&self, head: &Head) {
        let path = head.target();
        let work = path.split('/').nth(2).and_then(|text| text.parse().ok());
        let work = Duration::from_millis(work.unwrap_or(0));
        let caller = head.get("x-caller").unwrap_or_default();
        let left = head.get("x-deadline-ms").unwrap_or_default();
        self.line(&format!(
            "runs {path} {} of {caller}, {left} ms left",
            attempt(head)
        ));
        self.runs.lock().expect("no panic").push(Run {
            attempt: attempt(head).to_owned(),
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            at: self.record.now(),
        });
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.line(&format!("has run {}", attempt(head)));
    }

    /// Body of its last check-in.
    pub fn last_check_in(&self) -> String {
        let Settings {
            service,
            zone,
            address,
            ..
        } = &self.settings;
        let sequence = self.sequence.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"warmup_s_time\":0,\
             \"seq\":{sequence},\"born\":{}}}",
            self.born_ms
        )
    }

    /// Sends an earlier check-in, as if it had been under way until now.
    pub fn send_check_in(&self, body: &str) {
        let status = self.say("PUT", body);
        self.line(&format!("check-in arrives late: {body}, answer {status:?}"));
    }

    /// Says farewell and goes on serving. Tells whether it was acknowledged.
    pub fn leave(&self) -> bool {
        self.has_left.store(true, Ordering::SeqCst);
        let status = self.say("DELETE", "");
        self.line(&format!("says farewell, answer {status:?}"));
        status == Some(200)
    }

    /// Says something to the node beside it. Without an answer it says it again later.
    fn say(&self, method: &str, body: &str) -> Option<u16> {
        let Settings { id, admin, .. } = &self.settings;
        let mut stream = TcpStream::connect(admin).ok()?;
        let kind = ("Content-Type", "application/json".to_owned());
        let host = ("Host", admin.to_string());
        let target = format!("/instances/{id}");
        let bytes = http::request(method, &target, &[host, kind], body.as_bytes());
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        http::write(&mut stream, &bytes).ok()?;
        let head = Reader::new(stream).head().ok().flatten()?;
        Some(head.status())
    }

    fn line(&self, text: &str) {
        let Settings { id, service, .. } = &self.settings;
        self.record
            .line(&format!("upstream {id} ({service}) {text}"));
    }
}

fn attempt(head: &Head) -> &str {
    head.get("x-attempt-id").unwrap_or_default()
}
