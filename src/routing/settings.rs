//! Settings of one router.

use std::time::Duration;

/// How a router chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Candidates drawn in all, where there are so many.
    pub candidates: usize,
    /// Candidates drawn in the own availability zone.
    pub zone_candidates: usize,
    /// Candidates drawn in the other availability zones of the own region.
    pub region_candidates: usize,
    /// Candidates drawn in other regions.
    pub remote_candidates: usize,
    /// One-way latency within an availability zone.
    pub zone_latency: Duration,
    /// One-way latency between availability zones of a region.
    pub region_latency: Duration,
    /// One-way latency between regions.
    pub remote_latency: Duration,
    /// Share of the expected time that a call to another region must save.
    pub remote_min_saving: f64,
    /// Time that a call to another region must save beside, for its bytes.
    pub remote_penalty: Duration,
    /// Time that an answer past its objective counts as longer.
    pub lateness_penalty: Duration,
    /// Bytes a second that the node may send to each other region.
    pub remote_bytes_per_s: f64,
    /// Service time assumed before the first report.
    pub initial_service_time: Duration,
    /// Age, in service times, at which half of the deviation of the reported
    /// calls from the mean is forgotten.
    pub load_half_life: f64,
    /// Age at which half of the deviation of the reported service time from the
    /// mean is forgotten.
    pub service_time_half_life: Duration,
    /// Time without an answer, in service times, that makes calls in flight
    /// count as slow.
    pub stall_min: f64,
    /// Share of the service time that a fully used backend server adds to it.
    pub contention_factor: f64,
    /// Age after which a report counts as missing.
    pub report_lifetime: Duration,
    /// First time without new calls after a gate said that it takes none;
    /// doubles with each that follows at once.
    pub backoff_min: Duration,
    /// Longest time without new calls.
    pub backoff_max: Duration,
    /// Failures in a row that eject a backend server.
    pub consecutive_failures: u32,
    /// First time of an ejection; doubles with each that follows at once.
    pub ejection_min: Duration,
    /// Longest time of an ejection.
    pub ejection_max: Duration,
    /// Largest share of a service's backend servers that may be ejected.
    pub max_ejected_share: f64,
    /// Retries and recalls per call.
    pub retry_ratio: f64,
    /// Retries a second that are always allowed.
    pub retry_floor_per_s: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Shortest time in a queue after which a call is recalled, in service times.
    pub recall_min: f64,
    /// Retries that must be saved up for a recall to be planned.
    pub recall_min_tokens: f64,
    /// Least time beyond the expected wait for which a call may wait at a gate
    /// while there are others.
    pub queue_timeout_min: Duration,
    /// Longest such time. Less than the least lets calls wait without bound.
    pub queue_timeout_max: Duration,
    /// Second copies per call.
    pub hedge_ratio: f64,
    /// Second copies that may be saved up.
    pub hedge_burst: f64,
    /// Bytes a second spent on probes.
    pub probe_bytes_per_s: f64,
    /// Bytes that one probe and its answer take.
    pub probe_bytes: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            candidates: 3,
            zone_candidates: 2,
            region_candidates: 1,
            remote_candidates: 1,
            zone_latency: Duration::from_micros(200),
            region_latency: Duration::from_millis(1),
            remote_latency: Duration::from_millis(20),
            remote_min_saving: 0.1,
            remote_penalty: Duration::ZERO,
            lateness_penalty: Duration::ZERO,
            remote_bytes_per_s: 2_000_000.0,
            initial_service_time: Duration::from_millis(10),
            load_half_life: 0.25,
            service_time_half_life: Duration::from_millis(5),
            stall_min: 2.0,
            contention_factor: 0.25,
            report_lifetime: Duration::from_secs(1),
            backoff_min: Duration::from_millis(250),
            backoff_max: Duration::from_secs(4),
            consecutive_failures: 3,
            ejection_min: Duration::from_secs(1),
            ejection_max: Duration::from_secs(30),
            max_ejected_share: 0.5,
            retry_ratio: 0.04,
            retry_floor_per_s: 1.0,
            retry_burst: 10.0,
            recall_min: 1.0,
            recall_min_tokens: 5.0,
            queue_timeout_min: Duration::from_millis(5),
            queue_timeout_max: Duration::ZERO,
            hedge_ratio: 0.01,
            hedge_burst: 5.0,
            probe_bytes_per_s: 2_000.0,
            probe_bytes: 300.0,
        }
    }
}
