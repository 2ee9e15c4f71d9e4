//! The process that is the backend server now.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Service it belongs to.
    pub service: String,
    /// Name of the process, where it has one.
    pub process: Option<String>,
}

/// The backend server beside this node, if there is one that takes work.
#[derive(Debug, Default)]
pub struct Current(ArcSwapOption<Server>);

impl Current {
    /// A backend server that stays the same.
    #[must_use]
    pub fn fixed(service: &str) -> Self {
        let server = Server {
            service: service.to_owned(),
            process: None,
        };
        Self(ArcSwapOption::from_pointee(server))
    }

    /// The one that takes work now.
    #[must_use]
    pub fn get(&self) -> Option<Arc<Server>> {
        self.0.load_full()
    }

    /// Another process answered at its address, so it is gone.
    pub fn misdirected(&self) {
        let known = self.get();
        if known.is_some_and(|server| server.process.is_some()) {
            self.set(None);
        }
    }

    /// Replaces it.
    pub fn set(&self, server: Option<Server>) {
        self.0.store(server.map(Arc::new));
    }
}
