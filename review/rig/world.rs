//! A small deployment: a store, and machines with a node and an upstream each.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::node::{Folder, Machine, Node};
use crate::record::Record;
use crate::store::{Path, Store};
use crate::upstream::{Run, Settings, Upstream};

pub const DESK: &str = "desk";
pub const LEDGER: &str = "ledger";
const REGIONS: [&str; 3] = ["kisumu", "kakamega", "nakuru"];
/// Time from the readiness of the nodes to the traffic.
const SETTLE: Duration = Duration::from_secs(4);

pub struct World {
    pub store: Store,
    pub paths: Vec<Path>,
    pub nodes: Vec<Node>,
    pub upstreams: Vec<Arc<Upstream>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    // Dropped after the nodes, which write there.
    folder: Folder,
}

impl World {
    /// Starts everything under `config`. None when a node doesn't become ready.
    pub fn start(machines: &[Machine], config: &str, record: &Record) -> Option<Self> {
        let store = Store::start();
        store.put("op/config", config);
        let folder = Folder::create();
        let store_ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let paths: Vec<Path> = machines.iter().map(|_| store.open(store_ip)).collect();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let mut upstreams = Vec::new();
        for machine in machines {
            let settings = Settings {
                id: format!("i-{}", machine.name),
                service: machine.service.clone(),
                zone: machine.zone.clone(),
                address: machine.app,
                admin: machine.admin,
            };
            upstreams.push(Upstream::start(settings, record, &runs));
        }
        let started = machines.iter().zip(&paths);
        let nodes: Vec<Node> = started
            .map(|(machine, path)| Node::start(machine, machines, path.address, &folder.0))
            .collect();
        let world = Self {
            store,
            paths,
            nodes,
            upstreams,
            runs,
            record: record.clone(),
            folder,
        };
        if !world.nodes.iter().all(Node::becomes_ready) {
            record.tell("a node did not become ready");
            return None;
        }
        record.line("all nodes are ready");
        thread::sleep(SETTLE);
        Some(world)
    }

    /// Starts the node of a machine again.
    pub fn restart(&mut self, place: usize, machines: &[Machine]) {
        let (machine, store) = (&machines[place], self.paths[place].address);
        self.nodes[place] = Node::start(machine, machines, store, &self.folder.0);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }
}

/// Twelve machines: one of each service in each of two zones of three regions.
pub fn three_regions() -> Vec<Machine> {
    let mut machines = Vec::new();
    for region in REGIONS {
        for half in ["a", "b"] {
            for (place, service) in [(1, DESK), (2, LEDGER)] {
                let zone = format!("{region}-{half}");
                let name = format!("sidecar-{zone}-{place}");
                let number = u8::try_from(machines.len() + 1).expect("a small number");
                machines.push(Machine::new(&name, &zone, region, service, number));
            }
        }
    }
    machines
}
