//! Quarantine of requests that crash the upstreams that run them.
//!
//! Every request in flight at an upstream that crashes is a suspect. A suspect of two crashes that no upstream has
//! answered since the first is quarantined: it is refused before it can reach a third upstream. Other requests that
//! were in flight are cleared of the crash by the next answer to a request with the same fingerprint. A later crash
//! counts anew: what a request does may change with the upstream's version or data.

mod fingerprint;
mod table;

pub use fingerprint::Fingerprint;
pub use table::{Crash, SavedCrash, Suspect, SuspectTable, SuspectUpdate};
