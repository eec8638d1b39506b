//! How long an upstream runs a request, from the service-time factor that it reports.
//!
//! The factor changes several times a second, so that the average time that a slot is held lags behind it. Whether an
//! upstream on a slow machine reports a factor above 100 all the time or counts from its own usual time is not known:
//! only the ratio of the factor to its own average is used, together with the average run time.

use std::time::{Duration, Instant};

/// Weight of one run in the average run time: it is of about 100 runs, in which the variation of the work cancels out.
const RUN_WEIGHT: f64 = 0.01;
/// Time constant of the average factor: many spells of a slower machine, whatever the number of answers in each.
const FACTOR_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Age of a factor from which it tells nothing: the spells that change it last about as long.
const FACTOR_LIFETIME: Duration = Duration::from_millis(600);
/// Limits of a plausible report: the longest run, and the highest ratio in hundredths.
const MAX_RUN_US: u32 = 600_000_000;
const MAX_PERCENT: u32 = 10_000;

/// Run time of an upstream as reported to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTime {
    /// Average run time, in microseconds.
    pub run_us: u32,
    /// Latest factor, in hundredths of its average.
    pub percent: u32,
    /// Age of that factor in milliseconds.
    pub age_ms: u32,
}

impl ServiceTime {
    /// A report from figures of another node; `None` if they can't be of a node.
    pub fn checked(run_us: u32, percent: u32, age_ms: u32) -> Option<Self> {
        let plausible = run_us <= MAX_RUN_US && (1..=MAX_PERCENT).contains(&percent);
        plausible.then_some(Self { run_us, percent, age_ms })
    }

    /// Expected run time of a request that is sent `age` after the report; the older the factor, the less it counts.
    pub fn run_time(&self, age: Duration) -> Duration {
        let age = age.saturating_add(Duration::from_millis(self.age_ms.into()));
        let weight = 1.0 - age.as_secs_f64() / FACTOR_LIFETIME.as_secs_f64();
        let ratio = f64::from(self.percent) / 100.0;
        let factor = 1.0 + (ratio - 1.0) * weight.max(0.0);
        Duration::from_secs_f64(f64::from(self.run_us) / 1e6 * factor)
    }
}

/// The averages of one upstream, and its latest factor.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTimes {
    latest: Option<(f64, Instant)>,
    first_at: Option<Instant>,
    mean_factor: f64,
    /// Average run time at a factor of one, in seconds.
    unit_secs: f64,
    runs: u32,
}

impl ServiceTimes {
    /// Records a reported factor.
    pub fn record_factor(&mut self, factor: f64, now: Instant) {
        let first_at = *self.first_at.get_or_insert(now);
        let weight = self.latest.map_or(1.0, |(_, at)| {
            let passed = now.saturating_duration_since(at).as_secs_f64();
            let known = now.saturating_duration_since(first_at).min(FACTOR_TIME_CONSTANT);
            if known.is_zero() { 0.0 } else { passed.min(1.0) / known.as_secs_f64() }
        });
        self.mean_factor += (factor - self.mean_factor) * weight.min(1.0);
        self.latest = Some((factor, now));
    }

    /// Records the time of a run that ended normally.
    pub fn record_run(&mut self, held: Duration) {
        if let Some((factor, _)) = self.latest {
            self.runs = self.runs.saturating_add(1);
            let weight = RUN_WEIGHT.max(1.0 / f64::from(self.runs));
            self.unit_secs += (held.as_secs_f64() / factor - self.unit_secs) * weight;
        }
    }

    /// The latest factor and its age.
    pub fn latest(&self, now: Instant) -> Option<(f64, Duration)> {
        self.latest.map(|(factor, at)| (factor, now.saturating_duration_since(at)))
    }

    /// The report for other nodes; `None` if the upstream has reported no factor, or has run nothing since.
    pub fn report(&self, now: Instant) -> Option<ServiceTime> {
        let (factor, age) = self.latest(now)?;
        if self.runs == 0 {
            return None;
        }
        let run_us = (self.unit_secs * self.mean_factor * 1e6).min(f64::from(MAX_RUN_US));
        let percent = (factor / self.mean_factor * 100.0).round();
        Some(ServiceTime {
            run_us: run_us as u32,
            percent: percent.clamp(1.0, f64::from(MAX_PERCENT)) as u32,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}
