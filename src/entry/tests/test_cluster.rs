//! Nodes and backend servers in this process, for tests.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::backend::{self, Executor};
use crate::call::Trace;
use crate::call::claim::Claims;
use crate::call::{Admission, Event, FixedSnapshotSource, IdGenerator, Observer, Span};
use crate::clock::Clock;
use crate::coordination::NoHandler;
use crate::dialect::Native;
use crate::entry::{self, Entry, Parts};
use crate::gate::{self, Gate};
use crate::membership::{ClusterSnapshot, Epoch, Instance, State, View};
use crate::peer::{self, Links};
use crate::plan::{self, Cold, Plan, Regions, Route, Service, Tenant, Version, key};
use crate::routing::{self, Location, Router};

/// Service of the backend servers in these tests.
pub const DESK: &str = "desk";
/// Service of the node that callers use; it has no backend server.
pub const FRONT: &str = "front";

/// Runs a test on its own runtime, for at most a minute.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_mins(1), test)
            .await
            .expect("the test should end within a minute");
    });
}

/// Observer that keeps events and the traces of spans.
#[derive(Debug, Default)]
pub struct Recorder {
    events: Mutex<Vec<Event>>,
    traces: Mutex<Vec<Trace>>,
}

impl Recorder {
    pub fn traces(&self) -> Vec<Trace> {
        self.traces
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    pub fn count(&self, expected: Event) -> usize {
        let events = self.events.lock().expect("the lock is not poisoned");
        events.iter().filter(|&&event| event == expected).count()
    }
}

impl Observer for Recorder {
    fn event(&self, event: Event) {
        self.events
            .lock()
            .expect("the lock is not poisoned")
            .push(event);
    }

    fn span(&self, span: &Span<'_>) {
        self.traces
            .lock()
            .expect("the lock is not poisoned")
            .push(span.trace);
    }
}

fn regions(keys: &[u16]) -> Regions {
    let mut regions = Regions::NONE;
    for &key in keys {
        regions.insert(key::Region(key));
    }
    regions
}

fn route(service: u16, path: &str, home: Regions) -> Route {
    Route {
        name: path.into(),
        service: key::Service(service),
        method: None,
        path: path.into(),
        regions: home,
        worth: 1,
        idempotent: None,
        deadline: Duration::from_secs(50),
        second_copy: false,
        terms: plan::Terms::default(),
    }
}

/// Plan with the regions north and south; `/south` of the desk has only the south as home region.
pub fn plan() -> Plan {
    let cold = Cold {
        allowance: 8,
        steps: 1,
        step_time: Duration::from_secs(1),
    };
    let service = |name: &str, routes: Vec<key::Route>| Service {
        name: name.into(),
        slots: 8,
        cold,
        routes,
        upkeep: plan::Upkeep::default(),
    };
    let zone = |name: &str, region: u16| plan::Zone {
        name: name.into(),
        region: key::Region(region),
        in_service: true,
    };
    let region = |name: &str| plan::Region { name: name.into() };
    let tenant = |name: &str, home: Regions| Tenant {
        name: name.into(),
        regions: home,
        ..Tenant::default()
    };
    let mut plan = Plan {
        version: Version(1),
        regions: vec![region("north"), region("south")],
        zones: vec![zone("north-a", 0), zone("south-a", 1)],
        services: vec![
            service(DESK, vec![key::Route(0), key::Route(1), key::Route(2)]),
            service(FRONT, vec![key::Route(3)]),
        ],
        tenants: vec![
            tenant("everywhere", Regions::ALL),
            tenant("southern", regions(&[1])),
        ],
        routes: vec![
            route(0, "/south", regions(&[1])),
            route(0, "/short", Regions::ALL),
            route(0, "/", Regions::ALL),
            route(1, "/", Regions::ALL),
        ],
        ..Plan::default()
    };
    plan.routes[1].deadline = Duration::from_millis(300);
    for (index, region) in plan.regions.iter().enumerate() {
        let key = key::Region(u16::try_from(index).expect("the index fits in u16"));
        plan.region_names.insert(region.name.clone(), key);
    }
    for (index, zone) in plan.zones.iter().enumerate() {
        let key = key::Zone(u16::try_from(index).expect("the index fits in u16"));
        plan.zone_names.insert(zone.name.clone(), key);
    }
    for (index, service) in plan.services.iter().enumerate() {
        let key = key::Service(u16::try_from(index).expect("the index fits in u16"));
        plan.service_names.insert(service.name.clone(), key);
    }
    for (index, tenant) in plan.tenants.iter().enumerate() {
        let key = key::Tenant(u16::try_from(index).expect("the index fits in u16"));
        plan.tenant_names.insert(tenant.name.clone(), key);
    }
    plan
}

/// One node in this process.
pub struct Node {
    pub instance: Instance,
    pub snapshot_source: Arc<FixedSnapshotSource>,
    pub router: Arc<Mutex<Router>>,
    pub admission: Arc<Admission>,
    pub recorder: Arc<Recorder>,
    pub clock: Clock,
    pub shutdown: CancellationToken,
    pub stopping: CancellationToken,
    pub servers: Vec<JoinHandle<()>>,
}

/// Parameters of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeSpec<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub region: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub entry: entry::Settings,
    pub peer: peer::Settings,
}

