//! Subsets that bound the connections between nodes.

use units::NodeId;
use xxhash_rust::xxh3;

/// The `size` nodes that rank highest for `own` by rendezvous hashing.
///
/// Each caller draws its own subset, so load is spread, and a node that comes or goes changes one place at the most.
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
