//! Rate limit of an upstream, as it announces it in its answers, and a token bucket that keeps it.
//!
//! Answers overtake each other, so one that raises or ends the limit counts only if its request was sent after the
//! last answer that confirmed the limit had arrived. An answer without a limit doubles the rate; the limit ends when
//! the upstream's slots are the tighter bound, or at once comes back if the next answer announces it again.

use std::time::{Duration, Instant};

use units::Rate;

/// Time whose requests may be sent in one burst.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Least rate in requests per second: only an answer tells that a limit has ended.
const PROBE_RATE: f64 = 0.5;
/// Part of the slots used before the first answer tells whether there is a limit, as a divisor, and the least number.
const UNCONFIRMED_DIVISOR: u32 = 4;
const MIN_UNCONFIRMED_SLOTS: u32 = 4;
/// Factor on the rate for an answer without a limit.
const REOPENING_FACTOR: f64 = 2.0;
/// Longest wait for a token that is reported.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What an answer says of the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Announced {
    /// No limit.
    Unlimited,
    /// Requests per second that the upstream accepts from all callers together.
    Limit(Rate),
    /// An invalid value, which changes nothing.
    Invalid,
}

/// An answer of the upstream, as far as its rate limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// What it announces.
    pub announced: Announced,
    /// When its request was sent.
    pub sent_at: Instant,
    /// Whether the upstream ran the request; only then does a missing limit mean that it has ended.
    pub ran: bool,
}

/// Limit in force.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    announced: Rate,
    /// Rate in use: the announced one, or a higher one while the limit is being ended.
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
    /// When the limit was last set, confirmed or raised.
    confirmed_at: Instant,
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    /// No answer of this incarnation has arrived yet.
    #[default]
    Unknown,
    Unlimited,
    Limited(Bucket),
}

/// Rate limit of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimit {
    state: State,
}

impl RateLimit {
    /// Sets a limit that was known before a restart; false if an answer has told about it since.
    pub fn restore(&mut self, limit: Rate, now: Instant) -> bool {
        let unknown = matches!(self.state, State::Unknown);
        if unknown {
            self.state = State::Limited(Bucket::new(limit, now));
        }
        unknown
    }

    /// Records that there was no limit before a restart.
    pub fn restore_unlimited(&mut self) {
        if matches!(self.state, State::Unknown) {
            self.state = State::Unlimited;
        }
    }

    /// Updates the limit from an answer; `capacity` is the number of requests per second that the slots allow.
    pub fn record_answer(&mut self, answer: Answer, capacity: f64, now: Instant) {
        match (&mut self.state, answer.announced) {
            (State::Limited(bucket), Announced::Limit(limit)) => {
                bucket.announce(limit, answer.sent_at, now);
            }
            (_, Announced::Limit(limit)) => self.state = State::Limited(Bucket::new(limit, now)),
            (State::Limited(bucket), Announced::Unlimited) => {
                if answer.ran && bucket.reopen(answer.sent_at, now) >= capacity {
                    self.state = State::Unlimited;
                }
            }
            (State::Limited(_), Announced::Invalid) => {}
            (State::Unknown | State::Unlimited, _) => self.state = State::Unlimited,
        }
    }

    /// Takes a token for one request, if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let State::Limited(bucket) = &mut self.state else { return true };
        bucket.refill(now);
        let taken = bucket.tokens >= 1.0;
        if taken {
            bucket.tokens -= 1.0;
        }
        taken
    }

    /// Returns a token that was taken for a request that was not sent.
    pub fn put_back(&mut self) {
        if let State::Limited(bucket) = &mut self.state {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst());
        }
    }

    /// Time until there are `count` tokens.
    pub fn wait(&self, count: f64, now: Instant) -> Duration {
        let State::Limited(mut bucket) = self.state else { return Duration::ZERO };
        bucket.refill(now);
        let seconds = (count - bucket.tokens).max(0.0) / bucket.rate;
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// How many of the upstream's slots may be used.
    pub fn usable_slots(&self, slots: u32) -> u32 {
        match self.state {
            State::Unknown => (slots / UNCONFIRMED_DIVISOR).max(MIN_UNCONFIRMED_SLOTS).min(slots),
            State::Unlimited | State::Limited(_) => slots,
        }
    }

    /// The announced limit.
    pub fn announced(&self) -> Option<Rate> {
        match &self.state {
            State::Limited(bucket) => Some(bucket.announced),
            State::Unknown | State::Unlimited => None,
        }
    }

    /// The rate in use, and the tokens at hand.
    pub fn rate_and_tokens(&self, now: Instant) -> Option<(Rate, f64)> {
        let State::Limited(mut bucket) = self.state else { return None };
        bucket.refill(now);
        Some((Rate(bucket.rate), bucket.tokens))
    }
}

impl Bucket {
    /// An empty bucket: requests sent before the limit was known count against it.
    fn new(announced: Rate, now: Instant) -> Self {
        let rate = announced.0.max(PROBE_RATE);
        Self { announced, rate, tokens: 0.0, refilled_at: now, confirmed_at: now }
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Applies an announced limit; one that is higher only if it is certainly newer.
    fn announce(&mut self, limit: Rate, sent_at: Instant, now: Instant) {
        if limit > self.announced && sent_at < self.confirmed_at {
            return;
        }
        self.announced = limit;
        self.confirmed_at = now;
        self.set_rate(limit.0.max(PROBE_RATE), now);
    }

    /// Raises the rate after an answer without a limit, if it is certainly newer; returns the rate.
    fn reopen(&mut self, sent_at: Instant, now: Instant) -> f64 {
        if sent_at >= self.confirmed_at {
            self.confirmed_at = now;
            self.set_rate(self.rate * REOPENING_FACTOR, now);
        }
        self.rate
    }

    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.burst());
    }
}
