//! Requests that the upstream is serving, each the parent of the nested calls made for it.

use std::fmt;
use std::time::{Duration, Instant};

use limits::Priority;
use retries::{RetryAllowance, RetryBudget};
use units::ParseError;

use super::context::Context;
use crate::process::shards::ShardedMap;

units::value! {
    /// Identifies a request that the upstream is serving.
    pub struct Token {
        /// Random id of the node's process.
        pub process: u32,
        /// Number of the request in that process.
        pub sequence: u64,
    }
}

impl fmt::Display for Token {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:08x}-{:x}", self.process, self.sequence)
    }
}

impl std::str::FromStr for Token {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseError::Expected(text.to_owned(), "a request token");
        let (process, sequence) = text.split_once('-').ok_or_else(malformed)?;
        let process = u32::from_str_radix(process, 16).map_err(|_| malformed())?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| malformed())?;
        Ok(Self { process, sequence })
    }
}

/// A request that the upstream is serving.
#[derive(Debug)]
pub struct Parent {
    /// Context of the request.
    pub context: Context,
    /// Unspent retry allowance.
    pub budget: RetryBudget,
    /// Highest admission level in answers to its nested calls.
    pub level: Priority,
    /// A nested call failed and must not be retried.
    pub exhausted: bool,
    has_called: bool,
    in_flight: u32,
    waiting_since: Option<Instant>,
    waited: Duration,
}

impl Parent {
    /// A request without nested calls so far.
    pub fn new(context: Context) -> Self {
        let budget = RetryBudget::new(context.retries);
        Self {
            context,
            budget,
            level: Priority::default(),
            exhausted: false,
            has_called: false,
            in_flight: 0,
            waiting_since: None,
            waited: Duration::ZERO,
        }
    }

    /// Records the start of a nested call.
    pub fn call_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.has_called = true;
        self.waiting_since.get_or_insert(now);
    }

    /// Records the end of a nested call.
    pub fn call_ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0
            && let Some(since) = self.waiting_since.take()
        {
            self.waited += now.saturating_duration_since(since);
        }
    }

    /// Highest admission level of its nested calls, if it made any.
    pub fn nested_level(&self) -> Option<Priority> {
        self.has_called.then_some(self.level)
    }

    /// Total time with at least one nested call in flight.
    pub fn waited(&self, now: Instant) -> Duration {
        let current = self
            .waiting_since
            .map(|since| now.saturating_duration_since(since))
            .unwrap_or_default();
        self.waited + current
    }

    /// Takes the unspent allowance, so that later nested calls can't spend it as well.
    pub fn take_allowance(&mut self) -> RetryAllowance {
        let left = self.budget.remaining();
        self.budget = RetryBudget::new(RetryAllowance(0));
        left
    }
}

/// Requests that the upstream is serving.
pub type ActiveRequests = ShardedMap<Token, Parent>;
