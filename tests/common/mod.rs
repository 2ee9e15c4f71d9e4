//! A small deployment of real processes.

// Each test file is a crate of its own and uses a part of this module.
#![allow(dead_code)]

pub mod session;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use monsooncove::bench::demo::{wait_until_announced, wait_until_in_force};
use monsooncove::bench::fleet::{Fleet, Programs, Settings, Spec};
use monsooncove::bench::monitor::Monitor;
use monsooncove::bench::operator::Operator;
use monsooncove::bench::promises::{Ledger, Promise};
use monsooncove::bench::traffic;
use monsooncove::plan::{Plan, Version};
use monsooncove::sheet::{self, Sheet};
use monsooncove::standin::backend;
use monsooncove::standin::caller::{self, Books, Kind, Target};
use tokio::task::JoinHandle;

/// Two regions, three availability zones, one service.
const SHEET: &str = "\
kind,name,region,state,slots,cold_allowance,warm_steps,warm_step_ms,service,method,path,regions,worth,idempotent,deadline_ms,second_copy
region,morava
region,cechy
zone,morava-a,morava,in
zone,morava-b,morava,in
zone,cechy-a,cechy,in
service,odber,,,9,2,2,200
tenant,bakeries,,,,,,,,,,all
route,calendar,,,,,,,odber,GET,/calendar,all,20,,1000,yes
route,order-place,,,,,,,odber,POST,/orders,all,80,no,1500,no
route,payment,,,,,,,odber,POST,/payments,morava,90,no,1500,no
route,photo,,,,,,,odber,PUT,/photos,all,40,,8000,no
";

/// Indices of the upstreams, in the order of the zones in the plan.
pub const CECHY_A: usize = 0;
pub const MORAVA_A: usize = 1;
pub const MORAVA_B: usize = 2;

/// What to start.
pub struct Setup {
    pub wired: bool,
    pub backend: backend::Settings,
    pub node_flags: Vec<String>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            wired: false,
            backend: backend::Settings {
                cold_time: Duration::from_millis(300),
                ..backend::Settings::default()
            },
            node_flags: Vec::new(),
        }
    }
}

/// A running deployment whose plan is in force.
pub struct World {
    pub fleet: Fleet,
    pub operator: Operator,
    pub plan: Plan,
    pub version: Version,
    pub started: Instant,
}

pub fn programs() -> Programs {
    Programs {
        bench: PathBuf::from(env!("CARGO_BIN_EXE_monsooncove-bench")),
        node: PathBuf::from(env!("CARGO_BIN_EXE_monsooncove-node")),
    }
}

pub fn sheet() -> Sheet {
    let faults = |faults| panic!("{faults:?}");
    sheet::parse(SHEET.as_bytes()).unwrap_or_else(faults)
}

impl World {
    /// A deployment whose nodes know each other.
    pub async fn start(setup: Setup) -> Self {
        let world = Self::start_early(setup).await;
        world.wait_until_acquainted().await;
        world
    }

    /// A deployment whose nodes may not have heard of each other yet.
    pub async fn start_early(setup: Setup) -> Self {
        let sheet = sheet();
        let plan = sheet.plan(Version::default());
        let started = Instant::now();
        let upstreams = traffic::upstreams(&plan, 1).into_iter();
        let upstreams = upstreams.map(|spec| Spec {
            backend: backend::Settings {
                region: spec.backend.region,
                slots: spec.backend.slots,
                cold_allowance: spec.backend.cold_allowance,
                seed: spec.backend.seed,
                ..setup.backend.clone()
            },
            ..spec
        });
        let fleet = Fleet::start(Settings {
            programs: programs(),
            upstreams: upstreams.collect(),
            node_flags: setup.node_flags,
            wired: setup.wired,
        })
        .await
        .expect("processes start");
        let operator = Operator::new(fleet.store(), sheet);
        let version = operator.apply().await.expect("the sheet is accepted");
        wait_until_in_force(&fleet, version)
            .await
            .expect("the plan spreads");
        Self {
            fleet,
            operator,
            plan,
            version,
            started,
        }
    }

    /// Waits until every node and the store know of every node.
    async fn wait_until_acquainted(&self) {
        wait_until_announced(&self.fleet)
            .await
            .expect("nodes announce themselves");
    }

    /// Kinds of calls of some routes.
    pub fn kinds(&self, routes: &[&str]) -> Vec<Kind> {
        let kinds = traffic::kinds(&self.plan).into_iter();
        kinds
            .filter(|kind| routes.iter().any(|route| kind.route.ends_with(route)))
            .collect()
    }

    /// Starts callers in the background.
    pub fn call(&self, kinds: Vec<Kind>, rate: f64, seconds: u64) -> JoinHandle<Books> {
        call_at(self.fleet.targets(), kinds, rate, seconds)
    }

    /// Starts callers who know nothing of home regions.
    pub fn call_anywhere(&self, kinds: Vec<Kind>, rate: f64, seconds: u64) -> JoinHandle<Books> {
        let targets = self.fleet.targets().into_iter();
        let targets = targets.map(|target| Target {
            region: None,
            ..target
        });
        call_at(targets.collect(), kinds, rate, seconds)
    }

    /// Checks the books of all sides.
    pub async fn settle(&self, books: &Books) -> Ledger {
        let mut ledger = Ledger::default();
        let executions = self
            .fleet
            .executions()
            .await
            .expect("backend servers answer");
        let checks = self.fleet.checks().await.expect("backend servers answer");
        ledger.check_calls(books, &executions);
        ledger.check_backends(&checks, self.started.elapsed());
        ledger
    }

    /// Watches the plan versions of all nodes.
    pub fn monitor(&self) -> Monitor {
        let monitor = Monitor::start();
        let nodes = self.fleet.upstreams().iter();
        nodes
            .filter_map(|upstream| upstream.ready.control)
            .for_each(|node| monitor.watch(node));
        monitor.expect(self.version);
        monitor
    }

    /// Sends an order or a fault to a backend server.
    pub async fn control(&self, index: usize, control: backend::Control) {
        let sent = self.fleet.control(index, &control).await;
        sent.expect("the backend server takes orders");
    }
}

fn call_at(targets: Vec<Target>, kinds: Vec<Kind>, rate: f64, seconds: u64) -> JoinHandle<Books> {
    let settings = caller::Settings {
        targets,
        kinds,
        rate,
        duration: Duration::from_secs(seconds),
        ..caller::Settings::default()
    };
    tokio::spawn(caller::run(settings, Instant::now(), |_| {}))
}

pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Asserts that a promise was checked, and never violated.
pub fn assert_held(ledger: &Ledger, promise: Promise) {
    let tally = ledger.tally(promise);
    assert!(tally.checked > 0, "never checked: {}", promise.as_str());
    assert_eq!(
        tally.violated,
        0,
        "violated: {}: {ledger:?}",
        promise.as_str()
    );
}
