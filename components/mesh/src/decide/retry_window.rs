//! Retries of a node to one service in any window, as a share of its first attempts.
//!
//! The rule for a deployment is over all its nodes: the retries in any window stay within a ratio of the requests of
//! that window or of the one before it. Each node keeps the same rule for its own first attempts with a smaller share,
//! so that the sum over nodes keeps it whatever each of them knows of the others. The sum of the nodes' maxima exceeds
//! the maximum of the sums while load moves between nodes; the difference between the shares and the ratio covers that.
//!
//! Attempts are counted in slots of a fraction of the window. Each window that holds the present moment is checked, with
//! the retries of its first, partial slot and without the first attempts of partial slots, so that the rule holds for
//! windows that begin within a slot too. Designed for up to some thousand attempts a second at a node.

use std::time::{Duration, Instant};

/// Slots of a window. First attempts are understated by up to one slot of them, and memory grows with their number.
const WINDOW_SLOTS: usize = 32;
/// Slots that are kept: those of two windows.
const SLOTS: usize = 2 * WINDOW_SLOTS;
/// Shortest window, so that a slot has a length.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// Attempts in one slot.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    firsts: u32,
    retries: u32,
}

/// First attempts and retries of the last two windows.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    slots: [Slot; SLOTS],
    slot: Duration,
    origin: Instant,
    /// Number of the latest slot since `origin`.
    latest: u64,
}

impl RetryWindow {
    /// Counts of zero, for windows of the given length.
    pub fn new(length: Duration, now: Instant) -> Self {
        let slot = length.max(MIN_WINDOW) / WINDOW_SLOTS as u32;
        Self { slots: [Slot::default(); SLOTS], slot, origin: now, latest: 0 }
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Instant) {
        let slot = self.advance(now);
        slot.firsts = slot.firsts.saturating_add(1);
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Instant) {
        let slot = self.advance(now);
        slot.retries = slot.retries.saturating_add(1);
    }

    /// Retries that every window holding `now` still allows, as a share of its first attempts or of those in the window
    /// before it, whichever are more. Negative if a window holds more than that.
    pub fn left(&mut self, share: f64, now: Instant) -> f64 {
        self.advance(now);
        let (mut left, mut retries, mut after) = (f64::INFINITY, 0, 0);
        let mut before: u64 = (1..WINDOW_SLOTS).map(|age| self.firsts(age)).sum();
        // The window starts within the slot of this age.
        for age in 0..=WINDOW_SLOTS {
            retries += u64::from(self.at(age).retries);
            left = left.min(share * before.max(after) as f64 - retries as f64);
            after += self.firsts(age);
            before = before + self.firsts(age + WINDOW_SLOTS) - self.firsts(age + 1);
        }
        left
    }

    /// First attempts per second in the last window or the one before it, whichever had more.
    pub fn rate(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let sum =
            |from: usize| (from..from + WINDOW_SLOTS).map(|age| self.firsts(age)).sum::<u64>();
        let most = sum(0).max(sum(WINDOW_SLOTS));
        most as f64 / (self.slot.as_secs_f64() * WINDOW_SLOTS as f64)
    }

    /// The slot that is so many slots older than the latest; an empty one if it is no longer kept.
    fn at(&self, age: usize) -> Slot {
        let number = self.latest.checked_sub(age as u64).filter(|_| age < SLOTS);
        number.map_or_else(Slot::default, |number| self.slots[number as usize % SLOTS])
    }

    fn firsts(&self, age: usize) -> u64 {
        u64::from(self.at(age).firsts)
    }

    /// Clears the slots that have passed, and returns that of `now`.
    fn advance(&mut self, now: Instant) -> &mut Slot {
        let passed = now.saturating_duration_since(self.origin).as_nanos();
        let number = (passed / self.slot.as_nanos()) as u64;
        // A time before the latest one counts as the latest.
        let number = number.max(self.latest);
        for cleared in (self.latest + 1..=number).rev().take(SLOTS) {
            self.slots[cleared as usize % SLOTS] = Slot::default();
        }
        self.latest = number;
        &mut self.slots[number as usize % SLOTS]
    }
}
