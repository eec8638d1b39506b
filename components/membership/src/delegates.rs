//! Which members speak for a failure domain.
//!
//! Delegates are picked by rendezvous hashing over the members that are there. No agreement is needed: where views
//! differ for a while there are more delegates than usual, which only costs bytes.

use units::{DomainName, NodeId};
use xxhash_rust::xxh3;

/// Delegates of one failure domain.
pub const DELEGATES: usize = 2;

/// Rank of a node among the members of its domain; the highest are delegates.
pub fn rank(domain: &DomainName, node: &NodeId) -> u64 {
    let seed = xxh3::xxh3_64(domain.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
