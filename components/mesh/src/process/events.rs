//! Structured log: one line of JSON per event, on standard output.
//!
//! A separate thread writes the lines, so that a blocked reader of the output delays no requests. Lines that exceed the
//! queue or the rate limit are dropped, and the next line that is written contains their count.

use std::io::Write;
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde::Serialize;

use crate::configuration::Digest;

/// Lines that may wait for the writer thread.
const MAX_QUEUED_LINES: usize = 512;
/// Longest line: clients choose the ids and paths in some of them.
const MAX_LINE_BYTES: usize = 8 << 10;
/// Rate limit of the log, and the bytes that may be written in one burst.
const BYTES_PER_SECOND: f64 = 16_384.0;
const BURST_BYTES: f64 = 131_072.0;

/// An event with the values that explain it.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "docs/OPERATIONS.md lists every event with its fields")]
pub enum Event<'a> {
    Started {
        zone: &'a str,
        service: &'a str,
        #[serde(rename = "life")]
        incarnation: u64,
    },
    Stopping {
        running: u32,
        waiting: u32,
    },
    Stopped {
        #[serde(rename = "left")]
        unfinished: usize,
    },
    Reloaded {
        changed: bool,
    },
    #[serde(rename = "configuration-taken")]
    ConfigurationApplied {
        version: u64,
        digest: Digest,
        /// Where the store has it.
        epoch: Option<u64>,
        offset: u64,
        from: &'a str,
    },
    ConfigurationRefused {
        from: &'a str,
        /// Digest of the refused document.
        digest: Digest,
        #[serde(rename = "why")]
        reason: &'a str,
    },
    StoreLost {
        #[serde(rename = "why")]
        reason: &'a str,
        /// Time from the failed call to its end.
        asked_ms: u64,
    },
    #[serde(rename = "store-regained")]
    StoreRecovered {
        after_ms: u64,
    },
    /// The store was restored from an older copy.
    StoreRestored {
        before: u64,
        after: u64,
    },
    /// An answer names no valid epoch, or an older one than another answer.
    StoreEpochIgnored {
        #[serde(rename = "why")]
        reason: &'a str,
    },
    ConfigurationRead {
        /// Offset that was asked for; none for the newest one.
        offset: Option<u64>,
        #[serde(rename = "next")]
        next_offset: u64,
        epoch: Option<u64>,
        /// Size of the answer.
        bytes: usize,
        /// Version that was found, and the one in force after that.
        found: Option<u64>,
        version: u64,
    },
    /// This node begins or ceases to read the store at intervals for its failure domain.
    StoreWatch {
        active: bool,
    },
    /// A read that waited for the next configuration was given up.
    ReadAbandoned {
        #[serde(rename = "why")]
        reason: &'a str,
        waited_ms: u64,
    },
    /// An entry of the store, or what another node told of a node, can't be used; the others can.
    RecordSkipped {
        key: &'a str,
        #[serde(rename = "why")]
        reason: &'a str,
        from: &'a str,
    },
    MembersRead {
        records: usize,
        skipped: usize,
        /// Records that were unknown or newer than the known ones.
        changed: usize,
        epoch: Option<u64>,
    },
    RecordWritten {
        serial: u64,
        epoch: Option<u64>,
    },
    /// A request that needs the key of a tenant has none that is known.
    Unauthorized {
        id: &'a str,
        route: &'a str,
        #[serde(rename = "key")]
        has_key: bool,
        version: u64,
    },
    UpstreamChanged {
        id: &'a str,
        #[serde(rename = "standing")]
        state: &'a str,
        slots: u32,
        sequence: u64,
        from: &'a str,
    },
    /// A heartbeat may have been sent before its upstream left, of which an earlier process of this node may have known.
    UpstreamUnconfirmed {
        id: &'a str,
        sequence: u64,
    },
    /// The upstream was asked whether it is healthy and not leaving.
    HealthChecked {
        id: &'a str,
        result: &'a str,
        /// Status of the answer; none without one.
        status: Option<u16>,
    },
    /// Departures were kept for later incarnations of the node.
    DeparturesKept {
        /// The `store`, or a `node` of another failure domain, or of this one if no other is reached; empty if they
        /// could not be kept.
        place: &'a str,
        departures: usize,
        after_ms: u64,
    },
    RateLimitChanged {
        upstream: &'a str,
        /// Requests per second; none without a limit.
        before: Option<f64>,
        after: Option<f64>,
        from: &'a str,
    },
    /// The slots in use of an upstream that starts or recovers are limited, or no longer are.
    SlowStartChanged {
        upstream: &'a str,
        active: bool,
        #[serde(rename = "why")]
        reason: &'a str,
        /// Slots that may be in use now, and all.
        window: u32,
        limit: u32,
        /// Time from the beginning to the end.
        after_ms: Option<u64>,
    },
    AnnouncementRefused {
        #[serde(rename = "why")]
        reason: &'a str,
    },
    BodyBudgetReached {
        /// Bytes that request bodies may take, and that they take.
        size: u64,
        used: u64,
        waiting: usize,
        discarded: u64,
    },
    /// A connection or request was refused or closed at a bound: the first time, and then at intervals.
    ClientBoundReached {
        bound: &'a str,
        /// How often since the last line.
        count: u64,
        connections: usize,
        /// Bytes that request bodies take, and that connections and responses may take.
        bodies: u64,
        others: u64,
    },
    MemberChanged {
        member: &'a str,
        #[serde(rename = "life")]
        incarnation: u64,
        serial: u64,
        #[serde(rename = "standing")]
        state: &'a str,
        from: &'a str,
    },
    PeerLost {
        peer: &'a str,
        #[serde(rename = "why")]
        reason: &'a str,
    },
    ReadyChanged {
        ready: bool,
        #[serde(rename = "why")]
        reason: &'a str,
    },
    /// Regions in which calls of upstreams have to leave the region have changed.
    LocalityChanged {
        /// `service=region,region` for each service whose upstreams make such calls.
        incomplete: String,
    },
    PlanChanged {
        shares: String,
        loads: String,
        version: u64,
    },
    /// What this node may grant or use of the tenants' quotas has changed.
    QuotaChanged {
        /// Nodes that share the quotas.
        nodes: usize,
        /// The share that this node is entitled to.
        share: f64,
        /// The quota leader that it is leased to; none if this node uses it itself, or may not use it.
        leader: Option<Arc<str>>,
        /// Other nodes whose shares are leased to this one.
        contributors: usize,
    },
    Refused {
        id: &'a str,
        route: &'a str,
        /// The tenant, if the request has the key of one.
        #[serde(skip_serializing_if = "Option::is_none")]
        tenant: Option<&'a str>,
        #[serde(rename = "why")]
        reason: &'a str,
        share: f64,
        /// Age of the admission plan that `share` comes from.
        plan_ms: u64,
        #[serde(rename = "after_ms")]
        retry_ms: u64,
        #[serde(rename = "tries")]
        attempts: u32,
        version: u64,
    },
    Unrouted {
        id: &'a str,
        host: &'a str,
        path: &'a str,
        version: u64,
    },
    Retried {
        id: &'a str,
        route: &'a str,
        from: &'a str,
        #[serde(rename = "why")]
        reason: &'a str,
        left_ms: u64,
    },
    Failed {
        id: &'a str,
        route: &'a str,
        /// The last node that the request was sent to.
        #[serde(rename = "asked")]
        target: &'a str,
        #[serde(rename = "why")]
        reason: &'a str,
        status: u16,
        /// Time since the request arrived.
        #[serde(rename = "taken_ms")]
        elapsed_ms: u64,
        version: u64,
    },
    /// A caller was answered well after the timeout of its request.
    AnsweredLate {
        id: &'a str,
        route: &'a str,
        timeout_ms: u64,
        /// Time until the request's body had arrived.
        body_ms: u64,
        #[serde(rename = "taken_ms")]
        elapsed_ms: u64,
        version: u64,
    },
    #[serde(rename = "turned")]
    Rejected {
        id: &'a str,
        #[serde(rename = "why")]
        reason: &'a str,
        running: u32,
        waiting: u32,
        limit: u32,
        /// Requests per second that may be sent; none without a limit.
        rate: Option<f64>,
        wait_ms: u64,
    },
    #[serde(rename = "broken")]
    UpstreamFailed {
        id: &'a str,
        upstream: &'a str,
        #[serde(rename = "why")]
        reason: &'a str,
        after_ms: u64,
    },
    /// A request is quarantined as it crashes upstreams, or no longer is.
    QuarantineChanged {
        fingerprint: &'a str,
        active: bool,
        from: &'a str,
    },
    /// A quarantined request is sent to the upstream once more.
    QuarantineTrial {
        fingerprint: &'a str,
    },
    #[serde(rename = "woke")]
    Resumed {
        #[serde(rename = "stood_ms")]
        stalled_ms: u64,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "at")]
    at_ms: u64,
    node: &'a str,
    #[serde(rename = "left_out", skip_serializing_if = "is_zero")]
    dropped: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Debug)]