impl Default for NodeSpec<'_> {
    fn default() -> Self {
        Self {
            name: "desk-1",
            service: DESK,
            region: "north",
            zone: "north-a",
            slots: 8,
            entry: entry::Settings::default(),
            peer: peer::Settings::default(),
        }
    }
}

impl NodeSpec<'_> {
    /// Parameters of the node that callers use.
    pub fn front() -> Self {
        Self {
            name: "front-1",
            service: FRONT,
            ..Self::default()
        }
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a local address")
}

impl Node {
    pub async fn start(spec: &NodeSpec<'_>, backend_server: SocketAddr) -> Self {
        let location = Location {
            instance: spec.name.into(),
            region: spec.region.into(),
            zone: spec.zone.into(),
        };
        let clock = Clock::start();
        let recorder = Arc::new(Recorder::default());
        let snapshot_source = Arc::new(FixedSnapshotSource::default());
        let cold = Cold {
            allowance: spec.slots,
            steps: 1,
            step_time: Duration::from_secs(1),
        };
        let gate_settings = gate::Settings {
            slots: spec.slots,
            cold,
            ..gate::Settings::default()
        };
        let admission = Admission::new(Gate::new(gate_settings, clock.now()), clock);
        let shutdown = CancellationToken::new();
        let ids = Arc::new(IdGenerator::new(xxhash_rust::xxh3::xxh3_64(
            spec.name.as_bytes(),
        )));
        let client = backend::Http::new(backend_server, backend::Settings::default());
        let executor = Arc::new(Executor {
            location: location.clone(),
            server: Arc::new(backend::Current::fixed(spec.service)),
            dialect: Arc::new(Native),
            snapshot_source: snapshot_source.clone(),
            admission: admission.clone(),
            client: Arc::new(client),
            clock,
            observer: recorder.clone(),
            ids: ids.clone(),
            claims: Claims::default(),
            local: Arc::default(),
            report_handler: Arc::new(NoHandler),
        });
        let routing = routing::Settings::default();
        let router = Arc::new(Mutex::new(Router::new(routing, location.clone(), 1)));
        let stopping = CancellationToken::new();
        let entry = Entry::new(Parts {
            location,
            service: spec.service.into(),
            snapshot_source: snapshot_source.clone(),
            router: router.clone(),
            executor: executor.clone(),
            links: Arc::new(Links::new(spec.peer, recorder.clone())),
            clock,
            dialect: Arc::new(Native),
            observer: recorder.clone(),
            local: Arc::clone(&executor.local),
            ids,
            stopping: stopping.clone(),
            settings: spec.entry,
        });
        let (caller_listener, peer_listener) = (listen().await, listen().await);
        let instance = Instance {
            name: spec.name.into(),
            epoch: Epoch(1),
            service: spec.service.into(),
            region: spec.region.into(),
            zone: spec.zone.into(),
            caller: address(&caller_listener),
            peer: address(&peer_listener),
            control: address(&peer_listener),
            state: State::Present,
            version: String::new(),
        };
        let servers = vec![
            tokio::spawn(entry::serve(caller_listener, entry, shutdown.clone())),
            tokio::spawn(peer::serve(
                peer_listener,
                executor,
                spec.peer,
                shutdown.clone(),
            )),
            tokio::spawn(admission.clone().run(shutdown.clone())),
        ];
        Self {
            instance,
            snapshot_source,
            router,
            admission,
            recorder,
            clock,
            shutdown,
            stopping,
            servers,
        }
    }

