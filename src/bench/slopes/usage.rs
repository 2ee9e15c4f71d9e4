//! What one process has used so far, as the system counts it.

use std::io;
use std::time::Duration;

use crate::memory;

/// Length of one tick of processor time.
const TICK: Duration = Duration::from_millis(10);

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn of_process(id: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm"))?;
        Ok(Self {
            cpu: cpu(&stat)?,
            resident_bytes: memory::resident_bytes(&statm).ok_or_else(unknown_form)?,
        })
    }

    /// Reads the processor time of the thread `name` of a process.
    ///
    /// # Errors
    ///
    /// Fails when there is no such thread.
    pub fn of_thread(id: u32, name: &str) -> io::Result<Duration> {
        for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
            let stat = std::fs::read_to_string(thread?.path().join("stat"))?;
            if stat.contains(&format!("({name})")) {
                return cpu(&stat);
            }
        }
        Err(io::Error::other(format!(
            "process {id} has no thread {name}"
        )))
    }
}

fn unknown_form() -> io::Error {
    io::Error::other("the system's process table has another form")
}

/// User and system time; fields are counted after the name in parentheses.
fn cpu(stat: &str) -> io::Result<Duration> {
    let (_, fields) = stat.rsplit_once(") ").ok_or_else(unknown_form)?;
    let ticks = field(fields, 11)? + field(fields, 12)?;
    Ok(TICK * u32::try_from(ticks).unwrap_or(u32::MAX))
}

fn field(text: &str, index: usize) -> io::Result<u64> {
    text.split_whitespace()
        .nth(index)
        .and_then(|field| field.parse().ok())
        .ok_or_else(|| io::Error::other("the system's process table has another form"))
}
