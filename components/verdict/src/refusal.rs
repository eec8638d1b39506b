//! An error with its verdict, as the node handles it and as a caller receives it.

use std::fmt;
use std::time::Duration;

use crate::{Reason, Verdict};

units::record! {
    /// Why a request got no complete response, and whether it may have run.
    pub struct Refusal {
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// Why there is no complete response.
        pub reason: Reason,
        /// The node that refused.
        pub refused_by: units::NodeId,
        /// Time after which to retry, if known.
        pub retry_after: Option<Duration>,
        /// Whether retries are exhausted, so that no caller up the chain should retry.
        pub no_retry: bool,
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, by: &units::NodeId) -> Self {
        Self::new(Verdict::NotRun, reason, by)
    }

    /// A refusal with any verdict.
    pub fn new(verdict: Verdict, reason: Reason, by: &units::NodeId) -> Self {
        Self { verdict, reason, refused_by: by.clone(), retry_after: None, no_retry: false }
    }

    /// Sets the time after which to retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Marks the failure as one that no caller up the chain should retry.
    pub fn no_retry(mut self) -> Self {
        self.no_retry = true;
        self
    }

    /// The body of the error response, as RFC 9457 problem details.
    pub fn problem(&self) -> String {
        serde_json::json!({
            "type": format!("about:almondknot/{}", self.reason),
            "title": self.reason.title(),
            "status": self.reason.status(),
            "verdict": self.verdict,
            "reason": self.reason.as_str(),
            "refused_by": self.refused_by,
        })
        .to_string()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({}, refused by {})", self.reason, self.verdict, self.refused_by)
    }
}

impl std::error::Error for Refusal {}
