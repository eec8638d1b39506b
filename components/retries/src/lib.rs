//! Retries, bounded over the whole tree of a root request and over the fleet.
//!
//! A root request has an allowance. It is split between the calls of its tree and never copied, and an answer
//! returns what was not spent, so the retries of a tree of any depth and width are at most the root's allowance. A
//! token bucket for each service bounds retries as a share of first tries, however many callers send again.

mod account;
mod bucket;
mod decide;

pub use account::{Account, Allowance};
pub use bucket::Bucket;
pub use decide::{Choice, Failure, Stop, decide};