struct RateLimit {
    available: f64,
    at: Option<Instant>,
    dropped: u64,
}

/// Destination of events.
#[derive(Debug, Clone)]
pub struct Sink {
    node: Arc<str>,
    lines: SyncSender<Message>,
    limit: Arc<Mutex<RateLimit>>,
}

impl Sink {
    /// A sink that writes to standard output.
    pub fn stdout(node: Arc<str>) -> Self {
        Self::new(node, std::io::stdout())
    }

    /// A sink that writes to `out`.
    pub fn new(node: Arc<str>, out: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        // Without a writer thread all lines are dropped; the node still works.
        let _ =
            thread::Builder::new().name("events".to_owned()).spawn(move || write(out, &receiver));
        let limit = RateLimit { available: BURST_BYTES, at: None, dropped: 0 };
        Self { node, lines, limit: Arc::new(Mutex::new(limit)) }
    }

    /// Waits until queued events are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let (done, finished) = mpsc::sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            // A blocked reader must not delay the shutdown.
            let _ = finished.recv_timeout(timeout);
        }
    }

    /// Queues an event for writing, or counts it as dropped.
    pub fn write(&self, event: &Event<'_>, now: Instant, wall: SystemTime) {
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = limit.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        limit.at = Some(now);
        limit.available =
            (limit.available + passed.as_secs_f64() * BYTES_PER_SECOND).min(BURST_BYTES);
        if limit.available <= 0.0 {
            limit.dropped += 1;
            return;
        }
        let at = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let line =
            Line { at_ms: at.as_millis() as u64, node: &self.node, dropped: limit.dropped, event };
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        if text.len() > MAX_LINE_BYTES {
            limit.dropped += 1;
            return;
        }
        text.push(b'\n');
        limit.available -= text.len() as f64;
        match self.lines.try_send(Message::Line(text)) {
            Ok(()) => limit.dropped = 0,
            Err(_) => limit.dropped += 1,
        }
    }
}

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

fn write(mut out: impl Write, receiver: &Receiver<Message>) {
    let mut text = Vec::new();
    while let Ok(first) = receiver.recv() {
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(receiver.try_iter()) {
            match message {
                Message::Line(mut line) => text.append(&mut line),
                Message::Flush(done) => flushes.push(done),
            }
        }
        // A failed write to standard output can't be reported anywhere.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        text.clear();
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}
