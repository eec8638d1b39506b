//! Retry budget: retries as a share of first sends.
//!
//! Where a service fails more calls than the budget can repeat, retries that are given to whoever asks first see no call
//! tree through: a tree of eight calls that fail half of the time nearly always lacks one. Each tree therefore has a rank,
//! the same at all nodes, and only trees up to some rank get retries. A node moves this limit so that those trees get
//! every retry they ask for: down when one of them finds the budget empty, up when retries are left over.
//!
//! Where the deployment states its bounds, retries are earned by time, at the share of the first attempts of the last two
//! windows, and the window is a second limit. When trees fail at their first call, first attempts collapse; retries
//! earned by them alone would collapse too, although the deployment allows a share of the earlier load. As steps of the
//! limit are rare then, it is first set to what the shed share and the earlier calls suggest, and moves from there.

use std::time::{Duration, Instant};

use super::meter::DecayingRate;
use super::retry_window::RetryWindow;
use super::shedding::{Change, Shedding};

/// Retries per first send, for services whose upstreams make no calls and for those whose upstreams do. Retrying a
/// request repeats its calls: the first ratio plus three times the second stays under one fifth for the deployment.
const LEAF_RATIO: f64 = 0.12;
const CALLING_RATIO: f64 = 0.025;
/// Retries that a node may accumulate, so that all nodes together stay within the deployment's tolerance.
const MAX_TOKENS: f64 = 3.0;
/// Retries that only the most urgent requests may use.
const URGENT_RESERVE: f64 = 1.0;

/// First sends whose retries a node may accumulate in addition, as time: where many calls are in progress, their failures
/// come in clumps.
const BURST_SECS: f64 = 0.03;
const MAX_BURST: f64 = 6.0;
/// Time constant of the rate of first sends.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Share of the deployment's ratio that nodes allow for services whose upstreams make no calls, and for those whose
/// upstreams do: the proportions of the ratios above, less a tenth for load that moves between nodes.
const LEAF_SHARE: f64 = 0.9 * LEAF_RATIO / 0.2;
const CALLING_SHARE: f64 = 0.9 * CALLING_RATIO / 0.2;
/// Rate at which retries are earned, relative to one that fills the window evenly, so that a service that sheds for less
/// than a window can use all of it.
const PACE: f64 = 1.25;
/// Time in which earned retries may be saved: a tree needs all of its retries within a fraction of a second, and with
/// less, two trees at once leave each other without. The window bounds what is sent.
const SAVED_SECS: f64 = 6.0;

/// First sends between two changes of the limit.
const STEP_SENDS: u32 = 24;
/// Factor on the limit after a step in which a tree within it found the budget empty, after one that ended with a budget
/// that is nearly full, and after one that ended with half of it. The first two count more with each such step in a row.
const LOWER: f64 = 0.93;
const RAISE: f64 = 1.03;
const RAISE_SLOWLY: f64 = 1.01;
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 1.5;
/// Shares of the budget that count as nearly full, and as half.
const NEARLY_FULL: f64 = 0.9;
const HALF: f64 = 0.5;
/// Lowest limit: some trees of the most urgent routes are always within it.
const MIN_LIMIT: f64 = 1_024.0;
const PRIORITY_BITS: u32 = 16;

/// Order in which call trees get retries: by priority, and within a priority by the number that their root request was
/// given at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u32);

/// Number of a tree that is not known: such trees get retries only where all do.
pub const UNKNOWN: u16 = u16::MAX;

impl Rank {
    /// Rank of a tree.
    pub fn new(priority: u8, number: u16) -> Self {
        Self(u32::from(priority) << PRIORITY_BITS | u32::from(number))
    }

    fn is_urgent(self) -> bool {
        self.0 >> PRIORITY_BITS == 0
    }

    /// Priority of the tree.
    fn priority(self) -> u8 {
        (self.0 >> PRIORITY_BITS) as u8
    }

    /// The lowest limit that all trees of this priority are within.
    fn priority_end(self) -> f64 {
        f64::from((self.0 >> PRIORITY_BITS) + 1) * f64::from(1 << PRIORITY_BITS)
    }
}

/// Bounds of a deployment on the retries to a service in any window, as far as they concern one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries of this node in any window besides.
    pub allowance: f64,
}

/// Retries in a window, and the rate at which they are earned.
#[derive(Debug, Clone)]
struct Windowed {
    bounds: Bounds,
    counts: RetryWindow,
    share: f64,
    /// Retries earned per second.
    pace: f64,
    paced_at: Instant,
    /// Earned since the last first send.
    earned: f64,
    shedding: Shedding,
}

/// Retries that a node may still send to one service.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    /// None if the deployment states no bounds.
    windowed: Option<Windowed>,
    /// Highest rank that gets retries.
    limit: f64,
    /// The limit that all trees seen so far are within.
    top: f64,
    sends: u32,
    rate: DecayingRate,
    /// Whether a tree within the limit found the budget empty since the last step.
    exhausted: bool,
    /// Steps in a row that lowered the limit, if negative, or raised it.
    streak: i32,
}

impl Windowed {
    fn new(bounds: Bounds, now: Instant) -> Self {
        let counts = RetryWindow::new(bounds.window, now);
        let shedding = Shedding::new(now);
        Self { bounds, counts, share: 0.0, pace: 0.0, paced_at: now, earned: 0.0, shedding }
    }

