//! The same metrics as text, for a platform that fetches them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

use super::{Name, PREFIX, Tag, Unit};

/// Upper ends of the buckets of times, in seconds.
const BUCKETS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// Counters, levels and histograms that are kept until they are fetched.
pub struct Scrape {
    registry: Registry,
    counters: BTreeMap<Name, IntCounterVec>,
    gauges: BTreeMap<Name, IntGaugeVec>,
    times: BTreeMap<Name, HistogramVec>,
}

impl fmt::Debug for Scrape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Scrape").finish_non_exhaustive()
    }
}

impl Scrape {
    /// Every metric of the list, at zero.
    ///
    /// # Errors
    ///
    /// Fails when the list holds a name twice.
    pub fn new() -> crate::Result<Self> {
        let mut scrape = Self {
            registry: Registry::new(),
            counters: BTreeMap::new(),
            gauges: BTreeMap::new(),
            times: BTreeMap::new(),
        };
        for &name in Name::ALL {
            scrape.add(name).map_err(|error| {
                crate::Error::Metrics(format!("{} cannot be kept: {error}", name.as_str()))
            })?;
        }
        Ok(scrape)
    }

    /// Everything as text.
    #[must_use]
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        // The encoder fails only for families without a metric, which are left out.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    pub(super) fn count(&self, name: Name, count: u64, tags: &[Tag]) {
        if let Some(counter) = self.counters.get(&name)
            && let Ok(counter) = counter.get_metric_with_label_values(&values(tags))
        {
            counter.inc_by(count);
        }
    }

    pub(super) fn gauge(&self, name: Name, value: u64, tags: &[Tag]) {
        if let Some(gauge) = self.gauges.get(&name)
            && let Ok(gauge) = gauge.get_metric_with_label_values(&values(tags))
        {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    pub(super) fn time(&self, name: Name, duration: Duration, tags: &[Tag]) {
        if let Some(times) = self.times.get(&name)
            && let Ok(times) = times.get_metric_with_label_values(&values(tags))
        {
            times.observe(duration.as_secs_f64());
        }
    }

    fn add(&mut self, name: Name) -> prometheus::Result<()> {
        let text = text_name(name);
        match name.unit() {
            Unit::Count => {
                let counter = IntCounterVec::new(Opts::new(text, name.help()), name.tags())?;
                self.registry.register(Box::new(counter.clone()))?;
                self.counters.insert(name, counter);
            }
            Unit::Micros => {
                let options = HistogramOpts::new(text, name.help()).buckets(BUCKETS_S.to_vec());
                let times = HistogramVec::new(options, name.tags())?;
                self.registry.register(Box::new(times.clone()))?;
                self.times.insert(name, times);
            }
            Unit::Level | Unit::Seconds | Unit::ByteLevel | Unit::CoreShare => {
                let gauge = IntGaugeVec::new(Opts::new(text, name.help()), name.tags())?;
                self.registry.register(Box::new(gauge.clone()))?;
                self.gauges.insert(name, gauge);
            }
        }
        Ok(())
    }
}

/// Name in the text, with the unit that the text format expects.
#[must_use]
pub fn text_name(name: Name) -> String {
    let plain = name.as_str().replace('.', "_");
    let unit = match name.unit() {
        Unit::Count => "_total",
        Unit::Micros | Unit::Seconds => "_seconds",
        Unit::ByteLevel => "_bytes",
        Unit::Level | Unit::CoreShare => "",
    };
    format!("{PREFIX}_{plain}{unit}")
}

fn values<'a>(tags: &[Tag<'a>]) -> Vec<&'a str> {
    tags.iter().map(|tag| tag.value).collect()
}
