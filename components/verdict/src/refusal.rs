//! An error with its verdict, as it is kept in the node and as a caller reads it.

use std::fmt;
use std::time::Duration;

use crate::{Reason, Verdict};

units::record! {
    /// Why a request got no whole answer, and whether it may have run.
    pub struct Refusal {
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// Why there is no answer.
        pub reason: Reason,
        /// The node that refused.
        pub by: units::NodeId,
        /// When to try again, where that is known.
        pub after: Option<Duration>,
        /// Nobody above should retry.
        pub exhausted: bool,
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, by: &units::NodeId) -> Self {
        Self::new(Verdict::NotRun, reason, by)
    }

    /// A refusal with any verdict.
    pub fn new(verdict: Verdict, reason: Reason, by: &units::NodeId) -> Self {
        Self { verdict, reason, by: by.clone(), after: None, exhausted: false }
    }

    /// Sets the time after which another try makes sense.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// Marks the failure as one that nobody above should retry.
    pub fn exhausted(mut self) -> Self {
        self.exhausted = true;
        self
    }

    /// The body of the error, in the form of RFC 9457 (problem details).
    pub fn problem(&self) -> String {
        serde_json::json!({
            "type": format!("about:almondknot/{}", self.reason),
            "title": self.reason.title(),
            "status": self.reason.status(),
            "verdict": self.verdict,
            "reason": self.reason.as_str(),
            "refused_by": self.by,
        })
        .to_string()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({}, refused by {})", self.reason, self.verdict, self.by)
    }
}

impl std::error::Error for Refusal {}
