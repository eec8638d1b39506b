//! Subsets of nodes that bound the number of connections.

use units::NodeId;
use xxhash_rust::xxh3;

/// The `size` nodes that rank highest for `own` by rendezvous hashing.
///
/// Each caller has a different subset, which spreads the load, and a node that joins or leaves changes at most one
/// member of it.
pub fn subset<'a, T>(
    own: &NodeId,
    nodes: impl Iterator<Item = (&'a NodeId, T)>,
    size: usize,
) -> Vec<T> {
    let mut ranked: Vec<(u64, &NodeId, T)> =
        nodes.map(|(node, item)| (rank(own, node), node, item)).collect();
    ranked.sort_by(|a, b| (b.0, b.1).cmp(&(a.0, a.1)));
    ranked.truncate(size);
    ranked.into_iter().map(|(_, _, item)| item).collect()
}

fn rank(own: &NodeId, node: &NodeId) -> u64 {
    let seed = xxh3::xxh3_64(own.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
