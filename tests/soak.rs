//! A short run of the soak, with the same schedule every time.
//!
//! Promises with a bound on time are left to the runs by hand, as a busy machine would break them.

#![allow(clippy::unwrap_used, reason = "a test stops at what it did not expect")]

use std::path::Path;

use emulator::schedule::Fault;
use emulator::soak;

/// Promises that hold however slow the machine is.
const ALWAYS: [&str; 5] = [
    "whole answers to who asked",
    "at most once",
    "not run is true",
    "only what was asked runs",
    "only where routes lead",
];

/// Upstreams spoil answers, die and leave, nodes are killed, stopped and frozen, and the store is away.
const SCHEDULE: &str = "mix@1000+4000#1,lose@1000+5000#6,truncate@1500+4000#3,kill@2000+1000#2,\
                        freeze@2500+1500#5,shed@3000+3000#7,store-silent@3000+3000#0,stop@3500+0#4,\
                        die@4000+0#3,leave@4500+0#0,surge@4000+2000#0,add@5000+0#0";

#[tokio::test]
async fn promises_hold_while_things_go_wrong() {
    let program = Path::new(env!("CARGO_BIN_EXE_almondknot"));
    let faults: Vec<Fault> = SCHEDULE.split(',').map(|text| text.parse().unwrap()).collect();
    let report = soak::play(program, 90, 1, &faults, 2).await.unwrap();
    assert!(report.seen.arrivals.len() > 500, "there was hardly any load");
    for verdict in &report.verdicts {
        if ALWAYS.contains(&verdict.promise) {
            assert!(verdict.broken.is_empty(), "{}: {:?}", verdict.promise, verdict.broken);
        }
    }
}
