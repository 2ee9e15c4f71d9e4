//! The list of metrics; docs/METRICS.md is checked against it.

use std::fmt;

/// Unit of a metric's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Events since the last line.
    Count,
    /// Level at the time of the line.
    Level,
    /// Microseconds.
    Micros,
    /// Seconds.
    Seconds,
    /// Bytes at the time of the line.
    ByteLevel,
    /// Parts of 10,000 of one core.
    CoreShare,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Count => "events",
            Self::Level => "number",
            Self::Micros => "µs",
            Self::Seconds => "s",
            Self::ByteLevel => "bytes",
            Self::CoreShare => "1/10,000 of a core",
        })
    }
}

macro_rules! names {
    ($($variant:ident, $name:literal, $unit:ident, [$($tag:literal),*], $help:literal;)+) => {
        /// A metric.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Name {
            $(#[doc = $help] $variant,)+
        }

        impl Name {
            /// Every metric in the order it is listed.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Name after the prefix.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }

            /// Unit of the value.
            #[must_use]
            pub const fn unit(self) -> Unit {
                match self { $(Self::$variant => Unit::$unit,)+ }
            }

            /// Tags besides `instance` and `zone`, which every line has.
            #[must_use]
            pub const fn tags(self) -> &'static [&'static str] {
                match self { $(Self::$variant => &[$($tag),*],)+ }
            }

            /// What it tells.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$variant => $help,)+ }
            }
        }
    };
}

names! {
    CallReceived, "call.received", Count, [], "Calls that reached this entry";
    CallAnswered, "call.answered", Count, ["route"], "Calls answered by a backend server";
    CallRefused, "call.refused", Count, ["route", "reason"], "Calls refused as not run";
    CallUnknown, "call.unknown", Count, ["route"], "Calls that ended with outcome unknown";
    CallCancelled, "call.cancelled", Count, [], "Calls whose caller went away";
    CallAttempts, "call.attempts", Count, [], "Attempts beyond the first";
    CallRecalled, "call.recalled", Count, [], "Queued calls withdrawn from a slow gate";
    CallHedged, "call.hedged", Count, [], "Second copies of slow calls that were sent";
    HedgeWon, "call.hedge_won", Count, [], "Second copies that were answered first";
    AnswerCut, "answer.cut", Count, [], "Answers cut after their head";
    CallerRejected, "caller.rejected", Count, [], "Connections of callers refused or cut for what they sent";
    CallTime, "call.time", Micros, ["route"], "Time from request to the end of the answer";
    GateAdmitted, "gate.admitted", Count, [], "Calls handed to the backend server";
    Refused, "refused", Count, ["reason"], "Refusals of this node as entry or gate, retried ones included";
    GateQueueTime, "gate.queue_time", Micros, [], "Time admitted calls waited";
    GateServiceTime, "gate.service_time", Micros, [], "Time calls spent in the backend server";
    GateInHand, "gate.in_hand", Level, [], "Calls in the backend server";
    GateQueued, "gate.queued", Level, [], "Calls that wait";
    GateLimit, "gate.limit", Level, [], "Calls admitted at the same time";
    GateState, "gate.state", Level, ["state"], "1 for the life-cycle state the gate is in";
    PeerOpened, "peer.opened", Count, [], "Links opened to other nodes";
    PeerRejected, "peer.rejected", Count, [], "Links closed for what the other side sent";
    PeerDropped, "peer.dropped", Count, [], "Late, doubled or malformed frames dropped";
    PlanVersion, "plan.version", Level, [], "Version of the plan in force";
    PlanAge, "plan.age", Seconds, [], "Time since the plan in force was taken up";
    ViewInstances, "view.instances", Level, [], "Instances known";
    ControlCpu, "control.cpu", CoreShare, [], "Processor time spent on control";
    Memory, "memory.resident", ByteLevel, [], "Resident memory of the node";
}
