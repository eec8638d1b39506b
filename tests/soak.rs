//! Short soak runs with fixed schedules.
//!
//! Promises with a time limit are checked in manual runs only, as a busy machine would break them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::path::Path;
use std::time::Duration;

use emulator::recorder::{Event, Outcome};
use emulator::schedule::Fault;
use emulator::soak::{self, Report};

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

/// Upstreams announce limits, leave and send without end; their nodes are killed and stopped meanwhile.
const ANNOUNCEMENTS: &str = "limit@1000+12000#0,limit@1500+9001#4,depart@3000+0#1,kill@6000+1000#0,\
                             endless@2000+4000#2,stop@4000+0#1,kill@8000+800#4,depart@9000+0#6,kill@11000+500#6";
/// Promises that upstreams check from what they announced; a slow machine only sends them less.
const ANNOUNCED: [&str; 2] = ["rate limits kept", "no new work after an answer of who leaves"];

/// Upstreams deregister while the store refuses, and all nodes of their failure domain, or all nodes, are killed right after the
/// acknowledgement; a node is stopped, and another one killed, meanwhile.
const LOSSES: &str = "lose-domain@1500+4500#1,stop@2500+0#4,kill@5000+800#9,lose-all@12000+4500#6";
/// Promises on upstreams that deregister and serve on.
const DEPARTED: [&str; 1] = ["no new work for who leaves"];

/// Nodes are killed and stopped in the seconds that the store loses; later it loses others, without restarts.
const RESTORES: &str =
    "store-restored@1000+3000#0,kill@1500+800#2,stop@2000+0#5,store-restored@14000+2500#3";
/// Every node is suspended while the store is changed, loses the change, and is changed once more.
const SUSPENDED: &str = "freeze@13700+4000#0,freeze@13700+4001#1,freeze@13700+4002#2,freeze@13700+4003#3,\
                         freeze@13700+4004#4,freeze@13700+4005#5,freeze@13700+4006#6,freeze@13700+4007#7,\
                         store-restored@14000+1500#1";
/// Changes in quick succession from a store behind a narrow link, while nodes are killed, stopped and suspended; then
/// a version number is given out again. Another writer leaves odd entries before the restarts.
const STORM: &str = "odd-entries@1000+0#0,odd-entries@1100+0#3,storm@2000+5000#0,kill@2500+1000#0,\
                     freeze@3000+1500#4,stop@3500+0#2,kill@4500+800#3,store-reissued@13000+1500#0";
/// Time after a change by which it is in force at every node, on the slowest machine.
const LONGEST_DELAY: Duration = Duration::from_secs(9);

async fn run(net: u8, schedule: &str, zones: u8) -> Report {
    let program = Path::new(env!("CARGO_BIN_EXE_almondknot"));
    let faults: Vec<Fault> = schedule.split(',').map(|text| text.parse().unwrap()).collect();
    soak::run(program, net, 1, &faults, zones).await.unwrap()
}

fn expect_held(report: &Report, promises: &[&str]) {
    assert!(report.observations.arrivals.len() > 500, "too little load");
    for verdict in &report.verdicts {
        if promises.contains(&verdict.promise) {
            assert!(verdict.violations.is_empty(), "{}: {:?}", verdict.promise, verdict.violations);
        }
    }
}

#[tokio::test]
async fn promises_hold_under_faults() {
    expect_held(&run(90, SCHEDULE, 2).await, &TIME_INDEPENDENT);
}

/// Guards against limits and departures that are kept only until the node beside the upstream is restarted.
#[tokio::test]
async fn what_upstreams_announce_holds_across_restarts() {
    let report = run(91, ANNOUNCEMENTS, 3).await;
    let announced = |(_, event): &(_, Event)| matches!(event, Event::LimitAnnounced { .. });
    assert!(report.observations.events.iter().any(announced), "no limit was announced");
    expect_held(&report, &TIME_INDEPENDENT);
    expect_held(&report, &ANNOUNCED);
}

/// Guards against departures that are lost with all the nodes that knew of them, while the store refuses.
#[tokio::test]
async fn departures_outlive_the_nodes_that_acknowledged_them() {
    let report = run(95, LOSSES, 3).await;
    let departed = |(_, event): &&(_, Event)| matches!(event, Event::Draining { .. });
    assert_eq!(report.observations.events.iter().filter(departed).count(), 2);
    expect_held(&report, &TIME_INDEPENDENT);
    expect_held(&report, &DEPARTED);
    assert!(report.served() > 0.3, "served {}", report.served());
}

/// Guards against a change that is never read, as the store was restored and gave its offset out again.
#[tokio::test]
async fn changes_around_restores_of_the_store_are_in_force_in_the_end() {
    let report = run(92, RESTORES, 2).await;
    expect_held(&report, &TIME_INDEPENDENT);
    expect_last_change(&report);
}

/// Guards against a change that is never read, as all nodes slept through a restore and then read an answer of before it.
#[tokio::test]
async fn changes_around_a_restore_that_all_nodes_sleep_through_are_in_force_in_the_end() {
    let report = run(93, SUSPENDED, 2).await;
    expect_held(&report, &TIME_INDEPENDENT);
    expect_last_change(&report);
}

/// Guards against changes that are late or lost as each node reads each of them, against an added route of a version whose number
/// was given out before, and against nodes that odd entries keep out of use.
#[tokio::test]
async fn changes_in_quick_succession_and_reissued_ones_are_in_force_in_the_end() {
    let report = run(94, STORM, 2).await;
    expect_held(&report, &TIME_INDEPENDENT);
    expect_last_change(&report);
    assert!(report.served() > 0.5, "served {}", report.served());
}

/// Checks that the route which was added last is known everywhere once the longest delay has passed.
fn expect_last_change(report: &Report) {
    let changes = report.observations.events.iter().filter_map(|(at, event)| match event {
        Event::Configured { extra_routes } => Some((*at, extra_routes.last()?)),
        _ => None,
    });
    let (changed, route) = changes.max_by_key(|(at, _)| *at).unwrap();
    let prefix = format!("/{route}/");
    let probes = report.observations.requests.iter().filter(|(request, _)| {
        request.content.path.starts_with(&prefix) && request.at > changed + LONGEST_DELAY
    });
    let statuses: Vec<(&str, u16)> = probes
        .filter_map(|(request, outcome)| match outcome {
            Some((_, Outcome::Answered { status, .. })) => Some((request.node.as_str(), *status)),
            _ => None,
        })
        .collect();
    assert!(statuses.len() > 40, "too few probes: {}", statuses.len());
    let unknown: Vec<_> = statuses.iter().filter(|(_, status)| *status == 404).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
