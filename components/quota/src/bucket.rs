//! Token bucket of one tenant at one quota leader, which holds a share of the tenant's whole bucket.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{GRANT, Moment};

/// Part of the tolerance that goes into the capacity; the rest covers nodes that count different numbers of nodes.
const CAPACITY_PART: f64 = 0.5;
/// Smallest burst, as a part of what the rate allows in a window: requests arrive in groups.
const MIN_BURST_PART: f64 = 0.2;
/// Part of the burst that is given as rate, spread over the window: every window may hold the whole burst, and a tenant
/// that sends more than its rate all the time would get it once. What one window holds stays the same. The capacity
/// keeps the tokens that are granted in the time for which they are valid.
const SPREAD_PART: f64 = 0.6;
/// Highest rate and capacity; larger quotas are cut to it, so that sums stay exact.
const MAX_TOKENS: f64 = 1e12;

/// Tolerance with which the quota of a tenant is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Share of the quota that may be exceeded.
    pub overage: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

/// Refill rate and capacity of a tenant's whole bucket, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Most tokens, including granted ones that may still be used.
    pub capacity: f64,
}

impl Limit {
    /// The bucket with which a quota is kept; figures that are no numbers or negative count as 0.
    pub fn new(rate: f64, burst: f64, tolerance: Tolerance) -> Self {
        let clean = |figure: f64| if figure > 0.0 { figure.min(MAX_TOKENS) } else { 0.0 };
        let (rate, burst) = (clean(rate), clean(burst));
        let quota = rate * tolerance.window.as_secs_f64() + burst;
        let excess = clean(tolerance.overage) * quota + clean(tolerance.slack);
        let window = tolerance.window.as_secs_f64();
        // Without a burst there would be no token to grant: a part of the rate is given as a burst.
        let base = burst.max(MIN_BURST_PART * rate * window);
        let rate = if base > burst { rate - (base - burst) / window } else { rate };
        let capacity = base + CAPACITY_PART * excess;
        let spare = (capacity - rate * GRANT.as_secs_f64()).max(0.0);
        let spread = spare.min(SPREAD_PART * base);
        Self { rate: rate + spread / window, capacity: capacity - spread }
    }
}

/// Tokens granted to one node.
#[derive(Debug, Clone, Copy)]
struct Granted {
    id: u64,
    tokens: u32,
    at: Moment,
}

/// A bucket that holds a share of the tenant's whole one.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    pub(crate) limit: Limit,
    level: f64,
    /// Share-seconds of the pool up to which it is refilled.
    refilled: f64,
    granted: VecDeque<Granted>,
    outstanding: u64,
}

impl Bucket {
    /// An empty bucket of a pool that has had `earned` share-seconds.
    pub(crate) fn new(limit: Limit, earned: f64) -> Self {
        Self { limit, level: 0.0, refilled: earned, granted: VecDeque::new(), outstanding: 0 }
    }

    /// Refills the bucket, which holds `share` of the whole one.
    pub(crate) fn settle(&mut self, earned: f64, share: f64, now: Moment) {
        while let Some(first) = self.granted.front()
            && now.surely_since(first.at) >= GRANT
        {
            self.outstanding -= u64::from(first.tokens);
            self.granted.pop_front();
        }
        self.level += (earned - self.refilled).max(0.0) * self.limit.rate;
        self.refilled = earned;
        self.cut(share);
    }

    /// Cuts the level so that it and the outstanding tokens fit in the capacity.
    fn cut(&mut self, share: f64) {
        let room = self.limit.capacity * share - self.outstanding as f64;
        self.level = self.level.min(room).max(0.0);
    }

    /// Takes a token that is used at once.
    pub(crate) fn take(&mut self) -> bool {
        let taken = self.level >= 1.0;
        if taken {
            self.level -= 1.0;
        }
        taken
    }

    /// Puts an unused token back.
    pub(crate) fn put_back(&mut self, share: f64) {
        self.level += 1.0;
        self.cut(share);
    }

    /// Grants up to `wanted` tokens.
    pub(crate) fn grant(&mut self, id: u64, wanted: u32, now: Moment) -> u32 {
        let tokens = (self.level.min(f64::from(wanted))).floor() as u32;
        if tokens > 0 {
            self.level -= f64::from(tokens);
            self.outstanding += u64::from(tokens);
            self.granted.push_back(Granted { id, tokens, at: now });
        }
        tokens
    }

    /// Ends a grant, of which `unspent` tokens were not used.
    pub(crate) fn end_grant(&mut self, id: u64, unspent: u32, share: f64) {
        let Some(place) = self.granted.iter().position(|granted| granted.id == id) else { return };
        let Some(granted) = self.granted.remove(place) else { return };
        self.outstanding -= u64::from(granted.tokens);
        self.level += f64::from(unspent.min(granted.tokens));
        self.cut(share);
    }

    /// Granted tokens that may still be used.
    pub(crate) fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Time until the next token; none if there will be none.
    pub(crate) fn wait(&self, share: f64) -> Option<Duration> {
        if self.limit.capacity * share < 1.0 {
            return None;
        }
        let refill = self.limit.rate * share;
        let seconds = (1.0 - self.level).max(0.0) / refill;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
