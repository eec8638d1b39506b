//! Rules as the node uses them.

use std::collections::HashMap;
use std::fmt;
use std::str;
use std::sync::Arc;
use std::time::Duration;

use units::{ByteSize, ServiceName};

units::value! {
    /// Class of a root request, from the first to be shed to the last.
    pub enum Class {
        /// Work that nobody waits for.
        Background,
        /// Lookups between services.
        Internal,
        /// A franchisee waits.
        Franchisee,
        /// A customer waits.
        Customer,
    }
}

impl Class {
    /// Every class, from the first to be shed to the last.
    pub const ALL: [Self; 4] = [Self::Background, Self::Internal, Self::Franchisee, Self::Customer];

    /// Its word in rules, headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Internal => "internal",
            Self::Franchisee => "franchisee",
            Self::Customer => "customer",
        }
    }

    /// Shedding order: callers outside (franchisees and customers) stand together above everything inside.
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
    /// What happens to calls of one method under one path.
    pub struct CallRule {
        /// Method; `None` for any.
        pub method: Option<http::Method>,
        /// Path prefix, matched by whole segments.
        pub path: String,
        /// Service that answers.
        pub service: ServiceName,
        /// Class of a root request.
        pub class: Class,
        /// Longest time a root request may take.
        pub deadline: Duration,
        /// Retries that a root request may spend in its whole tree.
        pub retries: u8,
        /// Running it twice does no harm.
        pub idempotent: bool,
        /// It must run at most once: each request needs a key.
        pub once: bool,
        /// Largest body; the node's own bound when not given.
        pub body: Option<ByteSize>,
        /// Who asked for the rule.
        pub asker: String,
        /// Line of the rule in its file.
        pub line: usize,
    }

    /// How one service's upstreams are treated.
    pub struct ServiceRule {
        /// Longest time a request may wait for a free slot.
        pub queue: Duration,
        /// Retries as a share of first tries, over all callers.
        pub ratio: f64,
        /// Limit on slots, whatever the upstream announces.
        pub slots: Option<u32>,
        /// Limit on connections, whatever the upstream announces.
        pub connections: Option<u32>,
        /// Who asked for the rule.
        pub asker: String,
        /// Line of the rule in its file.
        pub line: usize,
    }
}

impl Default for ServiceRule {
    fn default() -> Self {
        const QUEUE: Duration = Duration::from_millis(50);
        const RATIO: f64 = 0.1;
        Self {
            queue: QUEUE,
            ratio: RATIO,
            slots: None,
            connections: None,
            asker: String::new(),
            line: 0,
        }
    }
}

/// The rules of one version.
#[derive(Debug, Default)]
pub struct RuleSet {
    /// Call rules by the first segment of their path, the longest path first.
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

    /// The rule for a call: the longest matching path, a named method before any.
    pub fn find(&self, method: &http::Method, path: &str) -> Option<&Arc<CallRule>> {
        let by_segment = self.calls.get(first_segment(path)).into_iter().flatten();
        let by_root = self.calls.get("").into_iter().flatten();
        by_segment.chain(by_root).find(|rule| rule.matches(method, path))
    }

    /// The rule for a service, or the defaults.
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceRule> {
        self.services.get(name).cloned().unwrap_or_default()
    }

    /// Every call rule, in the order of the file.
    pub fn calls(&self) -> Vec<&Arc<CallRule>> {
        let mut all: Vec<_> = self.calls.values().flatten().collect();
        all.sort_by_key(|rule| rule.line);
        all
    }

    /// Every service that has a rule of its own.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Arc<ServiceRule>)> {
        self.services.iter()
    }
}

impl CallRule {
    fn matches(&self, method: &http::Method, path: &str) -> bool {
        let covers = match path.strip_prefix(self.path.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'),
            None => false,
        };
        covers && self.method.as_ref().is_none_or(|wanted| wanted == method)
    }
}

fn first_segment(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
