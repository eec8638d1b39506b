//! Structured log lines: one JSON object for each decision, on standard output.
//!
//! A thread of its own writes them. A reader that has stopped reading costs lines, not requests: what doesn't fit
//! into the queue, or into the bytes of a second, is left out, counted, and said with the next line.

use std::io::Write;
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde::Serialize;

/// Lines that wait for the writer.
const WAITING: usize = 512;
/// Bytes a second that are written on average, and at once.
const BYTES: f64 = 16_384.0;
const BURST: f64 = 131_072.0;

/// What happened, with what decided it.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "docs/OPERATIONS.md lists every event with its fields")]
pub enum Event<'a> {
    Started {
        zone: &'a str,
        service: &'a str,
        life: u64,
    },
    Stopping {
        running: u32,
        waiting: u32,
    },
    Stopped {
        left: usize,
    },
    Reloaded {
        changed: bool,
    },
    ConfigurationTaken {
        version: u64,
        from: &'a str,
    },
    ConfigurationRefused {
        from: &'a str,
        why: &'a str,
    },
    StoreLost {
        why: &'a str,
    },
    StoreRegained {
        after_ms: u64,
    },
    UpstreamChanged {
        id: &'a str,
        standing: &'a str,
        slots: u32,
        sequence: u64,
    },
    AnnouncementRefused {
        why: &'a str,
    },
    MemberChanged {
        member: &'a str,
        life: u64,
        serial: u64,
        standing: &'a str,
        from: &'a str,
    },
    PeerLost {
        peer: &'a str,
        why: &'a str,
    },
    ReadyChanged {
        ready: bool,
        why: &'a str,
    },
    PlanChanged {
        shares: String,
        loads: String,
        version: u64,
    },
    Refused {
        id: &'a str,
        route: &'a str,
        why: &'a str,
        share: f64,
        /// Age of the plan that the share is from.
        plan_ms: u64,
        after_ms: u64,
        tries: u32,
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
        why: &'a str,
        left_ms: u64,
    },
    Failed {
        id: &'a str,
        route: &'a str,
        /// The node that was asked last.
        asked: &'a str,
        why: &'a str,
        status: u16,
        /// Time since the request came.
        taken_ms: u64,
        version: u64,
    },
    Turned {
        id: &'a str,
        why: &'a str,
        running: u32,
        waiting: u32,
        limit: u32,
        wait_ms: u64,
    },
    Broken {
        id: &'a str,
        upstream: &'a str,
        why: &'a str,
        after_ms: u64,
    },
    Woke {
        stood_ms: u64,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    at: u64,
    node: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Debug)]
struct Allowance {
    bytes: f64,
    at: Option<Instant>,
    left_out: u64,
}

/// Where events go.
#[derive(Debug, Clone)]
pub struct Sink {
    node: Arc<str>,
    lines: SyncSender<Item>,
    allowance: Arc<Mutex<Allowance>>,
}

impl Sink {
    /// A sink that writes to standard output.
    pub fn stdout(node: Arc<str>) -> Self {
        Self::new(node, std::io::stdout())
    }

    /// A sink that writes elsewhere.
    pub fn new(node: Arc<str>, out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = mpsc::sync_channel(WAITING);
        // Without a writer the lines are lost, and nothing else.
        let _ = thread::Builder::new().name("events".to_owned()).spawn(move || write(out, &queue));
        let allowance = Allowance { bytes: BURST, at: None, left_out: 0 };
        Self { node, lines, allowance: Arc::new(Mutex::new(allowance)) }
    }

    /// Waits until what was told is written, but no longer than `patience`.
    pub fn flush(&self, patience: Duration) {
        let (done, written) = mpsc::sync_channel(1);
        if self.lines.try_send(Item::Flush(done)).is_ok() {
            // A reader that has stopped reading keeps nobody from leaving.
            let _ = written.recv_timeout(patience);
        }
    }

    /// Writes an event, unless there is no room for it.
    pub fn tell(&self, event: &Event<'_>, now: Instant, wall: SystemTime) {
        let mut allowance = self.allowance.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = allowance.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        allowance.at = Some(now);
        allowance.bytes = (allowance.bytes + passed.as_secs_f64() * BYTES).min(BURST);
        if allowance.bytes <= 0.0 {
            allowance.left_out += 1;
            return;
        }
        let at = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let line = Line {
            at: at.as_millis() as u64,
            node: &self.node,
            left_out: allowance.left_out,
            event,
        };
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        text.push(b'\n');
        allowance.bytes -= text.len() as f64;
        match self.lines.try_send(Item::Line(text)) {
            Ok(()) => allowance.left_out = 0,
            Err(_) => allowance.left_out += 1,
        }
    }
}

/// What the writer is given.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

fn write(mut out: impl Write, queue: &Receiver<Item>) {
    let mut text = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut waits = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter()) {
            match item {
                Item::Line(mut line) => text.append(&mut line),
                Item::Flush(done) => waits.push(done),
            }
        }
        // There is nowhere to say that standard output is gone.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        text.clear();
        for done in waits {
            let _ = done.try_send(());
        }
    }
}
