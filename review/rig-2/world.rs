//! A small deployment: a store, upstreams, the project's nodes as processes, and a record.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Conn, Message};
use crate::store::Store;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, second: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Time between two check-ins of an upstream.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Program of the deploy file, with its arguments.
const PROGRAM: &str = "target/release/monsooncove-platform";
const ARGUMENTS: [&str; 2] = ["--metrics-port", "7390"];

/// What was sent, answered and run, with times since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let mut file = self.file.lock().expect("no panic");
        let _ = file.write_all(line.as_bytes());
    }
}

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
}

/// What an upstream does with a request that it runs. Returns whether the connection is kept.
pub type Behaviour = Arc<dyn Fn(&Message, &mut Conn, &Upstream) -> bool + Send + Sync>;

/// One lifetime of an upstream.
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    admin: SocketAddr,
    born_ms: u128,
    seq: AtomicU64,
    pub is_leaving: AtomicBool,
    beats: AtomicBool,
    is_over: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
    pub record: Record,
}

impl Upstream {
    /// Answers 200 with the signature and the id of the attempt.
    pub fn answer(&self, request: &Message, conn: &mut Conn, body: &[u8]) -> bool {
        let fields = self.fields(request);
        conn.respond(200, &fields, body).is_ok()
    }

    /// Fields of an answer.
    pub fn fields(&self, request: &Message) -> String {
        let attempt = request.field("x-attempt-id").unwrap_or_default();
        format!(
            "X-Attempt-Id: {attempt}\r\nX-Response-Sig: sig-{}-{attempt}\r\nX-Load: 1,0,9,100\r\nKeep-Alive: timeout=10\r\n",
            self.id
        )
    }

    /// A check-in with its own number, as text that may be sent later.
    pub fn check_in(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":9,\
             \"state\":\"{state}\",\"warmup_s_time\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        );
        self.call_text("PUT", &body)
    }

    /// The word that this upstream ends, as text.
    pub fn farewell(&self) -> String {
        let body = format!("{{\"born\":{}}}", self.born_ms);
        self.call_text("DELETE", &body)
    }

    fn call_text(&self, method: &str, body: &str) -> String {
        format!(
            "{method} /instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.admin,
            body.len()
        )
    }

