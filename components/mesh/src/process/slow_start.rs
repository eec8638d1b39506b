//! Slow start of the upstream beside this node: when it begins, and what is logged of it.

use std::time::Instant;

use super::events::Event;
use super::shared::{Shared, lock};
use crate::decide::slow_start::{self, Cause, Failure, Transition};
use crate::platform::{Heartbeat, Platform};

/// Begins a slow start if an incarnation that announced itself for the first time has just started.
pub fn upstream_started<P: Platform>(shared: &Shared<P>, heartbeat: &Heartbeat, replaced: bool) {
    let Heartbeat { started_ms, warmup, .. } = heartbeat;
    if slow_start::is_starting(*started_ms, shared.wall_ms(), *warmup, replaced) {
        shared.limiter.begin_slow_start(Cause::Start, shared.now());
        log_transition(shared);
    }
}

/// Counts a failed request against the upstream that it was sent to, if that is still the current incarnation.
pub fn record_failure<P: Platform>(
    shared: &Shared<P>,
    upstream: &Heartbeat,
    failure: Failure,
    sent_at: Instant,
) {
    let current = lock(&shared.upstream).last_heartbeat().map(Heartbeat::incarnation);
    if current == Some(upstream.incarnation()) {
        shared.limiter.record_failure(failure, sent_at, shared.now());
        log_transition(shared);
    }
}

/// Logs that a slow start has begun or ended, if one has.
pub fn log_transition<P: Platform>(shared: &Shared<P>) {
    let Some(transition) = shared.limiter.take_transition() else { return };
    let load = shared.limiter.load(shared.now());
    let (active, reason, after) = match transition {
        Transition::Began(Cause::Start) => (true, "start", None),
        Transition::Began(Cause::Failures) => (true, "failures", None),
        Transition::Opened(after) => (false, "open", Some(after)),
    };
    let upstream = lock(&shared.upstream).last_heartbeat().map(|known| known.id.clone());
    shared.log(&Event::SlowStartChanged {
        upstream: upstream.as_deref().unwrap_or_default(),
        active,
        reason,
        window: load.open_slots(),
        limit: load.limit,
        after_ms: after.map(|after| after.as_millis() as u64),
    });
}
