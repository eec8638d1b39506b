//! Choice among the nodes of a service.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::choose::{Peer, Tier};
use mesh::decide::queue::Load;
use mesh::decide::select::{self, Candidate};
use mesh::decide::service_time::ServiceTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
const TIERS: [Tier; 3] = [Tier::Zone, Tier::Region, Tier::Remote];

/// The choice as it was before upstreams reported a service-time factor.
fn cheapest(
    candidates: &[Candidate<'_, usize>],
    now: Instant,
    random: &mut ChaCha8Rng,
) -> Option<(usize, bool)> {
    let mut best: Option<(Duration, usize)> = None;
    let mut has_more = false;
    for candidate in candidates {
        let Candidate { value, peer, tier, silent, leaving, .. } = *candidate;
        let cost = match peer {
            Some(peer) => peer.cost(tier, silent, now),
            None => Peer::new(now).cost(tier, silent, now),
        };
        let cost = cost + if leaving { Duration::from_secs(30) } else { Duration::ZERO };
        let cost = cost + Duration::from_micros(random.random_range(0..500));
        has_more = best.is_some();
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, value));
        }
    }
    best.map(|(_, value)| (value, has_more))
}

fn random_peer(random: &mut ChaCha8Rng, now: Instant) -> Peer {
    let mut peer = Peer::new(now);
    for _ in 0..random.random_range(0..5) {
        peer.record_sent(now);
    }
    let load = Load {
        running: random.random_range(0..12),
        waiting: random.random_range(0..3),
        limit: random.random_range(0..12),
        held_us: random.random_range(0..300_000),
        ..Load::default()
    };
    peer.record_report(load, now);
    match random.random_range(0..8) {
        0 => peer.record_failure(now),
        1 => peer.record_outcome(false, now),
        2 => peer.record_overhead(80 * MS, 20 * MS, now),
        _ => {}
    }
    peer
}

/// Guards against a changed choice in deployments whose upstreams report no service-time factor.
#[gtest]
fn without_reported_factors_the_choice_is_the_cheapest_node() {
    let now = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for seed in 0..2_000 {
        let count = random.random_range(0..12);
        let peers: Vec<Peer> = (0..count).map(|_| random_peer(&mut random, now)).collect();
        let candidates: Vec<Candidate<'_, usize>> = peers
            .iter()
            .enumerate()
            .map(|(value, peer)| Candidate {
                value,
                peer: random.random_bool(0.9).then_some(peer),
                tier: TIERS[random.random_range(0..3)],
                silent: random.random_bool(0.1),
                leaving: random.random_bool(0.1),
                detour: false,
            })
            .collect();
        let later = now + Duration::from_millis(random.random_range(0..3_000));
        let expected = cheapest(&candidates, later, &mut ChaCha8Rng::seed_from_u64(seed));
        let mut same = ChaCha8Rng::seed_from_u64(seed);
        expect_that!(select::select(candidates.into_iter(), later, &mut same), eq(expected));
    }
}

fn reporting(run_ms: u32, running: u32, now: Instant) -> Peer {
    let mut peer = Peer::new(now);
    let service_time = ServiceTime::checked(run_ms * 1_000, 100, 0);
    let load = Load { running, limit: 10, held_us: 100_000, service_time, ..Load::default() };
    peer.record_report(load, now);
    peer
}

/// How often each of the nodes is chosen.
fn shares(peers: &[(Peer, Tier, bool)], now: Instant) -> Vec<f64> {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut chosen = vec![0.0; peers.len()];
    for _ in 0..10_000 {
        let candidates = peers.iter().enumerate().map(|(value, (peer, tier, silent))| Candidate {
            value,
            peer: Some(peer),
            tier: *tier,
            silent: *silent,
            leaving: false,
            detour: false,
        });
        chosen[select::select(candidates, now, &mut random).unwrap().0] += 1e-4;
    }
    chosen
}

#[gtest]
fn a_fast_upstream_gets_most_requests_but_not_all() {
    let now = Instant::now();
    let zone = |run_ms| (reporting(run_ms, 1, now), Tier::Zone, false);
    let chosen = shares(&[zone(100), zone(240), zone(240), zone(240)], now);
    expect_that!(chosen[0], all!(gt(0.6), lt(0.95)));
}

/// Guards against traffic between zones and regions, which is billed, for the sake of a faster upstream there.
#[gtest]
fn a_faster_upstream_of_another_tier_is_not_preferred() {
    let now = Instant::now();
    let near = (reporting(240, 1, now), Tier::Zone, false);
    let chosen = shares(&[near, (reporting(100, 1, now), Tier::Region, false)], now);
    expect_that!(chosen[0], eq(chosen.iter().sum::<f64>()));
}

#[gtest]
fn a_fast_upstream_with_a_queue_an_avoided_one_and_a_silent_one_are_not_preferred() {
    let now = Instant::now();
    let slow = (reporting(240, 1, now), Tier::Zone, false);
    let queued = (reporting(100, 60, now), Tier::Zone, false);
    let mut failed = reporting(100, 1, now);
    failed.record_failure(now);
    let silent = (reporting(100, 1, now), Tier::Zone, true);
    let peers = [slow.clone(), queued, (failed, Tier::Zone, false), silent];
    let chosen = shares(&peers, now);
    expect_that!(chosen[0], gt(0.6));
    expect_that!(chosen[2] + chosen[3], eq(0.0));
}

#[gtest]
fn an_upstream_without_a_factor_counts_as_an_average_one() {
    let now = Instant::now();
    let mut unknown = Peer::new(now);
    unknown.record_report(Load { running: 1, limit: 10, held_us: 100_000, ..Load::default() }, now);
    let zone = |peer| (peer, Tier::Zone, false);
    let peers = [zone(reporting(100, 1, now)), zone(unknown), zone(reporting(300, 1, now))];
    let chosen = shares(&peers, now);
    expect_that!(chosen[1], all!(gt(chosen[2]), lt(chosen[0])));
}
