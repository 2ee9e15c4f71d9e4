//! What was sent, answered and run, as lines of record.txt.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Takes lines from every thread.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a writable folder");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Time since the start of the script.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{seconds:8.3} {text}").expect("a writable file");
    }

    /// A line that the caller of the script sees too.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
