//! What an upstream saw: the record that tests trust.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of one upstream since it started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Witness {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that got a slot.
    pub started: u64,
    /// Requests that were answered whole.
    pub finished: u64,
    /// Requests whose caller left while they held a slot.
    pub cancelled: u64,
    /// Requests refused before they started.
    pub refused: u64,
    /// Requests that failed because a call they made failed.
    pub failed: u64,
    /// Microseconds that slots were held.
    pub held: u64,
    /// Runs by the request id of the caller.
    pub runs: BTreeMap<String, u32>,
    /// Arrivals by the request id of the caller.
    pub arrivals: BTreeMap<String, u32>,
    /// Microseconds of work, without the time spent waiting for others, by the request id of the caller.
    pub work: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Milliseconds after the start of the process at which the last run started.
    pub last: u64,
}

impl Witness {
    /// Counts an arrival.
    pub fn arrive(&mut self, id: Option<&str>) {
        self.arrived += 1;
        if let Some(id) = id {
            *self.arrivals.entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Counts the start of a run.
    pub fn start(&mut self, id: Option<&str>, key: Option<&str>, at: u64) {
        self.started += 1;
        self.last = at;
        if let Some(id) = id {
            *self.runs.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = key {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }
}
