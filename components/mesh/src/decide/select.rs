//! Choice among the nodes of a service.
//!
//! Designed for some 100 nodes of a service and 1,000 choices a second at one node. Without reported service times the
//! cheapest node is chosen. With them, the cheapest node decides the tier; a few nodes of that tier are drawn in
//! proportion to their speed, fewer while the figures are old, and the one with the least expected time is chosen. All
//! entries see the same fast upstream, and the draw keeps them from sending everything to it at once.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::choose::{Peer, Tier};

/// Cost of a node whose upstream is leaving: it is used only if no other accepts requests, and its guard answers how
/// long to wait.
const LEAVING_COST: Duration = Duration::from_secs(30);
/// Cost of a node whose upstream's calls have to leave the region: more than that of sending the request to another one.
const DETOUR_COST: Duration = Duration::from_millis(300);
/// Random part of the costs, in microseconds, so that nodes of the same cost are used alike.
const JITTER_US: std::ops::Range<u64> = 0..500;
/// Nodes that are drawn while the service-time factors are recent, and while they are older. The same entries that see a
/// fast upstream too late fill it: with three draws and figures 1,000 ms late, upstreams of 6 slots refused requests and
/// the median was higher than without service times.
const FRESH_DRAWS: usize = 3;
const LATE_DRAWS: usize = 2;
/// Average age of the factors up to which they count as recent: half of a spell in which an upstream is slower.
const FRESH_AGE: Duration = Duration::from_millis(300);
/// Cost above the cheapest node from which a node isn't drawn: it is silent, avoided, or leaving.
const MAX_EXCESS: Duration = Duration::from_millis(900);
/// Least expected time in the proportions, so that none is infinite.
const MIN_EXPECTED_SECS: f64 = 1e-4;

/// A node that a request can be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a, T> {
    /// What identifies it.
    pub value: T,
    /// Its load and health; `None` if nothing was sent to it yet.
    pub peer: Option<&'a Peer>,
    /// Its distance.
    pub tier: Tier,
    /// Whether it has not been heard from.
    pub silent: bool,
    /// Whether its upstream is leaving.
    pub leaving: bool,
    /// Whether calls of its upstream have to leave its region.
    pub detour: bool,
}

struct Scored<'a, T> {
    candidate: Candidate<'a, T>,
    cost: Duration,
    run_time: Option<Duration>,
}

/// Chooses a node; also returns whether there are others.
pub fn select<'a, T: Copy>(
    candidates: impl Iterator<Item = Candidate<'a, T>>,
    now: Instant,
    random: &mut impl RngExt,
) -> Option<(T, bool)> {
    let mut reported = false;
    let scored: Vec<Scored<'a, T>> = candidates
        .map(|candidate| {
            let Candidate { peer, tier, silent, leaving, detour, .. } = candidate;
            let cost = match peer {
                Some(peer) => peer.cost(tier, silent, now),
                None => Peer::new(now).cost(tier, silent, now),
            };
            let cost = cost + if leaving { LEAVING_COST } else { Duration::ZERO };
            let cost = cost + if detour { DETOUR_COST } else { Duration::ZERO };
            let cost = cost + Duration::from_micros(random.random_range(JITTER_US));
            let run_time = peer.and_then(|peer| peer.run_time(now));
            reported |= run_time.is_some();
            Scored { candidate, cost, run_time }
        })
        .collect();
    let cheapest = scored.iter().min_by_key(|scored| scored.cost)?;
    let fastest = if reported { fastest_drawn(&scored, cheapest, now, random) } else { None };
    Some((fastest.unwrap_or(cheapest.candidate.value), scored.len() > 1))
}

/// The node with the least expected time among a few that are drawn from the tier of the cheapest.
fn fastest_drawn<T: Copy>(
    scored: &[Scored<'_, T>],
    cheapest: &Scored<'_, T>,
    now: Instant,
    random: &mut impl RngExt,
) -> Option<T> {
    let eligible = scored.iter().filter(|other| {
        other.candidate.tier == cheapest.candidate.tier && other.cost < cheapest.cost + MAX_EXCESS
    });
    let known: Vec<Duration> = eligible.clone().filter_map(|other| other.run_time).collect();
    if known.is_empty() {
        return None;
    }
    let ages = eligible.clone().filter_map(|other| other.candidate.peer?.factor_age(now));
    let mean_age = ages.sum::<Duration>() / known.len() as u32;
    let draws = if mean_age <= FRESH_AGE { FRESH_DRAWS } else { LATE_DRAWS };
    // An upstream that has not reported its service time yet counts as an average one.
    let mean = known.iter().sum::<Duration>() / known.len() as u32;
    let expected = |other: &Scored<'_, T>| match (other.candidate, other.run_time) {
        (Candidate { peer: Some(peer), tier, silent, .. }, Some(run_time)) => {
            peer.expected_time(run_time, tier, silent, now)
        }
        _ => other.cost + mean,
    };
    let weighted: Vec<(T, Duration, f64)> = eligible
        .map(|other| (other.candidate.value, expected(other)))
        .map(|(value, time)| (value, time, 1.0 / time.as_secs_f64().max(MIN_EXPECTED_SECS)))
        .collect();
    let total: f64 = weighted.iter().map(|(_, _, weight)| weight).sum();
    let drawn = (0..draws).filter_map(|_| {
        let mut left = random.random_range(0.0..total);
        let hit = weighted.iter().find(|(_, _, weight)| {
            left -= weight;
            left < 0.0
        });
        hit.or(weighted.last())
    });
    drawn.min_by_key(|(_, time, _)| *time).map(|(value, _, _)| *value)
}
