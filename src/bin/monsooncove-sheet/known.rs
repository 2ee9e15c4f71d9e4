//! What is known of plan and instances, from the store or from one node.

use std::net::SocketAddr;
use std::time::Duration;

use monsooncove::acceptance;
use monsooncove::membership::control::ControlClient;
use monsooncove::membership::roster::{Entry, MemberStatus};
use monsooncove::membership::text::{TextId, Update};
use monsooncove::membership::{self, Instance};
use monsooncove::plan::Version;
use monsooncove::sheet::{self, Sheet};
use monsooncove::store::Client;
use tarpc::context;
use tokio::time::timeout;

use crate::exit::{Exit, Failure, Result};
use crate::fleet;

/// Longest time the node may take to tell all it knows.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Plan and instances as one source has them.
#[derive(Debug)]
pub struct Known {
    /// Version in force.
    pub version: Version,
    /// Sheet in force.
    pub sheet: Sheet,
    /// Instances in the order of their names.
    pub instances: Vec<Instance>,
}

/// Asks the store.
pub async fn from_store(client: &impl Client) -> Result<Known> {
    let current = acceptance::current(client).await?;
    let instances = fleet::announced(client).await?;
    Ok(Known {
        version: current.version,
        sheet: current.sheet,
        instances: instances.into_values().collect(),
    })
}

/// Asks the node whose control service is at `address`.
pub async fn from_node(address: SocketAddr) -> Result<Known> {
    let asked = timeout(NODE_TIMEOUT, ask(address)).await;
    asked.unwrap_or_else(|_| Err(silent(address, &"no answer in time")))
}

async fn ask(address: SocketAddr) -> Result<Known> {
    let node = membership::connect(address)
        .await
        .map_err(|error| silent(address, &error))?;
    let failed = |error: tarpc::client::RpcError| silent(address, &error);
    let status = node.status(context::current()).await.map_err(failed)?;
    let entries = node
        .pull(context::current(), Vec::new())
        .await
        .map_err(failed)?;
    Ok(Known {
        version: status.plan_version,
        sheet: sheet(address, &node).await?,
        instances: instances(entries),
    })
}

async fn sheet(address: SocketAddr, node: &ControlClient) -> Result<Sheet> {
    let update = node
        .fetch(context::current(), TextId::default())
        .await
        .map_err(|error| silent(address, &error))?;
    let Update::Full(text) = update else {
        return Ok(Sheet::default());
    };
    sheet::parse(text.as_str().as_bytes()).map_err(|_| {
        let message = "the node has a sheet that this release cannot read; use its own release";
        Failure::new(Exit::Unknown, &message)
    })
}

fn instances(entries: Vec<Entry>) -> Vec<Instance> {
    let known = entries.into_iter();
    let known = known.filter(|entry| entry.standing != MemberStatus::Gone);
    let mut instances: Vec<Instance> = known.map(|entry| entry.instance).collect();
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    instances
}

fn silent(address: SocketAddr, cause: &dyn std::fmt::Display) -> Failure {
    let message = format!(
        "the node at {address} does not answer ({cause}); give the control address of another node"
    );
    Failure::new(Exit::Unknown, &message)
}
