//! Clients, which send requests to the node of their machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::{Event, Record};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Stack of a client's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// One kind of request.
#[derive(Clone)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// API key, if the routes need one.
    pub key: Option<&'static str>,
}

/// Requests at a steady rate.
pub struct Load {
    pub kind: Kind,
    pub per_s: f64,
    /// Numbers and addresses of the machines at which they are sent, in turn.
    pub machines: Vec<(usize, SocketAddr)>,
    /// First letters of their ids.
    pub prefix: &'static str,
}

impl Load {
    /// Sends for `time`. Returns once the last one was sent; answers may still come.
    pub fn play(&self, time: Duration, record: &Record) {
        let open = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        let gap = Duration::from_secs_f64(1.0 / self.per_s);
        let mut number: u32 = 0;
        while started.elapsed() < time {
            let due = gap * number;
            thread::sleep(due.saturating_sub(started.elapsed()));
            let (machine, address) = self.machines[number as usize % self.machines.len()];
            number += 1;
            let id = format!("{}{number:06}", self.prefix);
            let (kind, record, counted) = (self.kind.clone(), record.clone(), Arc::clone(&open));
            open.fetch_add(1, Ordering::SeqCst);
            let sending = thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || {
                    send(&kind, machine, address, id, &record);
                    counted.fetch_sub(1, Ordering::SeqCst);
                });
            if sending.is_err() {
                record_failure(&open);
            }
        }
        let until = Instant::now() + self.kind.deadline + Duration::from_millis(500);
        while open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn record_failure(open: &AtomicU64) {
    open.fetch_sub(1, Ordering::SeqCst);
    eprintln!("no thread for a client");
}

/// Sends one request on a new connection, and waits for its answer.
fn send(kind: &Kind, machine: usize, address: SocketAddr, id: String, record: &Record) {
    let deadline = kind.deadline.as_millis().to_string();
    let authorization = kind.key.map(|key| format!("Token {key}"));
    let mut fields = vec![
        ("Host", HOST),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
        ("Connection", "close"),
    ];
    if let Some(authorization) = &authorization {
        fields.push(("Authorization", authorization));
    }
    let body: &[u8] = if kind.method == "GET" {
        b""
    } else {
        b"one order"
    };
    let start = format!("{} {} HTTP/1.1", kind.method, kind.path);
    let request = http::bytes(&start, &fields, body);
    record.add(Event::Sent {
        id: id.clone(),
        machine,
    });
    let answer = http::exchange(address, &request, kind.deadline);
    let status = answer.map_or(0, |answer| answer.status());
    record.add(Event::Answered { id, status });
}
