//! What became of the requests of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::Tried;

/// Length of one entry of the time line.
pub const BUCKET: Duration = Duration::from_millis(100);
/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// A tenth of a second of one mix, by the arrival of its requests.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Bucket {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that got their whole answer.
    pub whole: u64,
    /// Latencies of whole answers, in microseconds.
    pub latency: Vec<u32>,
}

/// Figures of one mix.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Name of the mix.
    pub name: String,
    /// Requests, however often each was sent.
    pub requests: u64,
    /// Times that they were sent.
    pub sent: u64,
    /// Requests that got their whole answer.
    pub whole: u64,
    /// Requests that got the answer of another.
    pub crossed: u64,
    /// Requests that failed, by the reason of the last try.
    pub failed: BTreeMap<String, u64>,
    /// Requests that failed, by the verdict of the last try.
    pub verdicts: BTreeMap<String, u64>,
    /// Ids of requests that failed.
    pub lost: Vec<String>,
    /// Ids of requests whose every verdict was `not-run`.
    pub unrun: Vec<String>,
    /// Latency of whole answers in microseconds: median, 90th, 99th percentile and longest.
    pub latency: [u64; 4],
    /// The time line.
    pub line: Vec<Bucket>,
}

/// Figures of one mix while it runs.
#[derive(Debug, Clone)]
pub struct Outcome {
    summary: Summary,
    latency: Histogram<u64>,
}

impl Outcome {
    /// No requests yet.
    pub fn new(name: &str) -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST, DIGITS);
        let summary = Summary {
            name: name.to_owned(),
            requests: 0,
            sent: 0,
            whole: 0,
            crossed: 0,
            failed: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            lost: Vec::new(),
            unrun: Vec::new(),
            latency: [0; 4],
            line: Vec::new(),
        };
        Self {
            summary,
            latency: latency.unwrap_or_else(|_| unreachable!("the bounds are in order")),
        }
    }

    /// Takes the end of one request: when it arrived, how long it took, and its tries.
    pub fn add(&mut self, id: &str, arrived: Duration, took: Duration, tries: &[Tried]) {
        let summary = &mut self.summary;
        summary.requests += 1;
        summary.sent += tries.len() as u64;
        let index = (arrived.as_micros() / BUCKET.as_micros()) as usize;
        if summary.line.len() <= index {
            summary.line.resize(index + 1, Bucket::default());
        }
        let bucket = &mut summary.line[index];
        bucket.arrived += 1;
        let last = tries.last().cloned().unwrap_or(Tried::Lost);
        let (reason, verdict) = match last {
            Tried::Whole => {
                let micros = took.as_micros() as u64;
                summary.whole += 1;
                bucket.whole += 1;
                bucket.latency.push(micros.min(u64::from(u32::MAX)) as u32);
                self.latency.saturating_record(micros);
                return;
            }
            Tried::Crossed => {
                summary.crossed += 1;
                ("crossed".to_owned(), "ran".to_owned())
            }
            Tried::Refused { reason, verdict } => (reason, verdict),
            Tried::TimedOut => ("caller-timeout".to_owned(), "unknown".to_owned()),
            Tried::Lost => ("connection".to_owned(), "unknown".to_owned()),
        };
        summary.lost.push(id.to_owned());
        if tries.iter().all(Tried::is_unrun) {
            summary.unrun.push(id.to_owned());
        }
        *summary.failed.entry(reason).or_default() += 1;
        *summary.verdicts.entry(verdict).or_default() += 1;
    }

    /// The figures.
    pub fn summary(mut self) -> Summary {
        let at = |quantile: f64| self.latency.value_at_quantile(quantile);
        self.summary.latency = [at(0.5), at(0.9), at(0.99), self.latency.max()];
        self.summary
    }
}
