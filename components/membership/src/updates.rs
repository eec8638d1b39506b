//! Membership updates piggybacked on gossip messages, each a bounded number of times.

use std::collections::HashMap;

use units::NodeId;

/// Transmissions of an update, as a multiple of the logarithm of the number of nodes. One is enough: a probe carries
/// updates in both directions, and the digests reveal what was missed.
const RETRANSMIT_MULTIPLIER: u32 = 1;

/// Nodes whose records still have to be sent.
#[derive(Debug, Clone, Default)]
pub struct UpdateQueue {
    /// Remaining transmissions of each.
    remaining: HashMap<NodeId, u32>,
}

impl UpdateQueue {
    /// Queues a node's record for transmission within a group of `size` nodes.
    pub fn add(&mut self, node: &NodeId, size: usize) {
        let log2 = usize::BITS - size.leading_zeros() + 1;
        self.remaining.insert(node.clone(), RETRANSMIT_MULTIPLIER * log2);
    }

    /// Takes the nodes whose records go into one message: those sent least often first.
    pub fn take(&mut self, limit: usize) -> Vec<NodeId> {
        let mut nodes: Vec<(u32, NodeId)> =
            self.remaining.iter().map(|(node, remaining)| (*remaining, node.clone())).collect();
        nodes.sort_by(|a, b| b.cmp(a));
        nodes.truncate(limit);
        nodes.into_iter().map(|(_, node)| self.count_sent(node)).collect()
    }

    /// Number of queued records.
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    fn count_sent(&mut self, node: NodeId) -> NodeId {
        if let Some(remaining) = self.remaining.get_mut(&node) {
            *remaining -= 1;
            if *remaining == 0 {
                self.remaining.remove(&node);
            }
        }
        node
    }
}
