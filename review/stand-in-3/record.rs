//! What was sent, answered and run.

use std::fmt;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Something that clients, servers or the platform saw.
#[derive(Clone, Debug)]
pub enum Event {
    /// Something else that is worth a line.
    Note(String),
    /// A client sent a request to the node of this machine.
    Sent { id: String, machine: usize },
    /// It got this status; zero if the connection ended without an answer.
    Answered { id: String, status: u16 },
    /// A server has read a request.
    Arrived { id: String, server: String },
    /// A server began to work on it, for this tenant and calling service.
    Run {
        id: String,
        server: String,
        tenant: String,
        caller: String,
    },
    /// A server said that it did not run it.
    NotRun {
        id: String,
        server: String,
        status: u16,
    },
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Note(text) => write!(f, "-- {text}"),
            Self::Sent { id, machine } => write!(f, "request {id} sent at machine {machine}"),
            Self::Answered { id, status: 0 } => write!(f, "request {id} ended without an answer"),
            Self::Answered { id, status } => write!(f, "request {id} answered {status}"),
            Self::Arrived { id, server } => write!(f, "request {id} reached {server}"),
            Self::Run {
                id,
                server,
                tenant,
                caller,
            } => write!(f, "request {id} run by {server} for {caller} {tenant}"),
            Self::NotRun { id, server, status } => {
                write!(f, "request {id} refused by {server}, {status} X-Not-Run")
            }
        }
    }
}

/// Events in the order in which they were seen, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    events: Arc<Mutex<Vec<(f64, Event)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            events: Arc::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push((self.now(), event));
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Event::Note(text.into()));
    }

    pub fn events(&self) -> Vec<(f64, Event)> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, event) in self.events() {
            writeln!(file, "{at:9.4} {event}")?;
        }
        file.flush()
    }
}
