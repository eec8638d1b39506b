//! Updates that ride on gossip messages, each a bounded number of times.

use std::collections::HashMap;

use units::NodeId;

/// Transmissions of an update, times the logarithm of the number of nodes. A probe tells in both directions, and what
/// is missed is found by the digests.
const SPREAD: u32 = 1;

/// Nodes whose records still have to be told.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// Transmissions left.
    left: HashMap<NodeId, u32>,
}

impl Outbox {
    /// Tells of a node's record from now on, in a group of `size` nodes.
    pub fn add(&mut self, node: &NodeId, size: usize) {
        let rounds = usize::BITS - size.leading_zeros() + 1;
        self.left.insert(node.clone(), SPREAD * rounds);
    }

    /// Takes the nodes to tell of in one message: those told least often first.
    pub fn take(&mut self, most: usize) -> Vec<NodeId> {
        let mut nodes: Vec<(u32, NodeId)> =
            self.left.iter().map(|(node, left)| (*left, node.clone())).collect();
        nodes.sort_by(|a, b| b.cmp(a));
        nodes.truncate(most);
        nodes.into_iter().map(|(_, node)| self.told(node)).collect()
    }

    /// Number of nodes to tell of.
    pub fn len(&self) -> usize {
        self.left.len()
    }

    fn told(&mut self, node: NodeId) -> NodeId {
        if let Some(left) = self.left.get_mut(&node) {
            *left -= 1;
            if *left == 0 {
                self.left.remove(&node);
            }
        }
        node
    }
}
