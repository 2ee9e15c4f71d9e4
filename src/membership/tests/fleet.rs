//! Cores in virtual time, with a fake network and a fake store between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::fake_store::FakeStore;
use crate::clock::Time;
use crate::membership::core::{Action, Core, Failure, Settings, Timing};
use crate::membership::message::{Heartbeat, News};
use crate::membership::roster::Entry;
use crate::membership::text::{SheetText, TextId, Update};
use crate::membership::{Epoch, Instance, InstanceId, State};
use crate::plan::{Plan, Version};

const TICK: Duration = Duration::from_millis(50);
const LATENCY: Duration = Duration::from_millis(2);
const FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Failures of links, for the cases that need them.
type LinkCut = Box<dyn Fn(&Instance, &Instance) -> bool>;

pub struct Node {
    pub core: Core,
    pub process: Process,
    pub view: BTreeSet<String>,
    pub highest_version: Version,
    seen_revision: Option<u64>,
    cut_off_from_store: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Process {
    Running,
    Paused,
    Crashed,
}

enum Message {
    Heartbeat(Heartbeat),
    Answer(Heartbeat),
    Failed(Failure),
    News(Arc<News>),
    Pull(Vec<u64>),
    Pulled(Vec<Entry>),
    Fetch(TextId),
    Fetched(Update),
}

struct Delivery {
    from: SocketAddr,
    to: SocketAddr,
    message: Message,
}

pub struct Fleet {
    pub now: Time,
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub store: FakeStore,
    pub is_cut: LinkCut,
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub latency_spread: Duration,
    queue: BTreeMap<(Time, u64), Delivery>,
    sent: u64,
    rng: ChaCha8Rng,
    next_port: u16,
}

impl Fleet {
    pub fn empty(seed: u64) -> Self {
        Self {
            now: Time::from_millis(1_000),
            nodes: BTreeMap::new(),
            store: FakeStore::default(),
            is_cut: Box::new(|_, _| false),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            latency_spread: Duration::ZERO,
            queue: BTreeMap::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_port: 1,
        }
    }

    /// `regions` of two zones each, with `per_zone` nodes; settled on plan 1.
    pub fn settled(regions: &[&str], per_zone: usize) -> Self {
        let mut fleet = Self::empty(1);
        fleet.store.accept(1);
        for region in regions {
            for zone in ["a", "b"] {
                for n in 0..per_zone {
                    let zone = format!("{region}-{zone}");
                    fleet.start(&format!("{zone}-{n}"), region, &zone, Vec::new());
                }
            }
        }
        fleet.run(Duration::from_secs(5));
        let all = fleet.nodes.len();
        assert!(fleet.live().all(|node| node.core.version() == Version(1)));
        assert!(fleet.live().all(|node| node.view.len() == all));
        fleet
    }

    pub fn start(
        &mut self,
        name: &str,
        region: &str,
        zone: &str,
        join: Vec<SocketAddr>,
    ) -> SocketAddr {
        let address = SocketAddr::from(([127, 0, 0, 1], self.next_port));
        self.next_port += 1;
        let instance = Instance {
            name: name.into(),
            epoch: Epoch(self.now.as_micros()),
            service: "odber".into(),
            region: region.into(),
            zone: zone.into(),
            caller: address,
            peer: address,
            control: address,
            state: State::Present,
            version: String::new(),
        };
        let settings = Settings {
            instance,
            join,
            seed: u64::from(self.next_port),
            timing: Timing::default(),
        };
        let node = Node {
            core: Core::new(settings, self.now),
            process: Process::Running,
            view: BTreeSet::new(),
            highest_version: Version(0),
            seen_revision: None,
            cut_off_from_store: false,
        };
        self.nodes.insert(address, node);
        address
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes
            .values()
            .filter(|node| node.process == Process::Running)
    }

    pub fn find(&self, name: &str) -> SocketAddr {
        let changes = self
            .nodes
            .iter()
            .rfind(|(_, node)| node.core.instance().name == name);
        *changes.expect("the node was started").0
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        let address = self.find(name);
        self.nodes.get_mut(&address).unwrap()
    }

    pub fn relays(&self, zone: &str) -> Vec<String> {
        let in_zone = self.live().map(|node| &node.core);
        in_zone
            .filter(|core| core.instance().zone == zone && core.is_relay())
            .map(|core| core.instance().name.clone())
            .collect()
    }

