//! At-most-once execution of requests with an idempotency key.
//!
//! A request with a key runs only at the key's holder, which is one incarnation of a node. A ticket names its holder,
//! so no agreement is needed. The holder of a plain key is decided by the platform's log: the first claim in log order
//! wins. The holder keeps the outcome of each key in memory; once it is gone, no other node ever runs its keys.

mod claims;
mod key;
mod records;

pub use claims::{Claim, Claims};
pub use key::{Holder, Key};
pub use records::{Action, KeyRecords, Outcome};
