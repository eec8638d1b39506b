//! Retry budgets of a node, by called service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::budget::{Bounds, Budget, Rank};

/// Share of the deployment's slack that all nodes together may use; the rest covers nodes that are restarted or added
/// within a window and start anew.
const SLACK_SHARE: f64 = 0.75;
/// Most retries of a node in any window that no first attempts pay for.
const MAX_ALLOWANCE: f64 = 1.0;

/// Retries that a service may get in any window, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries besides.
    pub slack: f64,
}

/// Retry budgets by service.
#[derive(Debug, Default)]
pub struct Budgets {
    by_service: HashMap<Arc<str>, Budget>,
    bounds: Option<RetryBounds>,
    /// Known nodes, including silent ones; 0 until they have been counted.
    nodes: usize,
}

impl Budgets {
    /// No budgets so far; `bounds` are those of the deployment, if it states any.
    pub fn new(bounds: Option<RetryBounds>) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Takes note of the number of nodes that share the deployment's slack.
    pub fn set_nodes(&mut self, nodes: usize) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes;
        let allowance = self.allowance();
        self.by_service.values_mut().for_each(|budget| budget.set_allowance(allowance));
    }

    /// Counts a first attempt of a tree's call; `calls` is whether the service's upstreams make calls.
    pub fn record_send(&mut self, service: &Arc<str>, calls: bool, rank: Rank, now: Instant) {
        self.budget(service, now).record_send(calls, rank, now);
    }

    /// Takes a retry from the budget of a service, if one is left for a tree of this rank.
    pub fn try_retry(&mut self, service: &Arc<str>, rank: Rank, now: Instant) -> bool {
        self.budget(service, now).try_retry(rank, now)
    }

    /// Whether a tree of this rank gets retries at a service although others don't.
    pub fn prefers(&self, service: &str, rank: Rank) -> bool {
        self.by_service.get(service).is_some_and(|budget| budget.prefers(rank))
    }

    fn budget(&mut self, service: &Arc<str>, now: Instant) -> &mut Budget {
        let allowance = self.allowance();
        let bounds = self.bounds;
        self.by_service.entry(service.clone()).or_insert_with(|| match bounds {
            Some(RetryBounds { ratio, window, .. }) => {
                Budget::bounded(Bounds { ratio, window, allowance }, now)
            }
            None => Budget::new(now),
        })
    }

    /// Retries of this node in any window that no first attempts pay for.
    fn allowance(&self) -> f64 {
        let slack = self.bounds.map_or(0.0, |bounds| bounds.slack.max(0.0));
        if self.nodes == 0 {
            0.0
        } else {
            (SLACK_SHARE * slack / self.nodes as f64).min(MAX_ALLOWANCE)
        }
    }
}
