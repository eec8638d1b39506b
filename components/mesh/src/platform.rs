//! Interface to a platform: header names, announcements of upstreams, the configuration and the store.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method};
use quick_error::quick_error;
use units::{Clock, ParseError};
use xxhash_rust::xxh3;

use crate::configuration::Configuration;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug)]
    pub enum StoreError {
        /// The store refused the call and did nothing.
        Refused(status: u16) {
            display("the store refused the call with status {}", status)
        }
        /// No answer arrived; a write may have been applied.
        NoResponse(reason: String) {
            display("no answer from the store: {}", reason)
        }
        /// The requested records are no longer kept.
        Truncated {
            display("the requested records are no longer kept")
        }
        /// The answer can't be decoded.
        Unreadable(reason: String) {
            display("unreadable answer from the store: {}", reason)
        }
    }
}

units::value! {
    /// Epoch of the store's content. A restore from an older copy starts a new one, in which offsets are given out again.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct StoreEpoch(pub u64);
}

impl fmt::Display for StoreEpoch {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl FromStr for StoreEpoch {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::Expected(text.to_owned(), "a whole number of at most 64 bits");
        if !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(invalid());
        }
        text.parse().map(Self).map_err(|_| invalid())
    }
}

/// The epoch that an answer of the store names.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEpoch {
    /// No answer arrived, or it names none.
    Missing,
    /// The answer names something else.
    Invalid(String),
    /// The epoch.
    Valid(StoreEpoch),
}

impl AnswerEpoch {
    /// The epoch, if it is known.
    pub fn valid(&self) -> Option<StoreEpoch> {
        match self {
            Self::Missing | Self::Invalid(_) => None,
            Self::Valid(epoch) => Some(*epoch),
        }
    }
}

/// Outcome of a call to the store; refusals name the epoch too.
#[derive(Debug)]
pub struct Answer<T> {
    /// Epoch of the store when it answered.
    pub epoch: AnswerEpoch,
    /// What it answered.
    pub result: Result<T, StoreError>,
}

impl<T> Answer<T> {
    /// An answer of the same epoch with a result computed from this one.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> Result<U, StoreError>) -> Answer<U> {
        Answer { epoch: self.epoch, result: self.result.and_then(next) }
    }
}

impl<T> From<StoreError> for Answer<T> {
    fn from(err: StoreError) -> Self {
        Self { epoch: AnswerEpoch::Missing, result: Err(err) }
    }
}

/// A header that has a meaning with one value only.
#[derive(Debug, Clone)]
pub struct HeaderFlag {
    /// Its name.
    pub name: HeaderName,
    /// The value with which it is set.
    pub value: &'static str,
}

/// Names of the headers that callers and upstreams of the platform use.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Id of one attempt of a caller.
    pub id: HeaderName,
    /// Milliseconds until the caller gives up.
    pub deadline: HeaderName,
    /// Id of the only upstream incarnation that may run the request.
    pub incarnation: HeaderName,
    /// Service of the machine where the request started.
    pub caller: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Requests per second that an upstream accepts, in answers while it limits them.
    pub rate_limit: HeaderName,
    /// Key of the tenant that sends the request.
    pub key: HeaderName,
    /// Name of the tenant, for upstreams.
    pub tenant: HeaderName,
    /// Load that an upstream reports in its answers.
    pub load: HeaderName,
    /// Set by an upstream that is leaving.
    pub leaving: HeaderFlag,
    /// Id of the upstream that answers a health check.
    pub upstream: HeaderName,
}

/// State that an upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Accepts requests.
    Ready,
    /// Only finishes the requests it has.
    Draining,
}

/// A heartbeat of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Id of the upstream's incarnation.
    pub id: String,
    /// Start time in milliseconds since the epoch.
    pub started_ms: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Announced state.
    pub state: AnnouncedState,
    /// Remaining warm-up time, during which it is slower.
    pub warmup: Duration,
}

impl Heartbeat {
    /// Identifies the upstream's incarnation.
    pub fn incarnation(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.started_ms)
    }
}

/// A message from an upstream to the node beside it.
#[derive(Debug, Clone, PartialEq)]
pub enum Announcement {
    /// The upstream is alive.
    Heartbeat(Heartbeat),
    /// The upstream is shutting down.
    Leave {
        /// Id of the upstream's incarnation.
        id: String,
        /// Start time in milliseconds since the epoch, if it is given.
        started_ms: Option<u64>,
    },
}

impl Announcement {
    /// Whether an upstream says that it is leaving.
    pub fn is_departure(&self) -> bool {
        match self {
            Self::Heartbeat(heartbeat) => heartbeat.state == AnnouncedState::Draining,
            Self::Leave { .. } => true,
        }
    }
}

/// A document of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Offset of its record.
    pub offset: u64,
    /// Its bytes as they were written.
    pub bytes: Bytes,
}

/// An entry of the store that can't be used; the others can.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedEntry {
    /// Its key, as far as it is known.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
}

/// The records of a keyed topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyedRecords {
    /// Those that can be used.
    pub records: Vec<KeyedRecord>,
    /// The others.
    pub skipped: Vec<SkippedEntry>,
}

/// What a read of the store's log of configurations found.
#[derive(Debug, Clone)]
pub struct ConfigurationRead {
    /// The documents that were read, the newest first.
    pub documents: Vec<Document>,
    /// Entries that were read and can't be used.
    pub skipped: Vec<SkippedEntry>,
    /// Offset at which to continue reading.
    pub next_offset: u64,
    /// Whether the log has further records, which were not sent.
    pub more: bool,
    /// Size of the answer, in bytes.
    pub bytes: usize,
}

/// What a node needs from its platform.
pub trait Platform: Send + Sync + 'static {
    /// Type of the clock.
    type Clock: Clock;

    /// The clock.
    fn clock(&self) -> &Self::Clock;

    /// Names of the platform's headers.
    fn headers(&self) -> &Headers;

    /// Decodes a message from an upstream.
    fn decode_announcement(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Announcement, String>;

    /// Decodes and validates a configuration.
    fn decode_configuration(&self, bytes: &[u8]) -> Result<Configuration, String>;

    /// Reads the newest configuration.
    fn latest_configuration(&self) -> impl Future<Output = Answer<ConfigurationRead>> + Send;

    /// Waits up to `wait` for a configuration written at offset `from` or later.
    fn follow_configuration(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Answer<ConfigurationRead>> + Send;

    /// Reads configurations from offset `from` on, without waiting, on a connection of its own: others may be dead.
    fn check_configuration(
        &self,
        from: u64,
        timeout: Duration,
    ) -> impl Future<Output = Answer<ConfigurationRead>> + Send;

    /// Reads the records of all nodes.
    fn node_records(&self) -> impl Future<Output = Answer<KeyedRecords>> + Send;

    /// Stores the record of a node under its name.
    fn put_record(&self, node: &str, record: Vec<u8>) -> impl Future<Output = Answer<()>> + Send;
}
