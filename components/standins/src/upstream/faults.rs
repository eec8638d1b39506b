//! Faults that can be injected into a running upstream.

use serde::{Deserialize, Serialize};

/// Faults of an upstream; none by default.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor of the service times.
    pub slow: f64,
    /// Refuse requests that would have to wait for a slot.
    pub shed: bool,
    /// Share of requests to refuse, selected by a hash of their `baggage` header.
    pub refuse: f64,
    /// Announce that the upstream is draining.
    pub drain: bool,
    /// Report this number of busy slots instead of the actual one.
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

/// Response of the load endpoint.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Total number of slots.
    pub slots: u32,
}
