//! Log lines on standard error, through `log4rs`.
//!
//! Every line carries the instance, its availability zone and the plan version
//! in force. No line carries anything of a request.

mod line;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};

use super::journal::{self, Journal};
use crate::plan::Version;
use crate::settings::LogFormat;

pub use line::Encoder;

const APPENDER: &str = "lines";

/// Libraries that log single requests, which is left to metrics and spans.
const CHATTY: [&str; 5] = ["tarpc", "h2", "hyper", "hyper_util", "opentelemetry"];

/// Who writes the lines.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone it runs in.
    pub zone: String,
    plan: Arc<AtomicU64>,
}

impl Identity {
    /// Identity of an instance that has no plan yet.
    #[must_use]
    pub fn new(instance: &str, zone: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            plan: Arc::default(),
        }
    }

    /// Sets the plan version shown from now on.
    pub fn set_plan(&self, version: Version) {
        self.plan.store(version.0, Ordering::Relaxed);
    }

    /// Plan version shown.
    #[must_use]
    pub fn plan(&self) -> Version {
        Version(self.plan.load(Ordering::Relaxed))
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails when the process logs already.
pub fn init(identity: Identity, level: LevelFilter, format: LogFormat) -> crate::Result<()> {
    let encoder = Encoder { identity, format };
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(encoder))
        .build();
    init_by(Box::new(appender), level)
}

/// Starts logging for the whole process, in JSON to `journal`.
///
/// # Errors
///
/// Fails when the process logs already.
pub fn init_journal(journal: Journal, identity: Identity, level: LevelFilter) -> crate::Result<()> {
    let encoder = Encoder {
        identity,
        format: LogFormat::Json,
    };
    init_by(Box::new(journal::Appender { encoder, journal }), level)
}

fn init_by(appender: Box<dyn Append>, level: LevelFilter) -> crate::Result<()> {
    let root = Root::builder().appender(APPENDER).build(level);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .loggers(CHATTY.map(|library| Logger::builder().build(library, LevelFilter::Off)))
        .build(root)
        .map_err(|error| crate::Error::Logging(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| crate::Error::Logging(error.to_string()))?;
    Ok(())
}
