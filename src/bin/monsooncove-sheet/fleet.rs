//! Asks every announced node what it has in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use monsooncove::membership::{self, INSTANCE_PREFIX, Instance, Status};
use monsooncove::store::{self, Client};
use tokio::time::timeout;

/// Longest time one node may take to answer a single question.
pub const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// Nodes asked at the same time.
const PARALLEL_NODES: usize = 64;

/// One announced node and what it answered.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its announcement.
    pub instance: Instance,
    /// Its answer; absent when it gave none in time.
    pub status: Option<Status>,
}

/// Reads the announcements of all nodes.
pub async fn announced(client: &impl Client) -> store::Result<BTreeMap<String, Instance>> {
    let listing = client.list(INSTANCE_PREFIX).await?;
    let mut instances = BTreeMap::new();
    for record in listing.records {
        let instance: Instance =
            serde_json::from_str(&record.value).map_err(|error| store::Error::Refused {
                cause: format!("{} holds no announcement ({error})", record.key),
            })?;
        instances.insert(instance.name.clone(), instance);
    }
    Ok(instances)
}

/// Asks `instances` for their status, in the order of their names. Each may
/// take `limit` to answer.
pub async fn ask(instances: Vec<Instance>, limit: Duration) -> Vec<Node> {
    let answers = instances.into_iter().map(|instance| async move {
        let status = status(instance.control, limit).await;
        Node { instance, status }
    });
    let asked = futures::stream::iter(answers).buffered(PARALLEL_NODES);
    asked.collect().await
}

async fn status(address: SocketAddr, limit: Duration) -> Option<Status> {
    let answer = async {
        let control = membership::connect(address).await.ok()?;
        control.status(tarpc::context::current()).await.ok()
    };
    timeout(limit, answer).await.ok().flatten()
}