    /// Sends a call to the node; returns the status, 0 without an answer.
    pub fn tell(&self, text: &str) -> u16 {
        let answer = http::call(self.admin, text, Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status())
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Ends without a word: the address and all connections are closed.
    pub fn crash(&self) {
        self.stop_beats();
        self.is_over.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().expect("no panic").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: &Arc<Self>, mut conn: Conn, behaviour: &Behaviour) {
        while let Ok(request) = conn.request() {
            if request.path() == "/healthz" {
                let is_leaving = self.is_leaving.load(Ordering::SeqCst);
                let status = if is_leaving { 503 } else { 200 };
                let fields = format!("X-Instance: {}\r\nX-Load: 0,0,9,100\r\n", self.id);
                if conn.respond(status, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.field("x-attempt-id").unwrap_or_default().to_owned();
            let expected = request.field("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let fields = format!("X-Attempt-Id: {attempt}\r\nX-Not-Run: 1\r\n");
                self.record
                    .line(&format!("{} answers 421 to {attempt}", self.id));
                if conn.respond(421, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record.line(&format!(
                "{} runs {attempt} {} {} for {}",
                self.id,
                request.first,
                request.second,
                request.field("x-caller").unwrap_or("nobody")
            ));
            let run = Run {
                at: self.record.now(),
                attempt: attempt.clone(),
            };
            self.runs.lock().expect("no panic").push(run);
            let is_kept = behaviour(&request, &mut conn, self);
            let end = if is_kept {
                "has answered"
            } else {
                "has broken off"
            };
            self.record.line(&format!("{} {end} {attempt}", self.id));
            if !is_kept {
                conn.finish();
                return;
            }
        }
    }
}

/// What a node is started with.
#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub service: String,
}

impl Place {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn app(&self) -> SocketAddr {
        self.at(8145)
    }

    pub fn inbound(&self) -> SocketAddr {
        self.at(8146)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.at(8147)
    }

    pub fn ready(&self) -> SocketAddr {
        self.at(8141)
    }

    pub fn admin(&self) -> SocketAddr {
        self.at(8144)
    }
}

/// A node's process; killed when dropped.
pub struct Node {
    pub place: Place,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::create(self.settings.with_extension("log"))?;
        let mut command = Command::new(PROGRAM);
        // SAFETY: `prctl` is the only call between fork and exec, and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                // The process ends with the one that started it.
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(ARGUMENTS)
            .env_clear()
            .env("MONSOONCOVE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /ready HTTP/1.1\r\nHost: node\r\n\r\n";
        let answer = http::call(self.place.ready(), text, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One case's deployment.
pub struct World {
    pub record: Record,
    pub store: Store,
    folder: PathBuf,
    net: [u8; 2],
    /// Zones with their regions.
    zones: Vec<(String, String)>,
    /// The `bounds` of the settings, as JSON.
    bounds: String,
}

impl World {
    /// A store and a range of loopback addresses that are free.
    pub fn start(record: Record, zones: &[(&str, &str)], bounds: &str) -> std::io::Result<Self> {
        let pid = std::process::id();
        let mut found = None;
        for attempt in 0..200u32 {
            let number = pid.wrapping_add(attempt * 7919) % 50_000 + 300;
            let net = [(number >> 8) as u8, (number & 255) as u8];
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], 5), 8142)) {
                found = Some((net, listener));
                break;
            }
        }
        let (net, listener) = found.ok_or(std::io::ErrorKind::AddrInUse)?;
        let folder = std::env::temp_dir().join(format!("monsooncove-review-2-{pid}"));
        fs::create_dir_all(&folder)?;
        let owned = |(zone, region): &(&str, &str)| ((*zone).to_owned(), (*region).to_owned());
        Ok(Self {
            record,
            store: Store::start(listener),
            folder,
            net,
            zones: zones.iter().map(owned).collect(),
            bounds: bounds.to_owned(),
        })
    }

    pub fn place(&self, number: u8, zone: &str, service: &str) -> Place {
        Place {
            name: format!("sidecar-{zone}-{number}"),
            ip: Ipv4Addr::new(127, self.net[0], self.net[1], 10 + number),
            zone: zone.to_owned(),
            service: service.to_owned(),
        }
    }

    /// Writes the settings of a node and starts it.
    pub fn node(&self, place: Place) -> std::io::Result<Node> {
        let region_of = |zone: &str| {
            let found = self.zones.iter().find(|(own, _)| own == zone);
            found.map_or(String::new(), |(_, region)| region.clone())
        };
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let text = format!(
            "{{\"node_name\":\"{}\",\"role\":\"node\",\"machine_class\":\"sidecar\",\"serves\":[\"sidecar\"],\
             \"ip\":\"{}\",\"zone\":\"{}\",\"region\":\"{}\",\"counts_as_loss\":false,\"bootstrap\":true,\
             \"data_dir\":null,\"app_addr\":\"{}\",\"service\":\"{}\",\
             \"limits\":{{\"cpu_share\":0.2,\"cpu_speed_factor\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
             \"listen_addrs\":{{\"inbound\":\"{}\",\"outbound\":\"{}\",\"ready_addr\":\"{}\",\"admin\":\"{}\"}},\
             \"port_range\":[7380,7395],\"seeds\":[],\"zones\":{{{}}},\
             \"discovery\":\"static\",\"ingress\":\"static\",\"heartbeat_s\":1.5,\
             \"platform\":{{\"addr\":\"{}\",\"form\":\"kv\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_s\":1}},\
             \"bounds\":{}}}",
            place.name,
            place.ip,
            place.zone,
            region_of(&place.zone),
            place.app(),
            place.service,
            place.inbound(),
            place.outbound(),
            place.ready(),
            place.admin(),
            zones.join(","),
            self.store.address,
            self.bounds,
        );
        let settings = self.folder.join(format!("{}.json", place.name));
        fs::write(&settings, text)?;
        let mut node = Node {
            place,
            settings,
            child: None,
        };
        node.start()?;
        self.record
            .line(&format!("node {} starts", node.place.name));
        Ok(node)
    }

    /// Starts an upstream on a machine, with its check-ins.
    pub fn upstream(
        &self,
        place: &Place,
        id: &str,
        behaviour: Behaviour,
    ) -> std::io::Result<Arc<Upstream>> {
        self.upstream_born(place, id, behaviour, 0)
    }

    /// The same on a machine whose time of day is `ahead_ms` ahead while it starts.
    pub fn upstream_born(
        &self,
        place: &Place,
        id: &str,
        behaviour: Behaviour,
        ahead_ms: u128,
    ) -> std::io::Result<Arc<Upstream>> {
        let listener = TcpListener::bind(place.app())?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let upstream = Arc::new(Upstream {
            id: id.to_owned(),
            service: place.service.clone(),
            zone: place.zone.clone(),
            address: place.app(),
            admin: place.admin(),
            born_ms: born.map_or(0, |since| since.as_millis() + ahead_ms),
            seq: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            is_over: AtomicBool::new(false),
            sockets: Mutex::default(),
            runs: Mutex::default(),
            record: self.record.clone(),
        });
        let serving = Arc::clone(&upstream);
        thread::spawn(move || {
            while !serving.is_over.load(Ordering::SeqCst) {
                let Ok((socket, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if socket.set_nonblocking(false).is_err() {
                    continue;
                }
                if let Ok(copy) = socket.try_clone() {
                    serving.sockets.lock().expect("no panic").push(copy);
                }
                let (upstream, behaviour) = (Arc::clone(&serving), Arc::clone(&behaviour));
                thread::spawn(move || upstream.serve(Conn::new(socket), &behaviour));
            }
        });
        let beating = Arc::clone(&upstream);
        thread::spawn(move || {
            while beating.beats.load(Ordering::SeqCst) {
                let text = beating.check_in("ready");
                // Without an answer the next check-in tells the same.
                let pause = if beating.tell(&text) == 200 {
                    HEARTBEAT
                } else {
                    Duration::from_millis(300)
                };
                thread::sleep(pause);
            }
        });
        Ok(upstream)
    }

    /// Waits until all nodes are ready; `false` after ten seconds.
    pub fn wait_ready(&self, nodes: &[&Node]) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if nodes.iter().all(|node| node.is_ready()) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

pub fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}
