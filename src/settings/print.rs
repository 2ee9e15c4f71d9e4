//! Settings in force, one a line.

use std::fmt;
use std::net::SocketAddr;

use super::{LogFormat, Name, Settings};

/// Shows every setting as `flag = value`.
#[derive(Clone, Copy, Debug)]
pub struct Print<'a>(pub &'a Settings);

impl fmt::Display for Print<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for name in Name::ALL {
            let value = value(self.0, name);
            writeln!(f, "{:<18} = {value}", name.flag())?;
        }
        Ok(())
    }
}

fn value(settings: &Settings, name: Name) -> String {
    match name {
        Name::Instance => settings.instance.clone(),
        Name::Service => settings.service.clone(),
        Name::Region => settings.region.clone(),
        Name::AvailabilityZone => settings.zone.clone(),
        Name::BackendServer => settings.backend_server.to_string(),
        Name::Store => settings.store.to_string(),
        Name::Join => list(&settings.join),
        Name::CallerListen => settings.caller_listen.to_string(),
        Name::PeerListen => settings.peer_listen.to_string(),
        Name::ControlListen => settings.control_listen.to_string(),
        Name::CallerAdvertise => optional(settings.caller_advertise),
        Name::PeerAdvertise => optional(settings.peer_advertise),
        Name::ControlAdvertise => optional(settings.control_advertise),
        Name::Statsd => optional(settings.statsd),
        Name::Otlp => optional(settings.otlp),
        Name::TracePer10k => settings.trace_per_10k.to_string(),
        Name::ShutdownGrace => settings.shutdown_grace.as_secs().to_string(),
        Name::LogLevel => settings.log_level.to_string().to_lowercase(),
        Name::LogFormat => log_format(settings.log_format).to_owned(),
        Name::Seed => settings.seed.to_string(),
    }
}

fn list(addresses: &[SocketAddr]) -> String {
    if addresses.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(",")
}

fn optional(address: Option<SocketAddr>) -> String {
    address.map_or_else(|| "none".to_owned(), |address| address.to_string())
}

const fn log_format(format: LogFormat) -> &'static str {
    match format {
        LogFormat::Text => "text",
        LogFormat::Json => "json",
    }
}
