//! The farm's deployment as real processes.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use monsooncove::bench::demo::{self, wait_until_in_force};
use monsooncove::bench::fleet::{self, Fleet, Programs, Upstream};
use monsooncove::bench::operator::Operator;
use monsooncove::bench::{monitor, traffic};
use monsooncove::membership::{Instance, Status};
use monsooncove::plan::Version;
use monsooncove::standin::store::Faults;
use monsooncove::store::Client;
use monsooncove::store::http::{Http, Settings};

const POLL: Duration = Duration::from_millis(50);
/// A state that is not reached by then is never reached.
const PATIENCE: Duration = Duration::from_mins(1);

pub struct Deployment {
    pub fleet: Fleet,
    pub version: Version,
    operator: Operator,
}

impl Deployment {
    /// Starts twelve nodes and waits until all know plan and view.
    pub async fn start() -> Self {
        let sheet = demo::Deployment::Farm.sheet();
        let plan = sheet.plan(Version::default());
        let fleet = Fleet::start(fleet::Settings {
            programs: Programs {
                bench: PathBuf::from(env!("CARGO_BIN_EXE_monsooncove-bench")),
                node: PathBuf::from(env!("CARGO_BIN_EXE_monsooncove-node")),
            },
            upstreams: traffic::upstreams(&plan, 1),
            node_flags: Vec::new(),
            wired: false,
        })
        .await
        .unwrap();
        let operator = Operator::new(fleet.store(), sheet);
        let version = operator.apply().await.unwrap();
        wait_until_in_force(&fleet, version).await.unwrap();
        let deployment = Self {
            fleet,
            version,
            operator,
        };
        deployment
            .wait_for_all(|status| status.instances == 12)
            .await;
        deployment
    }

    pub fn store(&self) -> Http {
        Http::new(self.fleet.store(), Settings::default())
    }

    /// The announcement of an instance, once it is in the store.
    pub async fn announcement(&self, name: &str) -> Instance {
        let store = self.store();
        let key = super::key(name);
        let reading = async {
            loop {
                if let Ok(Some(record)) = store.get(&key).await {
                    return serde_json::from_str(&record.value).unwrap();
                }
                tokio::time::sleep(4 * POLL).await;
            }
        };
        tokio::time::timeout(PATIENCE, reading).await.unwrap()
    }

    pub async fn set_zone(&mut self, zone: &str, in_service: bool) -> io::Result<Version> {
        self.operator.set_zone(zone, in_service).await
    }

    pub async fn fault(&self, faults: Faults) {
        self.fleet.set_store_faults(&faults).await.unwrap();
    }

    pub async fn wait_for_all(&self, holds: impl Fn(&Status) -> bool) {
        for upstream in self.fleet.upstreams() {
            wait_for(upstream, &holds).await;
        }
    }

    /// Waits for all nodes but `index`.
    pub async fn wait_for_others(&self, index: usize, holds: impl Fn(&Status) -> bool) {
        for (other, upstream) in self.fleet.upstreams().iter().enumerate() {
            if other != index {
                wait_for(upstream, &holds).await;
            }
        }
    }
}

async fn wait_for(upstream: &Upstream, holds: impl Fn(&Status) -> bool) {
    let address = upstream.ready.control.unwrap();
    let waiting = async {
        loop {
            if monitor::status(address)
                .await
                .is_ok_and(|status| holds(&status))
            {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(
        waited.is_ok(),
        "{} does not get there",
        upstream.place.instance()
    );
}
