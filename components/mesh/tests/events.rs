//! The structured log, also while its reader has stopped reading.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant, SystemTime};

use googletest::prelude::*;
use mesh::process::events::{Event, Sink};

/// Forwards what is written; blocks in `write` while `blocked` has a sender.
struct Pipe {
    lines: Sender<Vec<u8>>,
    blocked: Option<Receiver<()>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(blocked) = &self.blocked {
            let _ = blocked.recv();
        }
        let _ = self.lines.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_event(sink: &Sink, now: Instant) {
    sink.write(&Event::Reloaded { changed: true }, now, SystemTime::UNIX_EPOCH);
}

#[gtest]
fn a_line_is_one_object_with_the_event_and_its_fields() {
    let (lines, written) = mpsc::channel();
    let sink = Sink::new("n1".into(), Pipe { lines, blocked: None });
    log_event(&sink, Instant::now());
    let line = written.recv_timeout(Duration::from_secs(10)).unwrap();
    let line: serde_json::Value = serde_json::from_slice(&line).unwrap();
    expect_that!(
        line,
        eq(&serde_json::json!({"at": 0, "node": "n1", "event": "reloaded", "changed": true}))
    );
}

#[gtest]
fn a_stopped_reader_does_not_block_logging() {
    let (lines, _written) = mpsc::channel();
    let (_hold, blocked) = mpsc::channel();
    let sink = Sink::new("n1".into(), Pipe { lines, blocked: Some(blocked) });
    let now = Instant::now();
    for _ in 0..100_000 {
        log_event(&sink, now);
    }
}

#[gtest]
fn dropped_lines_are_counted_and_reported() {
    let (lines, written) = mpsc::channel();
    let sink = Sink::new("n1".into(), Pipe { lines, blocked: None });
    let now = Instant::now();
    for _ in 0..20_000 {
        log_event(&sink, now);
    }
    // A minute later the byte limit allows lines again, as soon as the writer has caught up.
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("left_out") {
        log_event(&sink, now + Duration::from_secs(60));
        text.extend(written.recv().unwrap());
    }
    expect_that!(text.len(), lt(400_000), "the bytes per second are bounded");
}