    /// Puts a plan and the given instances in force at this node.
    pub fn apply_snapshot(&self, plan: Plan, instances: &[&Instance]) {
        let mut view = View::default();
        for &instance in instances {
            view.merge(instance.clone());
        }
        let snapshot = ClusterSnapshot {
            plan: Arc::new(plan),
            view: Arc::new(view),
        };
        let mut router = self.router.lock().expect("the lock is not poisoned");
        router.update(self.clock.now(), &snapshot);
        self.snapshot_source.replace(snapshot);
    }

    /// Shuts down gracefully and waits for all servers of the node.
    pub async fn stop(self) {
        self.shutdown.cancel();
        for server in self.servers {
            server.await.expect("the lock is not poisoned");
        }
    }
}

/// An entry node without a backend server, and gate nodes with one each. All know each other.
pub struct Cluster {
    pub front: Node,
    pub gate_nodes: Vec<Node>,
}

impl Cluster {
    pub async fn start(servers: &[&BackendServer]) -> Self {
        Self::start_with(&NodeSpec::front(), &NodeSpec::default(), servers).await
    }

    pub async fn start_with(
        front: &NodeSpec<'_>,
        desk: &NodeSpec<'_>,
        servers: &[&BackendServer],
    ) -> Self {
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let front = Node::start(front, unreachable).await;
        let mut gate_nodes = Vec::new();
        for (index, server) in servers.iter().enumerate() {
            let name = format!("desk-{index}");
            let spec = NodeSpec {
                name: &name,
                ..*desk
            };
            gate_nodes.push(Node::start(&spec, server.address).await);
        }
        let cluster = Self { front, gate_nodes };
        cluster.apply_plan(&plan());
        cluster
    }

    pub fn apply_plan(&self, plan: &Plan) {
        let nodes = || std::iter::once(&self.front).chain(&self.gate_nodes);
        let instances: Vec<&Instance> = nodes().map(|node| &node.instance).collect();
        for node in nodes() {
            node.apply_snapshot(plan.clone(), &instances);
        }
    }

    /// Sends a request to the desk through the entry.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> TestResponse {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", DESK)
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a valid request");
        send_and_collect(self.front.instance.caller, request).await
    }
}

/// Response with its collected body, or the error that broke it off.
#[derive(Debug)]
pub struct TestResponse {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Result<String, String>,
}

impl TestResponse {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap_or("?"))
    }

    /// Status, outcome and reason, separated by spaces.
    pub fn summary(&self) -> String {
        let outcome = self.header("monsooncove-outcome");
        let reason = self.header("monsooncove-reason");
        format!("{} {outcome} {reason}", self.status)
    }
}

/// Sends one request over a new connection and collects the response.
pub async fn send_and_collect(address: SocketAddr, request: Request<Full<Bytes>>) -> TestResponse {
    let response = send_request(address, request)
        .await
        .expect("a response head");
    collect_response(response).await
}

/// Sends one request over a new connection and waits for the head of the response.
pub async fn send_request<B>(
    address: SocketAddr,
    request: Request<B>,
) -> Result<Response<Incoming>, hyper::Error>
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let socket = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .expect("a handshake");
    tokio::spawn(connection);
    sender.send_request(request).await
}

pub async fn collect_response(response: Response<Incoming>) -> TestResponse {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string());
    TestResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()),
    }
}

