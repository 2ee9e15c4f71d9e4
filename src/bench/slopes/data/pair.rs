//! Two nodes: one of service `entry`, one of service `work`.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;

use super::super::Usage;
use super::Settings;
use crate::bench::demo::{wait_until_announced, wait_until_in_force};
use crate::bench::fleet::{self, Fleet, Place, Spec};
use crate::bench::operator::Operator;
use crate::bench::process::Process;
use crate::sheet;
use crate::standin::backend;
use crate::standin::caller::{Kind, Target};

/// Calls that the gate admits at the same time.
pub(super) const SLOTS: u32 = 2_000;

/// Time after a change until memory is read.
pub(super) const SETTLE: Duration = Duration::from_millis(1_500);

const HEADER: &str = "kind,name,region,state,slots,cold_allowance,warm_steps,warm_step_ms,\
                      service,method,path,regions,worth,idempotent,deadline_ms,second_copy";

/// Running nodes with their backend servers.
pub(super) struct Pair {
    pub(super) fleet: Fleet,
}

/// Usage of both nodes.
pub(super) struct Both {
    pub(super) entry: Usage,
    pub(super) gate: Usage,
}

impl Pair {
    /// Starts both under a sheet with `rows` more rows than needed.
    pub(super) async fn start(
        settings: &Settings,
        service_time: Duration,
        rows: u32,
    ) -> io::Result<Self> {
        let fleet = Fleet::start(fleet::Settings {
            programs: settings.programs.clone(),
            upstreams: ["entry", "work"]
                .map(|name| spec(name, service_time))
                .into(),
            node_flags: Vec::new(),
            wired: false,
        })
        .await?;
        let sheet = sheet::parse(text(rows).as_bytes())
            .map_err(|faults| io::Error::other(format!("{faults:?}")))?;
        let version = Operator::new(fleet.store(), sheet).apply().await?;
        wait_until_in_force(&fleet, version).await?;
        wait_until_announced(&fleet).await?;
        Ok(Self { fleet })
    }

    pub(super) fn entry(&self) -> io::Result<SocketAddr> {
        let caller = self.fleet.upstreams()[0].ready.caller;
        caller.ok_or_else(|| io::Error::other("the node names no address for callers"))
    }

    pub(super) fn gate_peer(&self) -> io::Result<SocketAddr> {
        let peer = self.fleet.upstreams()[1].ready.peer;
        peer.ok_or_else(|| io::Error::other("the node names no address for calls"))
    }

    pub(super) fn target(&self) -> io::Result<Target> {
        Ok(Target {
            address: self.entry()?,
            region: None,
        })
    }

    pub(super) fn usage(&self) -> io::Result<Both> {
        Ok(Both {
            entry: self.usage_of(0)?,
            gate: self.usage_of(1)?,
        })
    }

    fn usage_of(&self, index: usize) -> io::Result<Usage> {
        let node = self.fleet.upstreams()[index].node();
        let id = node.and_then(Process::id);
        Usage::of_process(id.ok_or_else(|| io::Error::other("the node has ended"))?)
    }
}

/// A call of service `work`.
pub(super) fn kind(method: Method, path: &str) -> Kind {
    Kind {
        route: path.to_owned(),
        service: "work".into(),
        tenant: None,
        idempotent: method.is_idempotent(),
        keyed: false,
        method,
        path: path.to_owned(),
        home: Vec::new(),
        request_bytes: 0,
        answer_bytes: 1_024,
        patience: Duration::from_mins(1),
    }
}

fn spec(service: &str, service_time: Duration) -> Spec {
    Spec {
        place: Place {
            service: service.into(),
            region: "north".into(),
            zone: "north-a".into(),
        },
        backend: backend::Settings {
            region: "north".into(),
            slots: SLOTS,
            backlog: SLOTS,
            service_time,
            noise: 0.0,
            cold_allowance: SLOTS,
            cold_time: Duration::ZERO,
            seed: 1,
        },
    }
}

fn text(rows: u32) -> String {
    let mut text = format!(
        "{HEADER}\n\
         region,north,,,,,,,,,,,,,,\n\
         zone,north-a,north,in,,,,,,,,,,,,\n\
         service,entry,,,9,9,1,100,,,,,,,,\n\
         service,work,,,{SLOTS},{SLOTS},1,100,,,,,,,,\n\
         route,read,,,,,,,work,GET,/read,all,1,,60000,no\n\
         route,write,,,,,,,work,POST,/write,all,1,no,60000,no\n"
    );
    for row in 0..rows {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "route,further-{row},,,,,,,work,GET,/further/{row},all,1,,60000,no"
        );
    }
    text
}
