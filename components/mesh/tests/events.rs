//! The structured log under a reader that has stopped reading.

#![allow(clippy::unwrap_used, reason = "a test stops at what it did not expect")]

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant, SystemTime};

use googletest::prelude::*;
use mesh::process::events::{Event, Sink};

/// Passes on what is written; blocks for ever before the first byte if it is stuck.
struct Pipe {
    lines: Sender<Vec<u8>>,
    stuck: Option<Receiver<()>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(stuck) = &self.stuck {
            let _ = stuck.recv();
        }
        let _ = self.lines.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn told(sink: &Sink, now: Instant) {
    sink.tell(&Event::Reloaded { changed: true }, now, SystemTime::UNIX_EPOCH);
}

#[gtest]
fn a_line_is_one_object_with_the_event_and_its_fields() {
    let (lines, written) = mpsc::channel();
    let sink = Sink::new("n1".into(), Pipe { lines, stuck: None });
    told(&sink, Instant::now());
    let line = written.recv_timeout(Duration::from_secs(10)).unwrap();
    let line: serde_json::Value = serde_json::from_slice(&line).unwrap();
    expect_that!(
        line,
        eq(&serde_json::json!({"at": 0, "node": "n1", "event": "reloaded", "changed": true}))
    );
}

#[gtest]
fn a_reader_that_has_stopped_costs_lines_and_no_time() {
    let (lines, _written) = mpsc::channel();
    let (_hold, stuck) = mpsc::channel();
    let sink = Sink::new("n1".into(), Pipe { lines, stuck: Some(stuck) });
    let now = Instant::now();
    for _ in 0..100_000 {
        told(&sink, now);
    }
}

#[gtest]
fn what_was_left_out_is_counted_and_said() {
    let (lines, written) = mpsc::channel();
    let sink = Sink::new("n1".into(), Pipe { lines, stuck: None });
    let now = Instant::now();
    for _ in 0..20_000 {
        told(&sink, now);
    }
    // A minute later there is room again, as soon as the writer has caught up.
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("left_out") {
        told(&sink, now + Duration::from_secs(60));
        text.extend(written.recv().unwrap());
    }
    expect_that!(text.len(), lt(400_000), "the bytes of a second are bounded");
}
