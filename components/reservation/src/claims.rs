//! The claims of one stream of the log, in its order.

use std::collections::HashMap;

use crate::key::Holder;

units::wire! {
    /// A record of a claim stream: one node claims some keys.
    pub struct Claim {
        /// Who claims.
        pub holder: Holder,
        /// Tells the record from others of the same holder.
        pub batch: u64,
        /// The keys.
        pub keys: Vec<String>,
    }
}

/// The first claim of each key.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    winners: HashMap<String, Holder>,
}

impl Claims {
    /// No claims read yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next record of the stream.
    pub fn apply(&mut self, claim: &Claim) {
        for key in &claim.keys {
            self.winners.entry(key.clone()).or_insert_with(|| claim.holder.clone());
        }
    }

    /// The holder of a key.
    pub fn winner(&self, key: &str) -> Option<&Holder> {
        self.winners.get(key)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }
}
