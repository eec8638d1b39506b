//! Cost of single decisions, in process: nanoseconds per event and bytes of state.

use std::hint::black_box;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use limits::{AdmissionController, AdmissionRequest, Config, Priority};
use membership::{Member, ServedUpstream, Status, Table, UpstreamState};
use quarantine::Fingerprint;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use retries::{Failure, RetryAllowance, RetryBucket, RetryBudget};
use routing::{Candidate, Tier};
use units::{Clock, Incarnation, ManualClock, RootId, SystemClock, Version};

use crate::system::Setup;
use crate::table;

const EVENTS: u32 = 200_000;
const MEMBER_COUNTS: [usize; 3] = [200, 600, 1_800];
const SERVICES: usize = 150;
const DOMAINS: usize = 18;

/// Measures and prints the costs.
pub fn run(_: &Setup) -> io::Result<()> {
    table::header("Decisions in process", &["decision", "ns per event"]);
    for (name, nanos) in [
        ("admit and finish", admission_cost()),
        ("retry", retry_cost()),
        ("route among 16", route_cost()),
    ] {
        table::row(&[name.to_owned(), format!("{nanos:.0}")]);
    }
    for rules in [50, 500] {
        table::row(&[format!("match one of {rules} rules"), format!("{:.0}", match_cost(rules))]);
    }
    table::header(
        "Membership in process",
        &["members", "merge ns", "digests us", "own domain's records", "bytes per record"],
    );
    for size in MEMBER_COUNTS {
        measure_membership(size);
    }
    Ok(())
}

/// Returns the mean time of an event in nanoseconds.
fn time_per_event(events: u32, mut event: impl FnMut(u32)) -> f64 {
    let started: Instant = SystemClock.now();
    for number in 0..events {
        event(number);
    }
    started.elapsed().as_nanos() as f64 / f64::from(events)
}

fn admission_cost() -> f64 {
    let clock = ManualClock::new();
    let config =
        Config { slots: 40, max_wait: Duration::from_millis(50), adaptive: true, use_level: true };
    let mut controller: AdmissionController<u32> = AdmissionController::new(config, clock.now());
    let mut out = Vec::new();
    time_per_event(EVENTS, |number| {
        clock.advance(Duration::from_micros(100));
        let now = clock.now();
        let priority = Priority::new(2, RootId(u64::from(number)));
        let request = AdmissionRequest {
            key: number,
            priority,
            deadline: now + Duration::from_secs(1),
            is_root: true,
        };
        black_box(controller.admit(request, now, &mut out));
        controller.finish(Duration::from_millis(1), Duration::from_millis(1), now, &mut out);
        out.clear();
    })
}

fn retry_cost() -> f64 {
    let (mut budget, mut bucket) = (RetryBudget::new(RetryAllowance(2)), RetryBucket::new());
    let failure = Failure {
        not_run: true,
        idempotent: false,
        replayable: true,
        exhausted: false,
        crashed_upstream: false,
        time_left: Duration::from_secs(1),
        min_time: Duration::from_millis(1),
    };
    time_per_event(EVENTS, |_| {
        bucket.record_first_attempt(0.1);
        let lent = budget.split_off();
        budget.give_back(lent, lent);
        black_box(retries::decide(failure, &mut budget, &mut bucket));
    })
}

fn route_cost() -> f64 {
    let candidate = |index: usize| Candidate {
        tier: Tier::Domain,
        score: index as f64,
        at_capacity: false,
        unhealthy: false,
        attempted: false,
    };
    let candidates: Vec<Candidate> = (0..16).map(candidate).collect();
    let mut counter = 0;
    time_per_event(EVENTS, |_| {
        let random = |count: usize| {
            counter += 7;
            counter % count
        };
        black_box(routing::choose(&candidates, true, random));
    })
}

fn match_cost(rules: usize) -> f64 {
    let text: String =
        (0..rules).map(|index| format!("call GET /path{index} to s{index} # bench\n")).collect();
    let Ok(set) = rules::parse(&text) else { return f64::NAN };
    time_per_event(EVENTS, |number| {
        let path = if number % 2 == 0 { "/path7/x" } else { "/path49" };
        black_box(set.find(&Default::default(), path));
        black_box(Fingerprint::of_request("GET", path, b""));
    })
}

fn member(index: usize) -> Option<Member> {
    let address: SocketAddr = format!("127.{}.{}.1:8003", index / 250, index % 250).parse().ok()?;
    Some(Member {
        node: format!("node-{index}").parse().ok()?,
        domain: format!("domain-{}", index % DOMAINS).parse().ok()?,
        region: format!("region-{}", index % DOMAINS % 7).parse().ok()?,
        incarnation: Incarnation(1),
        serial: 1,
        status: Status::Alive,
        peer_address: address,
        control_address: address,
        upstream: Some(ServedUpstream {
            service: format!("service-{}", index % SERVICES).parse().ok()?,
            slots: 40,
            state: UpstreamState::Serving,
        }),
        version: Version(1),
    })
}

fn measure_membership(size: usize) {
    let members: Vec<Member> = (0..size).filter_map(member).collect();
    let now = SystemClock.now();
    let config = membership::Config {
        suspicion_timeout: Duration::from_secs(2),
        gone_retention: Duration::from_secs(600),
    };
    let mut table = Table::new(members[0].clone(), config);
    let merge = time_per_event(1, |_| {
        table.merge(members.iter().cloned(), now);
    }) / size as f64;
    let digests = time_per_event(100, |_| {
        black_box(table.digests());
    }) / 1e3;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    black_box(table.next_probe(&mut random));
    let own_domain = table.members_of(&members[0].domain).len();
    // Other names are shared between records. The node id is stored in the record and as the key of the map.
    let record_bytes =
        size_of::<Member>() + 2 * size_of::<units::NodeId>() + members[0].node.as_str().len() + 16;
    table::row(&[
        size.to_string(),
        format!("{merge:.0}"),
        format!("{digests:.0}"),
        own_domain.to_string(),
        record_bytes.to_string(),
    ]);
}
