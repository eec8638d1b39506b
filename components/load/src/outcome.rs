//! Results of the requests of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::AttemptResult;

/// Time covered by one bucket of a timeline.
pub const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// Upper bound of the latency histogram.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of the requests of a mix that arrived within one tenth of a second.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Bucket {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests with a complete response of their own.
    #[serde(rename = "whole")]
    pub succeeded: u64,
    /// Latencies of these, in microseconds.
    #[serde(rename = "latency")]
    pub latencies_us: Vec<u32>,
}

/// Results of one mix.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Name of the mix.
    pub name: String,
    /// Requests, each counted once however often it was sent.
    pub requests: u64,
    /// Attempts.
    pub sent: u64,
    /// Requests with a complete response of their own.
    #[serde(rename = "whole")]
    pub succeeded: u64,
    /// Requests that got the response to another request.
    #[serde(rename = "crossed")]
    pub mismatched: u64,
    /// Failed requests by the reason of the last attempt.
    pub failed: BTreeMap<String, u64>,
    /// Failed requests by the verdict of the last attempt.
    pub verdicts: BTreeMap<String, u64>,
    /// Ids of failed requests.
    #[serde(rename = "lost")]
    pub failed_ids: Vec<String>,
    /// Ids of failed requests whose every attempt had the verdict `not-run`.
    #[serde(rename = "unrun")]
    pub not_run: Vec<String>,
    /// Latency of complete responses in microseconds: 50th, 90th and 99th percentile, and maximum.
    #[serde(rename = "latency")]
    pub latency_us: [u64; 4],
    /// Results by time of arrival.
    #[serde(rename = "line")]
    pub timeline: Vec<Bucket>,
}

/// Collects the results of one mix while it runs.
#[derive(Debug, Clone)]
pub struct Recorder {
    summary: Summary,
    latency: Histogram<u64>,
}

impl Recorder {
    /// Creates a recorder without requests.
    pub fn new(name: &str) -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        let summary = Summary {
            name: name.to_owned(),
            requests: 0,
            sent: 0,
            succeeded: 0,
            mismatched: 0,
            failed: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            failed_ids: Vec::new(),
            not_run: Vec::new(),
            latency_us: [0; 4],
            timeline: Vec::new(),
        };
        Self {
            summary,
            latency: latency.unwrap_or_else(|_| unreachable!("the bounds are in order")),
        }
    }

    /// Records a request that has ended: its time of arrival, its latency, and its attempts.
    pub fn record(
        &mut self,
        id: &str,
        arrival: Duration,
        latency: Duration,
        attempts: &[AttemptResult],
    ) {
        let summary = &mut self.summary;
        summary.requests += 1;
        summary.sent += attempts.len() as u64;
        let index = (arrival.as_micros() / BUCKET_WIDTH.as_micros()) as usize;
        if summary.timeline.len() <= index {
            summary.timeline.resize(index + 1, Bucket::default());
        }
        let bucket = &mut summary.timeline[index];
        bucket.arrived += 1;
        let last = attempts.last().cloned().unwrap_or(AttemptResult::ConnectionLost);
        let (reason, verdict) = match last {
            AttemptResult::Complete => {
                let micros = latency.as_micros() as u64;
                summary.succeeded += 1;
                bucket.succeeded += 1;
                bucket.latencies_us.push(micros.min(u64::from(u32::MAX)) as u32);
                self.latency.saturating_record(micros);
                return;
            }
            AttemptResult::Mismatched => {
                summary.mismatched += 1;
                ("crossed".to_owned(), "ran".to_owned())
            }
            AttemptResult::Refused { reason, verdict } => (reason, verdict),
            AttemptResult::TimedOut => ("caller-timeout".to_owned(), "unknown".to_owned()),
            AttemptResult::ConnectionLost => ("connection".to_owned(), "unknown".to_owned()),
        };
        summary.failed_ids.push(id.to_owned());
        if attempts.iter().all(AttemptResult::is_not_run) {
            summary.not_run.push(id.to_owned());
        }
        *summary.failed.entry(reason).or_default() += 1;
        *summary.verdicts.entry(verdict).or_default() += 1;
    }

    /// Returns the results.
    pub fn into_summary(mut self) -> Summary {
        let at = |quantile: f64| self.latency.value_at_quantile(quantile);
        self.summary.latency_us = [at(0.5), at(0.9), at(0.99), self.latency.max()];
        self.summary
    }
}