    pub fn crash(&mut self, name: &str) {
        self.node(name).process = Process::Crashed;
    }

    pub fn pause(&mut self, name: &str) {
        self.node(name).process = Process::Paused;
    }

    pub fn resume(&mut self, name: &str) {
        let node = self.node(name);
        if node.process == Process::Paused {
            node.process = Process::Running;
        }
    }

    /// Cuts the node off from the store.
    pub fn cut_off_from_store(&mut self, name: &str) {
        self.node(name).cut_off_from_store = true;
    }

    pub fn leave(&mut self, name: &str) {
        let address = self.find(name);
        let now = self.now;
        let mut actions = Vec::new();
        self.nodes
            .get_mut(&address)
            .unwrap()
            .core
            .leave(now, &mut actions);
        self.store.delete(name);
        self.perform(address, actions);
    }

    pub fn suspect(&mut self, by: &str, name: &str) {
        let address = self.find(by);
        let now = self.now;
        let mut actions = Vec::new();
        let node = self.nodes.get_mut(&address).unwrap();
        node.core.suspect(now, name, &mut actions);
        self.perform(address, actions);
    }

    /// Whether all live nodes are on `version`.
    pub fn all_have_plan(&self, version: u64) -> bool {
        self.live()
            .all(|node| node.core.version() == Version(version))
    }

    /// Whether no live node has `name` in view.
    pub fn no_view_contains(&self, name: &str) -> bool {
        self.live().all(|node| !node.view.contains(name))
    }

    /// Whether all live nodes have `name` in view.
    pub fn all_views_contain(&self, name: &str) -> bool {
        self.live().all(|node| node.view.contains(name))
    }

