//! Quarantine of requests that crash the upstreams that run them.
//!
//! Every request in flight at an upstream that crashes is a suspect. A suspect of two crashes that no upstream has
//! answered since the first is quarantined: it is refused before it can reach a third upstream. Other requests that
//! were in flight are cleared by the next answer to a request with the same fingerprint.

mod fingerprint;
mod table;

pub use fingerprint::Fingerprint;
pub use table::{Crash, Suspect, SuspectTable, SuspectUpdate};
