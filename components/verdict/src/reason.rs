//! Why a request got no complete response.

use std::fmt;
use std::str;

/// Defines the enum, with the name, HTTP status and title of each reason in one table.
macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident = $text:literal, $status:literal, $title:literal;)*) => {
        units::value! {
            /// Why a request got no complete response.
            pub enum Reason { $($(#[$meta])* $name,)* }
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Its name in headers, bodies and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status that a caller sees.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// One-sentence description for people.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

reasons! {
    /// No rule matches the method and path.
    UnknownCall = "unknown-call", 404, "No rule matches this method and path.";
    /// The request is malformed.
    Malformed = "malformed", 400, "The request is malformed.";
    /// The body is larger than the rule allows.
    TooLarge = "too-large", 413, "The request body is too large.";
    /// No node of the service is known.
    NoUpstream = "no-upstream", 503, "No upstream of the service is known.";
    /// No connection to the chosen node or upstream could be made.
    Unreachable = "unreachable", 503, "The upstream could not be reached.";
    /// The concurrency limit is reached and the queue is full.
    Overloaded = "overloaded", 503, "The service is overloaded.";
    /// Refused early because a service further down the call chain is overloaded.
    ShedEarly = "shed-early", 503, "A service further down the chain is overloaded.";
    /// The deadline has passed or can't be met.
    Deadline = "deadline", 504, "The deadline can't be met.";
    /// The upstream is draining or the node is stopping.
    Draining = "draining", 503, "The upstream is leaving.";
    /// The upstream refused the request itself.
    UpstreamRefused = "upstream-refused", 503, "The upstream refused the request.";
    /// The connection was lost after the request was sent.
    ConnectionLost = "connection-lost", 502, "The connection was lost before the whole answer came.";
    /// A node had to exit before the answer arrived.
    Stopped = "stopped", 502, "A node had to exit before the answer came.";
    /// The request was in flight when two upstreams crashed, and is quarantined.
    Quarantined = "quarantined", 422, "The request is in quarantine: upstreams died while they ran it.";
    /// The rule requires an idempotency key and the request has none.
    KeyMissing = "key-missing", 400, "This call needs an Idempotency-Key of 1 to 200 visible ASCII characters.";
    /// The key is held by another node.
    HeldElsewhere = "held-elsewhere", 421, "The key is held by another node.";
    /// The only node that may run the key is gone.
    HolderGone = "holder-gone", 409, "The only node that may know or run this key is gone.";
    /// The request ran, and its response was not kept.
    AnswerGone = "answer-gone", 409, "The request ran, and its answer is no longer kept.";
    /// The log is needed to decide which node may run the key.
    LogUnavailable = "log-unavailable", 503, "The log can't settle who may run this key; a ticket would need no log.";
    /// Calls are nested too deeply.
    TooDeep = "too-deep", 508, "Calls are nested too deep.";
    /// The node has no configuration yet.
    NoRules = "no-rules", 503, "The node has no rules yet.";
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

impl str::FromStr for Reason {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().copied().find(|reason| reason.as_str() == text);
        found.ok_or_else(|| units::ParseError::Expected(text.to_owned(), "a reason for a refusal"))
    }
}
