//! Follows one request through the decision lines of many nodes.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Deserialize;

/// One decision, as `telemetry::decision` writes it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Line {
    /// Time of day.
    pub time: String,
    /// Node that decided.
    pub instance: String,
    /// Plan that it decided by.
    pub plan: u64,
    /// Part that it played.
    pub decision: String,
    /// Id of the request.
    pub request: String,
    /// Service asked for.
    pub service: String,
    /// Name of the route.
    pub route: String,
    /// What it came to.
    pub outcome: String,
    /// Why, when it was not answered.
    pub reason: Option<String>,
    /// Status of the answer, when it was.
    pub status: Option<u16>,
    /// Milliseconds since the request came.
    pub elapsed_ms: f64,
    /// Attempts at backend servers.
    #[serde(default)]
    pub tries: Vec<Attempt>,
    /// Load of the gate that decided.
    pub gate: Option<Gate>,
}

/// One attempt at a backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Attempt {
    /// Instance that was chosen.
    pub to: String,
    /// Milliseconds that the call was expected to take.
    pub expected_ms: f64,
    /// Whether it was expected to wait.
    pub waits: bool,
    /// Age of the load report that the choice was made from.
    pub load_age_ms: Option<f64>,
    /// How it ended.
    pub outcome: String,
    /// Why, when it was not answered.
    pub reason: Option<String>,
    /// Milliseconds that it took.
    pub elapsed_ms: f64,
}

/// Load of a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Gate {
    /// Calls running.
    pub in_hand: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Calls that may run at the same time.
    pub limit: u32,
    /// Milliseconds that one call is expected to run.
    pub service_ms: f64,
    /// Whether new work is taken.
    pub accepting: bool,
}

impl Line {
    /// Whether the request got no good answer here.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.status.is_none_or(|status| status >= 500)
    }

    /// Words for how it ended.
    #[must_use]
    pub fn end(&self) -> String {
        end(&self.outcome, self.reason.as_deref(), self.status)
    }
}

/// The decisions among `lines`. Lines of other kinds, and whatever a collector
/// puts before a line, are passed over.
pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<Line> {
    lines
        .filter_map(|line| {
            let start = line.find('{')?;
            serde_json::from_str(&line[start..]).ok()
        })
        .collect()
}

/// The story of one request as a timeline; nothing when no line names it.
#[must_use]
pub fn story(lines: &[Line], request: &str) -> Option<String> {
    let mut own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.request == request)
        .collect();
    own.sort_by(|one, other| one.time.cmp(&other.time));
    let first = own.first()?;
    let mut text = String::new();
    // Writing to memory cannot fail.
    let _ = writeln!(
        text,
        "request {request}, route {}, service {}",
        first.route, first.service
    );
    for line in own {
        let _ = writeln!(
            text,
            "{}  {:<7} at {}: {} after {:.1} ms, by plan {}",
            line.time,
            line.decision,
            line.instance,
            line.end(),
            line.elapsed_ms,
            line.plan
        );
        if let Some(gate) = line.gate {
            let _ = writeln!(text, "    its load: {}", load(gate));
        }
        for attempt in &line.tries {
            let _ = writeln!(text, "    {}", tried(attempt));
        }
    }
    Some(text)
}

/// Requests that failed at their entries, by cause, with a few ids of each.
#[must_use]
pub fn failed(lines: &[Line], ids: usize) -> String {
    let mut causes: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for line in lines {
        if line.decision == "entry" && line.has_failed() {
            let requests = causes.entry(cause(line)).or_default();
            requests.push(&line.request);
        }
    }
    let mut sorted: Vec<_> = causes.into_iter().collect();
    sorted.sort_by_key(|(_, requests)| std::cmp::Reverse(requests.len()));
    let mut text = String::new();
    for (cause, requests) in sorted {
        let shown = requests.iter().take(ids).copied().collect::<Vec<_>>();
        let _ = writeln!(text, "{:>6}  {cause}: {}", requests.len(), shown.join(" "));
    }
    text
}

/// What the request failed of, by the word of its entry.
fn cause(line: &Line) -> String {
    let Some(last) = line.tries.last() else {
        return format!("{}, without an attempt", line.end());
    };
    let attempts = line.tries.len();
    let last = end(&last.outcome, last.reason.as_deref(), None);
    format!("{}, last of {attempts} attempts {last}", line.end())
}

fn end(outcome: &str, reason: Option<&str>, status: Option<u16>) -> String {
    match (reason, status) {
        (Some(reason), _) => format!("{outcome} ({reason})"),
        (None, Some(status)) => format!("{outcome} with {status}"),
        (None, None) => outcome.to_owned(),
    }
}

fn load(gate: Gate) -> String {
    let state = if gate.accepting {
        "takes work"
    } else {
        "closed"
    };
    format!(
        "{} of {} running, {} waiting, {:.0} ms a call, {state}",
        gate.in_hand, gate.limit, gate.queued, gate.service_ms
    )
}

fn tried(attempt: &Attempt) -> String {
    let age = attempt.load_age_ms.map_or_else(
        || "no load known".to_owned(),
        |age| format!("load {age:.0} ms old"),
    );
    let waits = if attempt.waits { ", with a wait" } else { "" };
    format!(
        "to {}: {} after {:.1} ms; expected {:.1} ms{waits}, {age}",
        attempt.to,
        end(&attempt.outcome, attempt.reason.as_deref(), None),
        attempt.elapsed_ms,
        attempt.expected_ms
    )
}