    /// Runs until `reached`, at most for `limit`. Tells whether it was reached.
    pub fn run_until(&mut self, limit: Duration, reached: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if reached(self) {
                return true;
            }
            self.run(TICK);
        }
        reached(self)
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let next_tick = self.now + TICK;
            self.deliver_until(next_tick);
            self.now = next_tick;
            let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for address in addresses {
                self.tick(address);
            }
        }
    }

    fn tick(&mut self, address: SocketAddr) {
        let now = self.now;
        let node = self.nodes.get_mut(&address).unwrap();
        if node.process != Process::Running {
            return;
        }
        let mut actions = Vec::new();
        node.core.tick(now, &mut actions);
        if !node.cut_off_from_store {
            self.store.announce(now, node.core.instance());
            if node.core.follows_store(now) {
                follow(node, &self.store, now, &mut actions);
            } else {
                node.seen_revision = None;
            }
        }
        self.observe(address);
        self.perform(address, actions);
    }

    /// Takes in what the node publishes; its version must not go back.
    fn observe(&mut self, address: SocketAddr) {
        let node = self.nodes.get_mut(&address).unwrap();
        if let Some(snapshot) = node.core.take_snapshot() {
            assert!(
                snapshot.plan.version >= node.highest_version,
                "a version went back"
            );
            node.highest_version = snapshot.plan.version;
            node.view = snapshot
                .view
                .iter()
                .map(|known| known.name.clone())
                .collect();
        }
    }

    fn perform(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            let (to, message) = match action {
                Action::SendHeartbeat {
                    address, heartbeat, ..
                } => (address, Message::Heartbeat(heartbeat)),
                Action::Push { address, news } => (address, Message::News(news)),
                Action::Pull { address, buckets } => (address, Message::Pull(buckets)),
                Action::Fetch { address, have } => (address, Message::Fetch(have)),
                Action::Compile(text) => {
                    self.compile(from, &text);
                    continue;
                }
                Action::Reannounce => continue,
            };
            self.send(from, to, message);
        }
    }

    fn compile(&mut self, address: SocketAddr, text: &SheetText) {
        let now = self.now;
        let stamp = text.stamp();
        let plan = Plan {
            version: stamp.version,
            ..Plan::default()
        };
        let core = &mut self.nodes.get_mut(&address).unwrap().core;
        core.on_compiled(now, stamp, Ok(plan), &mut Vec::new());
        self.observe(address);
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let lost = self.rng.random_bool(self.loss_rate);
        let is_beat = matches!(message, Message::Heartbeat(_));
        let check_reachability = self.check_reachability(from, to);
        if check_reachability == Some(false) && is_beat {
            self.enqueue(LATENCY, to, from, Message::Failed(Failure::Refused));
        } else if check_reachability != Some(true) || lost {
            if is_beat {
                self.enqueue(FAILURE_DELAY, to, from, Message::Failed(Failure::TimedOut));
            }
        } else {
            if let Message::News(news) = &message
                && self.rng.random_bool(self.duplicate_rate)
            {
                let duplicate = Message::News(Arc::clone(news));
                self.enqueue(LATENCY * 40, from, to, duplicate);
            }
            self.enqueue(LATENCY, from, to, message);
        }
    }

    /// Whether something listens; nothing when no answer comes back.
    fn check_reachability(&self, from: SocketAddr, to: SocketAddr) -> Option<bool> {
        let sender = self.nodes.get(&from)?;
        let Some(receiver) = self.nodes.get(&to) else {
            return Some(false);
        };
        if (self.is_cut)(sender.core.instance(), receiver.core.instance())
            || receiver.process == Process::Paused
        {
            return None;
        }
        Some(receiver.process == Process::Running)
    }

    fn enqueue(&mut self, delay: Duration, from: SocketAddr, to: SocketAddr, message: Message) {
        self.sent += 1;
        let spread = self
            .latency_spread
            .mul_f64(self.rng.random_range(0.0..=1.0));
        let at = self.now + delay + spread;
        self.queue
            .insert((at, self.sent), Delivery { from, to, message });
    }

    fn deliver_until(&mut self, until: Time) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until {
                return;
            }
            let ((at, _), delivery) = first.remove_entry();
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { from, to, message } = delivery;
        let now = self.now;
        let node = self.nodes.get_mut(&to).unwrap();
        if node.process == Process::Crashed {
            return;
        }
        if node.process == Process::Paused {
            self.enqueue(TICK, from, to, message);
            return;
        }
        let core = &mut node.core;
        let mut actions = Vec::new();
        let sender = |nodes: &BTreeMap<SocketAddr, Node>| {
            InstanceId::of(&nodes.get(&from).unwrap().core.instance().name)
        };
        let reply = match message {
            Message::Heartbeat(beat) => {
                Some(Message::Answer(core.on_heartbeat(now, &beat, &mut actions)))
            }
            Message::Pull(buckets) => Some(Message::Pulled(core.receive_pull(&buckets))),
            Message::Fetch(have) => Some(Message::Fetched(core.receive_fetch(have))),
            Message::News(news) => {
                core.receive_news(now, News::clone(&news), &mut actions);
                None
            }
            Message::Pulled(entries) => {
                core.on_pulled(now, entries, &mut actions);
                None
            }
            Message::Fetched(update) => {
                core.on_fetched(now, update, &mut actions);
                None
            }
            Message::Answer(answer) => {
                let id = sender(&self.nodes);
                let core = &mut self.nodes.get_mut(&to).unwrap().core;
                core.on_heartbeat_answer(now, id, &answer, &mut actions);
                None
            }
            Message::Failed(failure) => {
                let id = sender(&self.nodes);
                let core = &mut self.nodes.get_mut(&to).unwrap().core;
                core.on_heartbeat_failed(now, id, failure, &mut actions);
                None
            }
        };
        self.observe(to);
        if let Some(reply) = reply {
            self.send(to, from, reply);
        }
        self.perform(to, actions);
    }
}

fn follow(node: &mut Node, store: &FakeStore, now: Time, actions: &mut Vec<Action>) {
    let Some(changes) = store.read(node.seen_revision.unwrap_or(0)) else {
        return;
    };
    if node
        .seen_revision
        .is_some_and(|seen_revision| changes.revision < seen_revision)
    {
        node.seen_revision = None;
        return;
    }
    node.seen_revision = Some(changes.revision);
    for name in &changes.deleted {
        node.core.on_store_delete(now, name, actions);
    }
    if !changes.instances.is_empty() {
        node.core
            .on_store_instances(now, changes.instances, actions);
    }
    if let Some(version) = changes.version {
        let text = SheetText::new(Version(version), sheet(version));
        node.core.on_store_text(now, text, actions);
    }
}

fn sheet(version: u64) -> String {
    let rows: Vec<String> = (0..40).map(|row| format!("zone,{row},in\n")).collect();
    format!("{}version,{version}\n", rows.concat())
}
