//! Recognises callers that were refused and have come back as they were told, by the time that they have left.
//!
//! A caller keeps its deadline when it comes back, so that it has clearly less time left than fresh requests of the route.
//! What these have is learned as the largest time left that was seen lately. Where fresh requests differ in it, the short
//! ones can't be told from returning ones: if more than a few are short while the route is admitted in full, none of the
//! route's requests counts as returning.
//!
//! Designed for some hundred routes; what is kept of each has a constant size.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::meter::DecayingRate;

/// Part of the usual time under which a request counts as returning. Refused callers are told to wait for 0.23 to 0.33 of
/// their time; the delay of a fresh request is well below the rest.
const RETURNING_PART: f64 = 0.87;
/// Time after which a largest value is forgotten at the latest is twice this.
const GENERATION: Duration = Duration::from_secs(60);
/// Time constant of the rates of fresh requests.
const FRESH_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Share of short requests while nobody is refused from which fresh requests differ in their time.
const MAX_SHORT_SHARE: f64 = 0.1;
/// Requests that are assumed to have had the usual time, so that a single one decides nothing.
const ASSUMED_FULL: f64 = 4.0;
/// Longest time that is learned: longer ones say nothing of a request.
const MAX_LEFT: Duration = Duration::from_secs(3_600);
/// Most routes.
const MAX_ROUTES: usize = 4_096;

/// Times left of the requests of each route.
#[derive(Debug, Default)]
pub struct Returning(HashMap<Arc<str>, Times>);

#[derive(Debug)]
struct Times {
    /// Largest values of the generation before this one, and of this one.
    largest: [Duration; 2],
    since: Instant,
    /// Requests while nobody was refused, and the short ones of them.
    all: DecayingRate,
    short: DecayingRate,
}

impl Returning {
    /// Learns the time that a request has left, and returns whether its caller has come back; `in_full` is whether all
    /// requests of its route are admitted.
    pub fn observe(
        &mut self,
        route: &Arc<str>,
        left: Duration,
        in_full: bool,
        now: Instant,
    ) -> bool {
        if !self.0.contains_key(route) && self.0.len() >= MAX_ROUTES {
            return false;
        }
        let times = self.0.entry(route.clone()).or_insert_with(|| Times::new(now));
        times.observe(left.min(MAX_LEFT), in_full, now)
    }
}

impl Times {
    fn new(now: Instant) -> Self {
        Self {
            largest: [Duration::ZERO; 2],
            since: now,
            all: DecayingRate::new(FRESH_TIME_CONSTANT, now),
            short: DecayingRate::new(FRESH_TIME_CONSTANT, now),
        }
    }

    fn observe(&mut self, left: Duration, in_full: bool, now: Instant) -> bool {
        // While callers are refused, fresh requests may be too few to renew what is known.
        if in_full && now.saturating_duration_since(self.since) >= GENERATION {
            self.largest = [self.largest[1], Duration::ZERO];
            self.since = now;
        }
        self.largest[1] = self.largest[1].max(left);
        let usual = self.largest[0].max(self.largest[1]);
        let short = left < usual.mul_f64(RETURNING_PART);
        if in_full {
            self.all.add(1.0, now);
            self.short.add(f64::from(u8::from(short)), now);
        }
        short && !self.varies(now)
    }

    /// Whether fresh requests differ in the time that they have left.
    fn varies(&self, now: Instant) -> bool {
        let assumed = ASSUMED_FULL / FRESH_TIME_CONSTANT.as_secs_f64();
        self.short.rate(now) > MAX_SHORT_SHARE * (self.all.rate(now) + assumed)
    }
}
