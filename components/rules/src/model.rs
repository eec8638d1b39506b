//! The parsed rules.

use std::collections::HashMap;
use std::fmt;
use std::str;
use std::sync::Arc;
use std::time::Duration;

use units::{ByteSize, ServiceName};

units::value! {
    /// Class of a root request; lower ranks are shed first.
    pub enum Class {
        /// Background work; no caller waits for the response.
        Background,
        /// Lookups between services.
        Internal,
        /// Requests that a franchisee waits for.
        Franchisee,
        /// Requests that a customer waits for.
        Customer,
    }
}

impl Class {
    /// All classes, by ascending rank.
    pub const ALL: [Self; 4] = [Self::Background, Self::Internal, Self::Franchisee, Self::Customer];

    /// Its name in rules, headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Internal => "internal",
            Self::Franchisee => "franchisee",
            Self::Customer => "customer",
        }
    }

    /// Shedding rank, lowest shed first. Outside callers (franchisees and customers) share one rank above all
    /// internal calls.
    pub fn rank(self) -> u8 {
        match self {
            Self::Background => 0,
            Self::Internal => 1,
            Self::Franchisee | Self::Customer => 2,
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

impl str::FromStr for Class {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|class| class.as_str() == text);
        found.ok_or_else(|| {
            units::ParseError::Expected(
                text.to_owned(),
                "`background`, `internal`, `franchisee` or `customer`",
            )
        })
    }
}

units::record! {
    /// How calls of one method under one path are routed and bounded.
    pub struct CallRule {
        /// Method; `None` matches any.
        pub method: Option<http::Method>,
        /// Path prefix, matched by whole segments.
        pub path: String,
        /// Service that the calls are routed to.
        pub service: ServiceName,
        /// Class of a root request.
        pub class: Class,
        /// Longest time that a root request may take.
        pub deadline: Duration,
        /// Retries allowed in the whole call tree of a root request.
        pub retries: u8,
        /// Whether running a request twice is harmless.
        pub idempotent: bool,
        /// Whether a request must run at most once; each request then needs an idempotency key.
        pub run_once: bool,
        /// Largest request body; the node's own limit if not given.
        pub max_body: Option<ByteSize>,
        /// Who requested the rule.
        pub requester: String,
        /// Line of the rule in its file.
        pub line: usize,
    }

    /// Limits on the calls to one service's upstreams.
    pub struct ServiceRule {
        /// Longest time that a request may wait for a free slot.
        pub max_wait: Duration,
        /// Retries as a fraction of first attempts, over all callers.
        pub retry_ratio: f64,
        /// Upper limit on the slots that the upstream announces.
        pub slots: Option<u32>,
        /// Upper limit on the connections that the upstream announces.
        pub connections: Option<u32>,
        /// Who requested the rule.
        pub requester: String,
        /// Line of the rule in its file.
        pub line: usize,
    }
}

impl Default for ServiceRule {
    fn default() -> Self {
        const MAX_WAIT: Duration = Duration::from_millis(50);
        const RETRY_RATIO: f64 = 0.1;
        Self {
            max_wait: MAX_WAIT,
            retry_ratio: RETRY_RATIO,
            slots: None,
            connections: None,
            requester: String::new(),
            line: 0,
        }
    }
}

/// The rules of one configuration version.
#[derive(Debug, Default)]
pub struct RuleSet {
    /// Call rules by the first segment of their path, longest path first.
    calls: HashMap<String, Vec<Arc<CallRule>>>,
    services: HashMap<ServiceName, Arc<ServiceRule>>,
}

impl RuleSet {
    pub(crate) fn new(
        calls: Vec<CallRule>,
        services: HashMap<ServiceName, Arc<ServiceRule>>,
    ) -> Self {
        let mut grouped: HashMap<String, Vec<Arc<CallRule>>> = HashMap::new();
        for rule in calls {
            grouped.entry(first_segment(&rule.path).to_owned()).or_default().push(Arc::new(rule));
        }
        for group in grouped.values_mut() {
            group.sort_by_key(|rule| (std::cmp::Reverse(rule.path.len()), rule.method.is_none()));
        }
        Self { calls: grouped, services }
    }

    /// The rule for a call: the longest matching path, and an exact method before `*`.
    pub fn find(&self, method: &http::Method, path: &str) -> Option<&Arc<CallRule>> {
        let by_segment = self.calls.get(first_segment(path)).into_iter().flatten();
        let by_root = self.calls.get("").into_iter().flatten();
        by_segment.chain(by_root).find(|rule| rule.matches(method, path))
    }

    /// The rule for a service, or the defaults.
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceRule> {
        self.services.get(name).cloned().unwrap_or_default()
    }

    /// All call rules, in the order of the file.
    pub fn calls(&self) -> Vec<&Arc<CallRule>> {
        let mut all: Vec<_> = self.calls.values().flatten().collect();
        all.sort_by_key(|rule| rule.line);
        all
    }

    /// All services that have a rule.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Arc<ServiceRule>)> {
        self.services.iter()
    }
}

impl CallRule {
    fn matches(&self, method: &http::Method, path: &str) -> bool {
        let path_matches = match path.strip_prefix(self.path.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'),
            None => false,
        };
        path_matches && self.method.as_ref().is_none_or(|wanted| wanted == method)
    }
}

fn first_segment(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
