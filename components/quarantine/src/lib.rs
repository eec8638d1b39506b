//! Requests that crash the upstreams that run them.
//!
//! Every request in flight at an upstream that dies is a suspect. One that was in flight at two deaths, and has not
//! been answered by anybody since the first, is in quarantine: it is refused before it can reach a third upstream.
//! Requests that only happened to be there are cleared by the next answer to a request like them.

mod fingerprint;
mod table;

pub use fingerprint::Fingerprint;
pub use table::{Death, Entry, Table, Told};
