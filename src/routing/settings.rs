//! Settings of a [`Router`](super::Router) with their defaults.

use std::time::Duration;

/// Tuning parameters of backend selection, outlier ejection, retries and probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Target number of candidates per call; fewer if fewer are eligible.
    pub candidates: usize,
    /// Candidates sampled from the node's own availability zone.
    pub zone_candidates: usize,
    /// Candidates sampled from the other availability zones of the node's region.
    pub region_candidates: usize,
    /// Candidates sampled from other regions.
    pub remote_candidates: usize,
    /// Backend servers of one service and availability zone from which candidates are sampled,
    /// in the node's own availability zone.
    pub zone_subset: usize,
    /// The same for each other availability zone of the node's region.
    pub region_subset: usize,
    /// The same for each availability zone of other regions.
    pub remote_subset: usize,
    /// One-way latency within an availability zone.
    pub zone_latency: Duration,
    /// One-way latency between availability zones of a region.
    pub region_latency: Duration,
    /// One-way latency between regions.
    pub remote_latency: Duration,
    /// Share of the expected time, 0 to 1, that sending a call to another region must save.
    pub remote_min_saving: f64,
    /// Time that sending a call to another region must save in addition, for the bytes it sends.
    pub remote_penalty: Duration,
    /// Time added to the cost of a call whose response is certain to miss its objective.
    pub lateness_penalty: Duration,
    /// Bytes per second that the node may send to each other region.
    pub remote_bytes_per_s: f64,
    /// Service time assumed before the first load report.
    pub initial_service_time: Duration,
    /// Half-life, in mean service times, of the difference between the reported number of calls
    /// and the mean of the service.
    pub load_half_life: f64,
    /// Half-life of the difference between the reported service time and the mean of the
    /// service.
    pub service_time_half_life: Duration,
    /// Time without a response, in service times, after which calls in flight count as
    /// stalled.
    pub stall_min: f64,
    /// Share of the service time that is added to the cost of a fully utilized backend server.
    pub contention_factor: f64,
    /// Age after which a load report counts as missing and the backend server is probed.
    pub report_lifetime: Duration,
    /// First backoff after a gate stopped accepting calls; doubles with each consecutive
    /// backoff.
    pub backoff_min: Duration,
    /// Longest backoff.
    pub backoff_max: Duration,
    /// Consecutive failures after which a backend server is ejected.
    pub consecutive_failures: u32,
    /// First ejection time; doubles with each consecutive ejection.
    pub ejection_min: Duration,
    /// Longest ejection time.
    pub ejection_max: Duration,
    /// Largest share of a service's backend servers, 0 to 1, that may be ejected at once.
    pub max_ejected_share: f64,
    /// Tokens that each call adds to the retry budget, which also pays for recalls.
    pub retry_ratio: f64,
    /// Retries per second that are allowed independently of the call rate.
    pub retry_floor_per_s: f64,
    /// Capacity of the retry budget.
    pub retry_burst: f64,
    /// Shortest queueing time, in service times, after which a call is recalled.
    pub recall_min: f64,
    /// Tokens that the retry budget must hold before a recall is scheduled.
    pub recall_min_tokens: f64,
    /// Shortest time beyond the expected queueing time that a call may queue at a gate while
    /// there are other candidates.
    pub queue_timeout_min: Duration,
    /// Longest such time. A value below `queue_timeout_min` disables the queue timeout.
    pub queue_timeout_max: Duration,
    /// Tokens that each call adds to the budget of hedged requests.
    pub hedge_ratio: f64,
    /// Capacity of the budget of hedged requests.
    pub hedge_burst: f64,
    /// Bytes per second that may be spent on probes.
    pub probe_bytes_per_s: f64,
    /// Bytes assumed for one probe and its reply.
    pub probe_bytes: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            candidates: 3,
            zone_candidates: 2,
            region_candidates: 1,
            remote_candidates: 1,
            zone_subset: 4,
            region_subset: 2,
            remote_subset: 1,
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
