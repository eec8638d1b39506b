//! Nodes that were restarted while the store fails, so that they know no other node to tell of it.
//!
//! Such a node refuses calls for an upstream that it has not heard of, which shows the delegates of other failure domains
//! that it needs an exchange. One node of a failure domain is enough, as it tells the others.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::members::Record;

/// Time between two exchanges with nodes of a failure domain for this reason.
const INTERVAL: Duration = Duration::from_millis(500);

/// Restarted nodes that need an exchange.
#[derive(Debug, Default)]
pub struct RestartedNodes {
    due: Vec<Record>,
    /// When a node of a failure domain was last chosen.
    chosen: HashMap<Arc<str>, Instant>,
}

impl RestartedNodes {
    /// Takes note of a node that refused a call in this way; true if an exchange with it is due now.
    pub fn record_refusal(&mut self, node: &Record, now: Instant) -> bool {
        let chosen = self.chosen.get(&node.zone);
        let is_due = chosen.is_none_or(|at| now.saturating_duration_since(*at) >= INTERVAL);
        if is_due {
            self.chosen.insert(node.zone.clone(), now);
            self.due.push(node.clone());
        }
        is_due
    }

    /// Takes note of a node that is sent the configuration in the next exchange.
    pub fn continue_with(&mut self, node: &Record) {
        self.due.push(node.clone());
    }

    /// The nodes to exchange with now.
    pub fn take_due(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.due)
    }
}
