//! Lines on their way to standard output.
//!
//! A line is put into a bounded queue and written by a thread of its own, so that
//! nobody waits for a reader that is slow or gone. Over the bound, lines are
//! dropped by importance, and a line tells how many of which kind.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::fmt;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

use super::log::Encoder;

/// What a line is about; the least important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// A call that went as it should.
    Success,
    /// A call that was refused, failed or was lost.
    Failure,
    /// A change of what the process believes.
    Belief,
}

impl Importance {
    const ALL: [Self; 3] = [Self::Success, Self::Failure, Self::Belief];

    /// Lines of this importance that may wait.
    const fn bound(self) -> usize {
        match self {
            Self::Success => 256,
            Self::Failure => 2_048,
            Self::Belief => 1_024,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Success => "successes",
            Self::Failure => "failures",
            Self::Belief => "changes",
        }
    }
}

/// Takes lines; never blocks.
#[derive(Clone)]
pub struct Journal(Arc<Shared>);

struct Shared {
    queue: Mutex<Queue>,
    filled: Condvar,
    written: Condvar,
}

impl fmt::Debug for Journal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Journal").finish_non_exhaustive()
    }
}

/// Longest wait for a reader of lines at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(250);

/// Waiting lines of each importance.
#[derive(Debug, Default)]
pub struct Queue {
    lines: [VecDeque<String>; 3],
    dropped: [u64; 3],
    /// Whether lines that were taken out are being written.
    writing: bool,
}

impl Queue {
    /// Adds a line, or counts it as dropped.
    pub fn push(&mut self, importance: Importance, line: String) {
        let lines = &mut self.lines[importance as usize];
        if lines.len() < importance.bound() {
            lines.push_back(line);
        } else {
            self.dropped[importance as usize] += 1;
        }
    }

    /// Takes out every line, the most important first, and what was dropped.
    pub fn take(&mut self) -> Vec<String> {
        let mut taken = Vec::new();
        for importance in Importance::ALL.into_iter().rev() {
            taken.extend(self.lines[importance as usize].drain(..));
        }
        for importance in Importance::ALL {
            let dropped = std::mem::take(&mut self.dropped[importance as usize]);
            if dropped > 0 {
                let kind = importance.as_str();
                taken.push(format!("{{\"dropped\":{dropped},\"kind\":\"{kind}\"}}\n"));
            }
        }
        taken
    }

    fn is_empty(&self) -> bool {
        self.lines.iter().all(VecDeque::is_empty)
    }
}

impl Journal {
    /// Starts a thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be made.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            queue: Mutex::new(Queue::default()),
            filled: Condvar::new(),
            written: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || writer.write_to(output))?;
        Ok(Self(shared))
    }

    /// Adds a line, with its line end.
    pub fn push(&self, importance: Importance, line: String) {
        self.0.lock().push(importance, line);
        self.0.filled.notify_one();
    }

    /// Waits until all lines are written, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let is_busy = |queue: &mut Queue| queue.writing || !queue.is_empty();
        // Lines that nobody reads in time are lost with the process.
        let _ = self
            .0
            .written
            .wait_timeout_while(self.0.lock(), limit, is_busy);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends when the output is closed; lines are then counted and dropped.
    fn write_to(&self, mut output: impl Write) {
        loop {
            let mut queue = self.lock();
            while queue.is_empty() {
                let waited = self.filled.wait(queue);
                queue = waited.unwrap_or_else(PoisonError::into_inner);
            }
            let text = queue.take().concat();
            queue.writing = true;
            drop(queue);
            let written = output.write_all(text.as_bytes());
            let ended = written.and_then(|()| output.flush()).is_err();
            self.lock().writing = false;
            self.written.notify_all();
            if ended {
                return;
            }
        }
    }
}

/// Passes the lines of `log` on to a journal.
#[derive(Debug)]
pub struct Appender {
    /// Shape of the lines.
    pub encoder: Encoder,
    /// Where they go.
    pub journal: Journal,
}

impl Append for Appender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut writer = SimpleWriter(Vec::new());
        self.encoder.encode(&mut writer, record)?;
        let line = String::from_utf8(writer.0)?;
        self.journal.push(Importance::Belief, line);
        Ok(())
    }

    fn flush(&self) {
        self.journal.flush(FLUSH_LIMIT);
    }
}
