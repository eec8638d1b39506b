//! Selection of the members that exchange records with other failure domains.
//!
//! Delegates are selected by rendezvous hashing over the present members. No agreement is needed: while views differ
//! there are more delegates than usual, which only costs extra traffic.

use units::{DomainName, NodeId};
use xxhash_rust::xxh3;

/// Delegates of one failure domain.
pub const DELEGATES_PER_DOMAIN: usize = 2;

/// Rank of a node among the members of its domain; the highest are delegates.
pub fn rank(domain: &DomainName, node: &NodeId) -> u64 {
    let seed = xxh3::xxh3_64(domain.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