    /// Counts a first send, and returns the retries that it earns.
    fn record_send(&mut self, calls: bool, rank: Rank, now: Instant) -> f64 {
        self.shedding.record_first(rank.priority(), now);
        self.share = self.bounds.ratio * if calls { CALLING_SHARE } else { LEAF_SHARE };
        self.counts.record_first(now);
        self.pace = PACE * self.share * self.counts.rate(now);
        let by_time = self.earn(now);
        // After a start, the window holds little.
        by_time + (self.share - std::mem::take(&mut self.earned)).max(0.0)
    }

    /// Retries earned by time since the last call.
    fn earn(&mut self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.paced_at);
        self.paced_at = self.paced_at.max(now);
        let earned = self.pace * passed.as_secs_f64();
        self.earned += earned;
        earned
    }

    /// Whether the window allows a retry. There is no reserve for urgent trees: where a node sends few requests, the
    /// window allows a single retry, and others would get none.
    fn allows(&mut self, now: Instant) -> bool {
        self.counts.left(self.share, now) + self.bounds.allowance >= 1.0
    }
}

impl Budget {
    /// A budget that allows few retries, until requests are sent.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0 + URGENT_RESERVE,
            windowed: None,
            limit: f64::INFINITY,
            top: MIN_LIMIT,
            sends: 0,
            rate: DecayingRate::new(RATE_TIME_CONSTANT, now),
            exhausted: false,
            streak: 0,
        }
    }

    /// A budget within bounds of the deployment.
    pub fn bounded(bounds: Bounds, now: Instant) -> Self {
        Self { windowed: Some(Windowed::new(bounds, now)), ..Self::new(now) }
    }

    /// Changes the retries that this node may send in any window besides the share.
    pub fn set_allowance(&mut self, allowance: f64) {
        if let Some(windowed) = &mut self.windowed {
            windowed.bounds.allowance = allowance;
        }
    }

    /// Counts a first send of a tree's call; `calls` is whether the service's upstreams make calls.
    pub fn record_send(&mut self, calls: bool, rank: Rank, now: Instant) {
        self.rate.add(1.0, now);
        let earned = match &mut self.windowed {
            Some(windowed) => windowed.record_send(calls, rank, now),
            None if calls => CALLING_RATIO,
            None => LEAF_RATIO,
        };
        let max = self.max_tokens(now);
        self.tokens = (self.tokens + earned).min(max);
        self.sends += 1;
        if self.sends >= STEP_SENDS {
            self.move_limit(self.tokens / max);
        }
        self.follow_shedding(now);
    }

    /// Whether a tree of this rank gets retries although others don't.
    pub fn prefers(&self, rank: Rank) -> bool {
        self.limit.is_finite() && f64::from(rank.0) <= self.limit
    }

    /// Takes a retry from the budget, if one is left for a tree of this rank.
    pub fn try_retry(&mut self, rank: Rank, now: Instant) -> bool {
        self.top = self.top.max(rank.priority_end());
        if let Some(windowed) = &mut self.windowed {
            windowed.shedding.record_shed(now);
        }
        self.follow_shedding(now);
        if f64::from(rank.0) > self.limit {
            return false;
        }
        let max = self.max_tokens(now);
        let needed = if rank.is_urgent() { 1.0 } else { 1.0 + URGENT_RESERVE };
        let mut granted = true;
        if let Some(windowed) = &mut self.windowed {
            self.tokens = (self.tokens + windowed.earn(now)).min(max);
            granted = windowed.allows(now);
        }
        granted &= self.tokens >= needed;
        if granted {
            self.tokens -= 1.0;
            if let Some(windowed) = &mut self.windowed {
                windowed.counts.record_retry(now);
                windowed.shedding.record_retry(now);
            }
        }
        self.exhausted |= !granted;
        granted
    }

    /// Sets the limit when the service starts to shed calls, and drops it when that ends.
    fn follow_shedding(&mut self, now: Instant) {
        let Some(windowed) = &mut self.windowed else { return };
        match windowed.shedding.update(PACE * windowed.share, now) {
            Some(Change::Started(priority, share)) => {
                let start = Rank::new(priority, 0);
                let limit = f64::from(start.0) + share * f64::from(1 << PRIORITY_BITS);
                self.limit = self.limit.min(limit).max(MIN_LIMIT);
            }
            Some(Change::Ended) => self.limit = f64::INFINITY,
            None => {}
        }
    }

    /// Most retries that may be saved.
    fn max_tokens(&self, now: Instant) -> f64 {
        let burst = (self.rate.rate(now) * BURST_SECS).min(MAX_BURST);
        let saved = self.windowed.as_ref().map_or(0.0, |windowed| windowed.pace * SAVED_SECS);
        MAX_TOKENS + burst.max(saved)
    }

    /// Moves the limit; `filled` is the filled share of the budget.
    fn move_limit(&mut self, filled: f64) {
        self.sends = 0;
        let factor = if std::mem::take(&mut self.exhausted) {
            self.streak = self.streak.min(0) - 1;
            LOWER.powi(-self.streak).max(MIN_FACTOR)
        } else if filled >= NEARLY_FULL {
            self.streak = self.streak.max(0) + 1;
            RAISE.powi(self.streak).min(MAX_FACTOR)
        } else {
            self.streak = 0;
            if filled >= HALF { RAISE_SLOWLY } else { 1.0 }
        };
        let limit = self.limit.min(self.top) * factor;
        self.limit = if limit > self.top { f64::INFINITY } else { limit.max(MIN_LIMIT) };
    }
}
