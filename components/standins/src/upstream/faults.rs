//! Faults of an upstream that can be switched on while it runs.

use serde::{Deserialize, Serialize};

/// Faults; the defaults are none.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service times are this many times as long.
    pub slow: f64,
    /// Refuse what would have to wait for a slot.
    pub shed: bool,
    /// Share of requests that are refused, by a hash of their id.
    pub refuse: f64,
    /// Announce that it takes no more work.
    pub drain: bool,
    /// Report this many busy slots, whatever the truth.
    pub lie: Option<u32>,
    /// Report the load of five seconds ago.
    pub lag: bool,
    /// Exit on a request with the header `standin-crash`.
    pub crash: bool,
    /// Stop announcing.
    pub mute: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            shed: false,
            refuse: 0.0,
            drain: false,
            lie: None,
            lag: false,
            crash: true,
            mute: false,
        }
    }
}

/// Answer of the load endpoint.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots in all.
    pub slots: u32,
}
