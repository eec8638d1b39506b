//! The record of a node as it is saved in the store, with what outlives all processes besides: crashes of its upstream.
//!
//! Other nodes hear of crashes in exchanges, so that these are not part of the record there.

use std::time::Duration;

use quarantine::{Fingerprint, SavedCrash};
use serde::{Deserialize, Serialize};

use super::shared::Shared;
use super::suspects;
use crate::decide::members::Record;
use crate::platform::{Platform, StoreError};

/// Most crashes in a record, of one request each: some two kilobytes.
pub const MAX_CRASHES: usize = 32;

#[derive(Serialize)]
struct SavedRecord<'a> {
    #[serde(flatten)]
    record: &'a Record,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<Crash>,
}

/// The part of a saved record that is read besides the node's own.
#[derive(Deserialize)]
struct SavedCrashes {
    #[serde(default)]
    crashes: Vec<Crash>,
}

/// A request that was in flight when the upstream of the node crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    #[serde(rename = "print")]
    fingerprint: u64,
    epoch: u64,
    /// Milliseconds since the epoch when the request last crashed an upstream, or was tried.
    #[serde(rename = "at")]
    at_ms: u64,
}

impl Crash {
    /// A crash whose request last crashed an upstream, or was tried, `age` ago.
    pub fn new(saved: SavedCrash, age: Duration, wall_ms: u64) -> Self {
        let at_ms = wall_ms.saturating_sub(age.as_millis() as u64);
        Self { fingerprint: saved.fingerprint.0, epoch: saved.epoch, at_ms }
    }

    /// The crash, and that time.
    pub fn read(self, wall_ms: u64) -> (SavedCrash, Duration) {
        let Self { fingerprint, epoch, at_ms } = self;
        let saved = SavedCrash { fingerprint: Fingerprint(fingerprint), epoch };
        (saved, Duration::from_millis(wall_ms.saturating_sub(at_ms)))
    }
}

/// Encodes this node's record.
pub fn encode<P: Platform>(shared: &Shared<P>, record: &Record) -> Result<Vec<u8>, StoreError> {
    let saved = SavedRecord { record, crashes: suspects::own_crashes(shared) };
    serde_json::to_vec(&saved).map_err(|err| StoreError::Unreadable(err.to_string()))
}

/// Decodes the crashes in a node's record.
pub fn decode_crashes(bytes: &[u8]) -> Result<Vec<Crash>, serde_json::Error> {
    let SavedCrashes { mut crashes } = serde_json::from_slice(bytes)?;
    crashes.truncate(MAX_CRASHES);
    Ok(crashes)
}
