//! Claims of one log stream, in log order.

use std::collections::HashMap;

use crate::key::Holder;

units::json_record! {
    /// A record of a claim stream: one node claims some keys.
    pub struct Claim {
        /// The claiming node.
        pub holder: Holder,
        /// Distinguishes records of the same holder.
        pub batch: u64,
        /// The claimed keys.
        pub keys: Vec<String>,
    }
}

/// The first claim of each key.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    holders: HashMap<String, Holder>,
}

impl Claims {
    /// No claims yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, claim: &Claim) {
        for key in &claim.keys {
            self.holders.entry(key.clone()).or_insert_with(|| claim.holder.clone());
        }
    }

    /// The holder of a key.
    pub fn holder(&self, key: &str) -> Option<&Holder> {
        self.holders.get(key)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
