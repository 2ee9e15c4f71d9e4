//! The process that is the backend server now.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Service it belongs to.
    pub service: String,
    /// Version of its software; empty if it did not say.
    pub version: String,
    /// Name of the process, where it has one.
    pub process: Option<String>,
}

/// The backend server beside this node, if there is one that takes work.
#[derive(Debug, Default)]
pub struct Current {
    server: ArcSwapOption<Server>,
    misdirected: AtomicBool,
}

impl Current {
    /// A backend server that stays the same.
    #[must_use]
    pub fn fixed(service: &str) -> Self {
        let server = Server {
            service: service.to_owned(),
            version: String::new(),
            process: None,
        };
        Self {
            server: ArcSwapOption::from_pointee(server),
            misdirected: AtomicBool::new(false),
        }
    }

    /// The one that takes work now.
    #[must_use]
    pub fn get(&self) -> Option<Arc<Server>> {
        self.server.load_full()
    }

    /// Another process answered at its address, so it is gone.
    pub fn misdirected(&self) {
        let known = self.get();
        if known.is_some_and(|server| server.process.is_some()) {
            self.set(None);
            self.misdirected.store(true, Ordering::Relaxed);
        }
    }

    /// Whether another process has answered since the last question.
    pub fn take_misdirected(&self) -> bool {
        self.misdirected.swap(false, Ordering::Relaxed)
    }

    /// Replaces it.
    pub fn set(&self, server: Option<Server>) {
        self.server.store(server.map(Arc::new));
    }
}
