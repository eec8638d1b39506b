//! A short soak run with a fixed schedule.
//!
//! Promises with a time limit are checked in manual runs only, as a busy machine would break them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::path::Path;

use emulator::schedule::Fault;
use emulator::soak;

/// Promises that hold on a machine of any speed.
const TIME_INDEPENDENT: [&str; 5] = [
    "whole answers to who asked",
    "at most once",
    "not run is true",
    "only what was asked runs",
    "only where routes lead",
];

/// Upstreams send corrupt answers, crash and leave; nodes are killed, stopped and paused; the store is unavailable.
const SCHEDULE: &str = "mix@1000+4000#1,lose@1000+5000#6,truncate@1500+4000#3,kill@2000+1000#2,\
                        freeze@2500+1500#5,shed@3000+3000#7,store-silent@3000+3000#0,stop@3500+0#4,\
                        die@4000+0#3,leave@4500+0#0,surge@4000+2000#0,add@5000+0#0";

#[tokio::test]
async fn promises_hold_under_faults() {
    let program = Path::new(env!("CARGO_BIN_EXE_almondknot"));
    let faults: Vec<Fault> = SCHEDULE.split(',').map(|text| text.parse().unwrap()).collect();
    let report = soak::run(program, 90, 1, &faults, 2).await.unwrap();
    assert!(report.observations.arrivals.len() > 500, "too little load");
    for verdict in &report.verdicts {
        if TIME_INDEPENDENT.contains(&verdict.promise) {
            assert!(verdict.violations.is_empty(), "{}: {:?}", verdict.promise, verdict.violations);
        }
    }
}
