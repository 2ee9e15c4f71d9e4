//! The list of settings.

/// One setting of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// `--instance`
    Instance,
    /// `--service`
    Service,
    /// `--region`
    Region,
    /// `--availability-zone`
    AvailabilityZone,
    /// `--backend-server`
    BackendServer,
    /// `--store`
    Store,
    /// `--join`
    Join,
    /// `--caller-listen`
    CallerListen,
    /// `--peer-listen`
    PeerListen,
    /// `--control-listen`
    ControlListen,
    /// `--caller-advertise`
    CallerAdvertise,
    /// `--peer-advertise`
    PeerAdvertise,
    /// `--control-advertise`
    ControlAdvertise,
    /// `--statsd`
    Statsd,
    /// `--otlp`
    Otlp,
    /// `--trace-per-10k`
    TracePer10k,
    /// `--shutdown-grace`
    ShutdownGrace,
    /// `--log-level`
    LogLevel,
    /// `--log-format`
    LogFormat,
    /// `--seed`
    Seed,
}

impl Name {
    /// Every setting in the order it is shown.
    pub const ALL: [Self; 20] = [
        Self::Instance,
        Self::Service,
        Self::Region,
        Self::AvailabilityZone,
        Self::BackendServer,
        Self::Store,
        Self::Join,
        Self::CallerListen,
        Self::PeerListen,
        Self::ControlListen,
        Self::CallerAdvertise,
        Self::PeerAdvertise,
        Self::ControlAdvertise,
        Self::Statsd,
        Self::Otlp,
        Self::TracePer10k,
        Self::ShutdownGrace,
        Self::LogLevel,
        Self::LogFormat,
        Self::Seed,
    ];

    /// Long flag without its dashes.
    #[must_use]
    pub const fn flag(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            Self::Service => "service",
            Self::Region => "region",
            Self::AvailabilityZone => "availability-zone",
            Self::BackendServer => "backend-server",
            Self::Store => "store",
            Self::Join => "join",
            Self::CallerListen => "caller-listen",
            Self::PeerListen => "peer-listen",
            Self::ControlListen => "control-listen",
            Self::CallerAdvertise => "caller-advertise",
            Self::PeerAdvertise => "peer-advertise",
            Self::ControlAdvertise => "control-advertise",
            Self::Statsd => "statsd",
            Self::Otlp => "otlp",
            Self::TracePer10k => "trace-per-10k",
            Self::ShutdownGrace => "shutdown-grace",
            Self::LogLevel => "log-level",
            Self::LogFormat => "log-format",
            Self::Seed => "seed",
        }
    }

    /// Environment variable that is read when the flag is absent.
    #[must_use]
    pub fn variable(self) -> String {
        let name = self.flag().replace('-', "_").to_uppercase();
        format!("{}{name}", Self::VARIABLE_PREFIX)
    }

    /// Start of every environment variable of a node.
    pub const VARIABLE_PREFIX: &'static str = "MONSOONCOVE_";

    /// Shape of the value.
    #[must_use]
    pub const fn value(self) -> &'static str {
        match self {
            Self::Instance | Self::Service | Self::Region | Self::AvailabilityZone => "NAME",
            Self::BackendServer
            | Self::Store
            | Self::CallerListen
            | Self::PeerListen
            | Self::ControlListen
            | Self::CallerAdvertise
            | Self::PeerAdvertise
            | Self::ControlAdvertise
            | Self::Statsd
            | Self::Otlp => "IP:PORT",
            Self::Join => "IP:PORT,…",
            Self::TracePer10k | Self::Seed => "NUMBER",
            Self::ShutdownGrace => "SECONDS",
            Self::LogLevel => "LEVEL",
            Self::LogFormat => "FORMAT",
        }
    }

    /// What the setting does, in one line.
    #[must_use]
    pub const fn help(self) -> &'static str {
        match self {
            Self::Instance => "Unique name of this instance",
            Self::Service => "Service of the backend server beside this node",
            Self::Region => "Region this instance runs in",
            Self::AvailabilityZone => "Availability zone this instance runs in",
            Self::BackendServer => "Address of the backend server",
            Self::Store => "Address of the platform's key-value service",
            Self::Join => "Control addresses of nodes to learn from while the store is down",
            Self::CallerListen => "Where callers are accepted",
            Self::PeerListen => "Where calls from other nodes are accepted",
            Self::ControlListen => "Where other nodes and the sheet tool reach the control service",
            Self::CallerAdvertise => "Announced address for callers, if not the bound one",
            Self::PeerAdvertise => "Announced address for calls, if not the bound one",
            Self::ControlAdvertise => "Announced address for control, if not the bound one",
            Self::Statsd => "Send metrics to this statsd collector over UDP",
            Self::Otlp => "Send traces to this OTLP/HTTP collector",
            Self::TracePer10k => "Traces kept out of 10,000 calls; failed calls are always kept",
            Self::ShutdownGrace => "Longest time a graceful shutdown may take",
            Self::LogLevel => "Least severe lines to log: off, error, warn, info, debug",
            Self::LogFormat => "Shape of log lines on standard error: text or json",
            Self::Seed => "Seed of routing decisions; drawn from the instance name if absent",
        }
    }

    /// Value used when neither flag nor variable is given.
    #[must_use]
    pub const fn default(self) -> Option<&'static str> {
        match self {
            Self::CallerListen | Self::PeerListen | Self::ControlListen => Some("127.0.0.1:0"),
            Self::TracePer10k => Some("0"),
            Self::ShutdownGrace => Some("30"),
            Self::LogLevel => Some("info"),
            Self::LogFormat => Some("text"),
            _ => None,
        }
    }

    /// Whether a node cannot start without it.
    #[must_use]
    pub const fn is_required(self) -> bool {
        matches!(
            self,
            Self::Instance
                | Self::Service
                | Self::Region
                | Self::AvailabilityZone
                | Self::BackendServer
                | Self::Store
        )
    }
}
