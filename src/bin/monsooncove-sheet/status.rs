//! `monsooncove-sheet status`

use monsooncove::plan::Version;
use monsooncove::sheet::row::{Kind, Row};
use serde::Serialize;

use crate::exit::{Exit, Result};
use crate::fleet::{self, Node};
use crate::group::Group;
use crate::known::Known;
use crate::paint::{self, Colour, Painter};
use crate::table::Table;
use crate::wait;

/// What `--json` prints.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    version: Version,
    /// Newest version of a node, when the source does not know it.
    ahead: Option<Version>,
    zones: Vec<Zone>,
    services: Vec<Service>,
    nodes: Vec<Line>,
}

/// One zone.
#[derive(Debug)]
#[derive(Serialize)]
struct Zone {
    name: String,
    region: String,
    /// `in`, `out`, or `unknown` when the sheet does not name the zone.
    state: &'static str,
    group: Group,
}

/// One service.
#[derive(Debug)]
#[derive(Serialize)]
struct Service {
    name: String,
    group: Group,
}

/// One node.
#[derive(Debug)]
#[derive(Serialize)]
struct Line {
    instance: String,
    service: String,
    zone: String,
    /// Absent when the node does not answer.
    version: Option<Version>,
    state: String,
    in_hand: u32,
    queued: u32,
    limit: u32,
}

/// Shows what is known and what the nodes say.
pub async fn run(known: Known, json: bool) -> Result<Exit> {
    let nodes = fleet::ask(known.instances.clone(), fleet::NODE_TIMEOUT).await;
    let report = report(&known, &nodes);
    if json {
        paint::json(&report);
    } else {
        paint::text(&words(&report, Painter::stdout()));
    }
    Ok(Exit::Done)
}

fn report(known: &Known, nodes: &[Node]) -> Report {
    Report {
        version: known.version,
        ahead: newest(nodes).filter(|newest| *newest > known.version),
        zones: zones(known, nodes),
        services: services(known, nodes),
        nodes: nodes.iter().map(line).collect(),
    }
}

fn newest(nodes: &[Node]) -> Option<Version> {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    statuses.map(|status| status.plan_version).max()
}

fn zones(known: &Known, nodes: &[Node]) -> Vec<Zone> {
    let mut zones: Vec<Zone> = Vec::new();
    for (key, row) in known.sheet.rows() {
        if let Row::Zone(zone) = row {
            let state = if zone.in_service { "in" } else { "out" };
            zones.push(new_zone(&key.name, &zone.region, state));
        }
    }
    for node in nodes {
        let name = &node.instance.zone;
        let named = zones.iter().position(|zone| zone.name == *name);
        let index = named.unwrap_or_else(|| {
            zones.push(new_zone(name, &node.instance.region, "unknown"));
            zones.len() - 1
        });
        zones[index].group.add(node, known.version);
    }
    zones.sort_by(|a, b| a.name.cmp(&b.name));
    zones
}

fn new_zone(name: &str, region: &str, state: &'static str) -> Zone {
    Zone {
        name: name.to_owned(),
        region: region.to_owned(),
        state,
        group: Group::default(),
    }
}

fn services(known: &Known, nodes: &[Node]) -> Vec<Service> {
    let rows = known.sheet.rows();
    let rows = rows.filter(|(key, _)| key.kind == Kind::Service);
    let declared = rows.map(|(key, _)| key.name.clone());
    let announced = nodes.iter().map(|node| node.instance.service.clone());
    let mut names: Vec<String> = declared.chain(announced).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|name| Service {
            group: Group::of(nodes, known.version, |node| node.instance.service == name),
            name,
        })
        .collect()
}

fn line(node: &Node) -> Line {
    let instance = &node.instance;
    let status = node.status.as_ref();
    let condition = status
        .map(|status| status.condition.clone())
        .unwrap_or_default();
    Line {
        instance: instance.name.clone(),
        service: instance.service.clone(),
        zone: instance.zone.clone(),
        version: status.map(|status| status.plan_version),
        state: status.map_or_else(|| "silent".to_owned(), |_| condition.gate),
        in_hand: condition.in_hand,
        queued: condition.queued,
        limit: condition.limit,
    }
}

fn words(report: &Report, painter: Painter) -> String {
    let heading = match report.version {
        Version(0) => "no sheet has been accepted; put one in force with apply".to_owned(),
        version => format!("version {version} is in force"),
    };
    let ahead = report.ahead.map(wait::ahead).unwrap_or_default();
    let parts = [
        heading + "\n" + &ahead,
        zone_table(report, painter),
        service_table(report),
        late_table(report, painter),
    ];
    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    parts.join("\n")
}

fn zone_table(report: &Report, painter: Painter) -> String {
    let mut table = Table::new([
        "zone", "region", "state", "nodes", "in force", "late", "silent", "in hand",
    ]);
    for zone in &report.zones {
        let group = &zone.group;
        table.row([
            zone.name.clone(),
            zone.region.clone(),
            zone.state.to_owned(),
            group.nodes.to_string(),
            group.in_force.to_string(),
            group.late.to_string(),
            group.silent.to_string(),
            group.in_hand.to_string(),
        ]);
    }
    highlight(&table.to_string(), painter, |line| {
        let out = line.split_whitespace().nth(2) == Some("out");
        out.then_some(Colour::Yellow)
    })
}

fn service_table(report: &Report) -> String {
    let mut table = Table::new([
        "service",
        "backend servers",
        "serving",
        "warming",
        "cold",
        "draining",
        "left",
        "silent",
        "in hand",
        "queued",
        "limit",
    ]);
    for service in &report.services {
        let group = &service.group;
        let state = |name: &str| group.states.get(name).copied().unwrap_or_default();
        table.row([
            service.name.clone(),
            group.nodes.to_string(),
            state("serving").to_string(),
            state("warming").to_string(),
            state("cold").to_string(),
            state("draining").to_string(),
            state("left").to_string(),
            group.silent.to_string(),
            group.in_hand.to_string(),
            group.queued.to_string(),
            group.limit.to_string(),
        ]);
    }
    table.to_string()
}

fn late_table(report: &Report, painter: Painter) -> String {
    let is_late = |line: &&Line| line.version.is_none_or(|version| version < report.version);
    let late: Vec<&Line> = report.nodes.iter().filter(is_late).collect();
    if late.is_empty() {
        return String::new();
    }
    let mut table = Table::new(["late node", "zone", "service", "version"]);
    for line in late {
        table.row([
            line.instance.clone(),
            line.zone.clone(),
            line.service.clone(),
            line.version
                .map_or_else(|| "no answer".to_owned(), |version| version.to_string()),
        ]);
    }
    highlight(&table.to_string(), painter, |_| Some(Colour::Red))
}

/// Paints whole lines below the heading, so that columns stay aligned.
fn highlight(table: &str, painter: Painter, colour: impl Fn(&str) -> Option<Colour>) -> String {
    let mut text = String::new();
    for (number, line) in table.lines().enumerate() {
        let colour = if number == 0 { None } else { colour(line) };
        match colour {
            Some(colour) => text += &painter.paint(colour, line),
            None => text += line,
        }
        text.push('\n');
    }
    text
}
