//! Settings of roll-outs.

use std::time::Duration;

/// Limits on the exposure of a version that may be bad, and how sure a rollback has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Largest share of a service's calls, 0 to 1, that a bad version may get within the period.
    pub exposure_share: f64,
    /// Calls that a bad version may get in addition.
    pub exposure_slack: u32,
    /// Shares of the calls for the target version, in steps that follow its answers.
    pub canary_steps: [CanaryStep; 2],
    /// Probability that a version as good as the old one is rolled back.
    pub false_rollback_probability: f64,
    /// Answers of the target version that a cutover requires.
    pub answers_min: u64,
    /// Answers of the target version during the cutover that the end requires.
    pub cutover_answers_min: u64,
    /// Longest cutover, as a share of the period.
    pub cutover_share_max: f64,
    /// Shortest cutover.
    pub cutover_min: Duration,
    /// Age from which the report of a gate does not count as current.
    pub report_lifetime: Duration,
    /// Longest wait for calls of the old version, after which the roll-out is done regardless.
    pub drain_timeout: Duration,
}

/// A share of the calls, given once the target version has answered often enough.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryStep {
    /// Answers of the target version.
    pub answers: u64,
    /// Part of the calls, 0 to 1, that a bad version may get.
    pub share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let step = |answers, share| CanaryStep { answers, share };
        Self {
            exposure_share: 0.1,
            exposure_slack: 50,
            canary_steps: [step(0, 0.2), step(10, 0.42)],
            false_rollback_probability: 0.002,
            answers_min: 10,
            cutover_answers_min: 40,
            cutover_share_max: 0.35,
            cutover_min: Duration::from_millis(400),
            report_lifetime: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(5),
        }
    }
}
