//! The shape of one line.

use std::time::SystemTime;

use log::Record;
use log4rs::encode::{Encode, Write};
use serde::Serialize;

use super::Identity;
use crate::settings::LogFormat;

/// Writes a record as one line of text or JSON.
#[derive(Debug)]
pub struct Encoder {
    /// Who writes.
    pub identity: Identity,
    /// Shape of the line.
    pub format: LogFormat,
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'static str,
    instance: &'a str,
    zone: &'a str,
    plan: u64,
    part: &'a str,
    message: String,
}

impl Encoder {
    fn line<'a>(&'a self, record: &'a Record) -> Line<'a> {
        Line {
            time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
            level: record.level().as_str(),
            instance: &self.identity.instance,
            zone: &self.identity.zone,
            plan: self.identity.plan().0,
            part: part(record.target()),
            message: record.args().to_string(),
        }
    }

    fn text(&self, line: &Line) -> serde_json::Result<String> {
        Ok(match self.format {
            LogFormat::Text => format!(
                "{} {:<5} instance={} zone={} plan={} {}: {}\n",
                line.time,
                line.level,
                line.instance,
                line.zone,
                line.plan,
                line.part,
                single_line(&line.message),
            ),
            LogFormat::Json => format!("{}\n", serde_json::to_string(line)?),
        })
    }
}

/// The slice a line comes from.
fn part(target: &str) -> &str {
    let inner = target.strip_prefix("monsooncove::").unwrap_or(target);
    inner.split("::").next().unwrap_or(inner)
}

impl Encode for Encoder {
    fn encode(&self, writer: &mut dyn Write, record: &Record) -> anyhow::Result<()> {
        let line = self.line(record);
        // One write a line, so that lines of several threads do not mix.
        writer.write_all(self.text(&line)?.as_bytes())?;
        Ok(())
    }
}

fn single_line(message: &str) -> String {
    message.replace(['\n', '\r'], " ")
}
