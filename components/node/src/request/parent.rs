//! Requests that the upstream is serving, so that calls made for them can be tied to them.

use std::fmt;
use std::time::{Duration, Instant};

use limits::Priority;
use retries::{Account, Allowance};
use units::ParseError;

use super::context::Context;
use crate::process::shards::Shards;

units::value! {
    /// Names a request that the upstream is serving.
    pub struct Token {
        /// Life of the node's process.
        pub life: u32,
        /// Number of the request in that life.
        pub number: u64,
    }
}

impl fmt::Display for Token {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:08x}-{:x}", self.life, self.number)
    }
}

impl std::str::FromStr for Token {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || ParseError::Expected(text.to_owned(), "a token of a request");
        let (life, number) = text.split_once('-').ok_or_else(wrong)?;
        let life = u32::from_str_radix(life, 16).map_err(|_| wrong())?;
        let number = u64::from_str_radix(number, 16).map_err(|_| wrong())?;
        Ok(Self { life, number })
    }
}

/// A request that the upstream is serving.
#[derive(Debug)]
pub struct Parent {
    /// What the call carried.
    pub context: Context,
    /// What is left of its allowance.
    pub account: Account,
    /// Highest admission level on answers to its calls.
    pub level: Priority,
    /// A call it made failed for good.
    pub exhausted: bool,
    called: bool,
    calls: u32,
    since: Option<Instant>,
    waited: Duration,
}

impl Parent {
    /// A request that has made no calls.
    pub fn new(context: Context) -> Self {
        let account = Account::new(context.retries);
        Self {
            context,
            account,
            level: Priority::default(),
            exhausted: false,
            called: false,
            calls: 0,
            since: None,
            waited: Duration::ZERO,
        }
    }

    /// A call was made for it.
    pub fn call_started(&mut self, now: Instant) {
        self.calls += 1;
        self.called = true;
        self.since.get_or_insert(now);
    }

    /// A call made for it ended.
    pub fn call_ended(&mut self, now: Instant) {
        self.calls = self.calls.saturating_sub(1);
        if self.calls == 0
            && let Some(since) = self.since.take()
        {
            self.waited += now.saturating_duration_since(since);
        }
    }

    /// The admission level that its calls met, if it made any.
    pub fn met(&self) -> Option<Priority> {
        self.called.then_some(self.level)
    }

    /// Time in which at least one call was in flight.
    pub fn waited(&self, now: Instant) -> Duration {
        let open = self.since.map(|since| now.saturating_duration_since(since)).unwrap_or_default();
        self.waited + open
    }

    /// Takes what is left of the allowance, so that later calls can't spend it as well.
    pub fn close(&mut self) -> Allowance {
        let left = self.account.left();
        self.account = Account::new(Allowance(0));
        left
    }
}

/// The requests that the upstream is serving.
pub type Calls = Shards<Token, Parent>;
