//! Memory that a node takes for answers of its upstream.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use emulator::scripted::{Behavior, Endless};
use emulator::site::{Config, NodeLimits};
use googletest::prelude::*;
use tokio::io::AsyncReadExt;

#[path = "support/pair.rs"]
mod pair;
#[path = "support/usage.rs"]
mod usage;

use pair::{POLL_INTERVAL, Pair};

/// Memory of the smallest machine of the users' fleets.
const MACHINE_BYTES: u64 = 160 << 20;
/// The first of the nets 127.x that the test uses, one after the other.
const FIRST_NET: u8 = 97;
/// Slots of an upstream of a large service.
const SLOTS: u32 = 248;
/// Least number of them that are in use at once, for the test to show anything.
const MIN_RUNS: usize = SLOTS as usize * 9 / 10;
/// Time for which memory is watched: the time-out of the route and some more.
const WATCHED: Duration = Duration::from_millis(3_500);

/// Machines with an upstream that sends without end.
struct System(Pair);

impl System {
    async fn start(net: u8) -> Self {
        let configuration = Config { version: 3, extra_routes: Vec::new() }.to_json();
        Self(Pair::start(net, SLOTS, &configuration, NodeLimits::default()).await)
    }

    /// Sends as many requests at once as the upstream has slots, which it answers without end. Returns the most memory that a
    /// node took, and the number of requests that ran.
    async fn run(&self, endless: Endless, reads: bool) -> (u64, usize) {
        self.0.upstream.set_behavior(Behavior::Endless(endless));
        self.0.upstream.clear_arrivals();
        let mut callers = Vec::new();
        for number in 0..SLOTS {
            let mut caller = self.0.send(&format!("{reads}-{number}")).await.unwrap();
            callers.push(tokio::spawn(async move {
                if !reads {
                    return Some(caller);
                }
                let mut bytes = vec![0; 64 << 10];
                while caller.read(&mut bytes).await.is_ok_and(|size| size > 0) {}
                None
            }));
        }
        let peak = self.peak_memory().await;
        (peak, self.0.upstream.arrivals().len())
    }

    /// The most memory of a node while it is watched, with what its sockets have received and not read.
    async fn peak_memory(&self) -> u64 {
        let mut peak = 0;
        let until = Instant::now() + WATCHED;
        while Instant::now() < until {
            for node in &self.0.nodes {
                peak = peak.max(usage::memory(node.id()).unwrap());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        peak
    }
}

/// Guards against bytes without end that a node keeps until it is out of memory, and its other clients lose their
/// requests with it: as many answers at once as the upstream has slots, which their callers read or don't.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_take_a_bounded_part_of_the_memory() {
    let kinds = [
        (Endless::Head, MIN_RUNS),
        // Their connections are closed at once, and the upstream is avoided for a while.
        (Endless::Interim, 1),
        (Endless::Body, MIN_RUNS),
        (Endless::Chunks, MIN_RUNS),
        (Endless::Trailer, MIN_RUNS),
    ];
    let cases = kinds.into_iter().flat_map(|kind| [(kind, false), (kind, true)]);
    for (number, ((endless, least), reads)) in cases.enumerate() {
        // A net of its own, as the nodes of the last one plan with what they have seen.
        let system = System::start(FIRST_NET + number as u8).await;
        let (peak, runs) = system.run(endless, reads).await;
        expect_that!(peak, le(MACHINE_BYTES), "{endless:?}, callers read: {reads}");
        expect_that!(runs, ge(least), "{endless:?}, callers read: {reads}");
    }
}