/// What a backend server does after reading a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes and reads the next request.
    Send(&'static str),
    /// Sends these bytes and closes.
    SendAndClose(&'static str),
    /// Sends these bytes, then resets the connection once the caller has read them.
    SendAndReset(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing until the caller closes the connection.
    NeverRespond,
    /// Sends these bytes after a delay and reads the next request.
    SendAfter(Duration, &'static str),
    /// Sends the first bytes, then the second again and again until the caller closes.
    SendWithoutEnd(&'static str, &'static str),
}

/// Time from the last byte to the reset of a connection.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// Bytes written at once by a server that sends without end.
const REPEATED_BYTES: usize = 16 * 1024;

/// Successful response.
pub const OK: Step = Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");

/// Backend server that responds according to a script.
pub struct BackendServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    script: Arc<Mutex<Vec<Step>>>,
    closed: Arc<tokio::sync::Semaphore>,
    server: JoinHandle<()>,
}

impl BackendServer {
    /// Runs one step of `script` for each request; repeats the last step.
    pub async fn start(script: &[Step]) -> Self {
        Self::start_script(Arc::new(Mutex::new(script.to_vec()))).await
    }

    /// Starts another backend server that shares the remaining script of this one.
    pub async fn start_with_same_script(&self) -> Self {
        Self::start_script(self.script.clone()).await
    }

    async fn start_script(script: Arc<Mutex<Vec<Step>>>) -> Self {
        let listener = listen().await;
        let server = Self {
            address: address(&listener),
            requests: Arc::default(),
            script,
            closed: Arc::new(tokio::sync::Semaphore::new(0)),
            server: tokio::spawn(async {}),
        };
        let (requests, script, closed) = (
            server.requests.clone(),
            server.script.clone(),
            server.closed.clone(),
        );
        let accepting = tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.expect("a connection");
                let connection = run_script(socket, requests.clone(), script.clone());
                let closed = closed.clone();
                tokio::spawn(async move {
                    connection.await;
                    closed.add_permits(1);
                });
            }
        });
        Self {
            server: accepting,
            ..server
        }
    }

    /// Requests read so far, each with head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Waits until a connection of a caller has ended.
    pub async fn connection_closed(&self) {
        let permit = self.closed.acquire().await.expect("the semaphore is open");
        permit.forget();
    }

    /// Stops accepting connections.
    pub async fn stop(&self) {
        self.server.abort();
        while !self.server.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

async fn run_script(
    mut socket: TcpStream,
    requests: Arc<Mutex<Vec<String>>>,
    script: Arc<Mutex<Vec<Step>>>,
) {
    let mut received = Vec::new();
    while let Some(request) = read_request(&mut socket, &mut received).await {
        requests
            .lock()
            .expect("the lock is not poisoned")
            .push(request);
        let step = {
            let mut script = script.lock().expect("the lock is not poisoned");
            if script.len() > 1 {
                script.remove(0)
            } else {
                script[0].clone()
            }
        };
        match step {
            Step::Send(bytes) => {
                if socket.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::SendAndClose(bytes) => {
                let _ = socket.write_all(bytes.as_bytes()).await;
                return;
            }
            Step::SendAndReset(bytes) => {
                let _ = socket.write_all(bytes.as_bytes()).await;
                // A reset drops bytes that have not been delivered.
                tokio::time::sleep(RESET_DELAY).await;
                let _ = socket.set_zero_linger();
                return;
            }
            Step::Close => return,
            Step::NeverRespond => {
                let _ = socket.read(&mut [0; 1]).await;
                return;
            }
            Step::SendWithoutEnd(first, repeated) => {
                return send_without_end(&mut socket, first, repeated).await;
            }
            Step::SendAfter(delay, bytes) => {
                tokio::time::sleep(delay).await;
                if socket.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn send_without_end(socket: &mut TcpStream, first: &str, repeated: &str) {
    let part = repeated.repeat(REPEATED_BYTES / repeated.len());
    let mut sent = socket.write_all(first.as_bytes()).await;
    while sent.is_ok() {
        sent = socket.write_all(part.as_bytes()).await;
    }
}

/// Reads one request, with a body of known length or a chunked one; `None` at the end.
async fn read_request(socket: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(length) = request_length(received) {
            let request: Vec<u8> = received.drain(..length).collect();
            return Some(String::from_utf8_lossy(&request).into_owned());
        }
        let mut chunk = vec![0; 64 * 1024];
        let read = socket.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        received.extend_from_slice(&chunk[..read]);
    }
}

fn request_length(received: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(received);
    let head = text.find("\r\n\r\n")? + 4;
    let headers_text = text[..head].to_ascii_lowercase();
    if headers_text.contains("transfer-encoding: chunked") {
        return text[head..].find("0\r\n\r\n").map(|end| head + end + 5);
    }
    let sized = headers_text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok());
    let total = head + sized.unwrap_or(0);
    (received.len() >= total).then_some(total)
}
