//! Progress of the shutdown of a node, as requests see it.
//!
//! A node that is told to stop takes requests as usual for half of its stop time, or until it closes its listeners. From
//! then on it takes only those whose deadline passes before its last answers. At that moment it answers what is still
//! open, as far as that is known: not run, if nothing was sent to an upstream, else failed.

use std::future::Future;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Part of the stop time in which requests are taken although their deadline is beyond it.
const TAKING_FRACTION: f64 = 0.5;

/// Phase in which the node answers or cuts off what is still open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
enum Phase {
    /// Requests run.
    #[default]
    Open,
    /// What is still open is answered.
    Answering,
    /// All connections are closed.
    Closed,
}

/// Times of a shutdown that has begun.
#[derive(Debug, Clone, Copy)]
struct Times {
    /// From now on, only requests that end before the last answers are taken.
    limit: Instant,
    last_answers: Instant,
}

/// Progress of the shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    times: OnceLock<Times>,
    phase: watch::Sender<Phase>,
}

impl Shutdown {
    /// The node stops: it exits within `timeout`, and sends its last answers at `last_answers`.
    pub fn begin(&self, now: Instant, timeout: Duration, last_answers: Instant) {
        let limit = now + timeout.mul_f64(TAKING_FRACTION);
        self.times.get_or_init(|| Times { limit, last_answers });
    }

    /// Whether a request with this deadline is taken now.
    pub fn allows(&self, deadline: Instant, now: Instant) -> bool {
        self.times.get().is_none_or(|times| now < times.limit || deadline <= times.last_answers)
    }

    /// Whether the node has begun to answer what is still open.
    pub fn is_answering(&self) -> bool {
        *self.phase.borrow() >= Phase::Answering
    }

    /// Ends all requests that are still open.
    pub fn answer_open_requests(&self) {
        self.phase.send_replace(Phase::Answering);
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    /// Completes `work`, unless open requests are ended first.
    pub async fn until_answering<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.until(Phase::Answering, work).await
    }

    /// Completes `work`, unless connections are closed first.
    pub async fn until_closed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.until(Phase::Closed, work).await
    }

    async fn until<T>(&self, end: Phase, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.phase.subscribe();
        tokio::select! {
            biased;
            result = work => Some(result),
            // The channel is closed only together with `self`.
            _ = phase.wait_for(|phase| *phase >= end) => None,
        }
    }
}
