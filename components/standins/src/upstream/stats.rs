//! Counts of the requests that an upstream has received and run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of one upstream since its start.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Requests received.
    pub arrived: u64,
    /// Requests that got a slot.
    pub started: u64,
    /// Requests with a successful response.
    pub finished: u64,
    /// Requests whose caller disconnected while they held a slot.
    pub cancelled: u64,
    /// Requests refused before they started.
    pub refused: u64,
    /// Requests that failed because one of their own calls failed.
    pub failed: u64,
    /// Time that slots were held, in microseconds.
    #[serde(rename = "held")]
    pub held_us: u64,
    /// Runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests received by request id.
    pub arrivals: BTreeMap<String, u32>,
    /// Service time in microseconds by request id, without the time of the request's own calls.
    #[serde(rename = "work")]
    pub work_us: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Start of the last run in milliseconds since the start of the upstream.
    #[serde(rename = "last")]
    pub last_start: u64,
}

impl Stats {
    /// Counts a received request.
    pub fn record_arrival(&mut self, id: Option<&str>) {
        self.arrived += 1;
        if let Some(id) = id {
            *self.arrivals.entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Counts the start of a run, `at` milliseconds since the start of the upstream.
    pub fn record_start(&mut self, id: Option<&str>, key: Option<&str>, at: u64) {
        self.started += 1;
        self.last_start = at;
        if let Some(id) = id {
            *self.runs.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = key {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }
}
