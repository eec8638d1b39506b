//! Retries, bounded per call tree of a root request and across the cluster.
//!
//! A root request has a retry allowance. It is split between the calls of its tree and never copied, and an answer
//! returns the unspent part, so the retries of a tree of any depth and width are at most the root's allowance. A
//! token bucket per service bounds retries as a share of first attempts, however many callers retry.

mod bucket;
mod budget;
mod decide;

pub use bucket::RetryBucket;
pub use budget::{RetryAllowance, RetryBudget};
pub use decide::{Decision, Failure, StopReason, decide};
