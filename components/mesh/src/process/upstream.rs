//! State of the upstream beside this node, from its announcements.
//!
//! A heartbeat may arrive late: it proves that its upstream was ready once. A process that may have had a predecessor,
//! which may have acknowledged since then that the upstream is leaving, uses the upstream only once that is ruled out:
//! by the upstream's answer to a health check, by further heartbeats if health checks tell nothing, or by what the store
//! has of the predecessor.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use units::Rate;

use crate::decide::members::{self, MAX_DEPARTURES, SavedUpstream, UpstreamState};
use crate::platform::{AnnouncedState, Announcement, Heartbeat, StoreEpoch};

/// Missed heartbeats after which a different incarnation is accepted even if it started earlier.
const MISSED_HEARTBEATS: u32 = 3;
/// Heartbeats that have to follow the first one if nobody tells of the predecessor: those sent before an upstream left
/// may all be late.
const FOLLOWING_ALONE: u32 = 2;
/// The same if nodes that ran beside the predecessor tell what it acknowledged.
const FOLLOWING_WITH_WITNESSES: u32 = 1;
/// Time for which an upstream that denies it by its health checks is not used: one that is leaving has ended by then.
const DENIAL_TIME: Duration = Duration::from_secs(30);
/// Part of the drain time kept back for requests already on their way to the upstream.
const DRAIN_RESERVE: Duration = Duration::from_millis(700);

/// A point in time on both clocks: the monotonic one stops while the machine is suspended, the wall clock may jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time.
    pub monotonic: Instant,
    /// Wall-clock time in milliseconds.
    pub wall_ms: u64,
}

impl Moment {
    /// Time since an earlier moment, on the clock that shows more.
    pub fn since(self, earlier: Self) -> Duration {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        monotonic.max(Duration::from_millis(self.wall_ms.saturating_sub(earlier.wall_ms)))
    }

    /// The point in time `age` before this one.
    pub fn earlier(self, age: Duration) -> Self {
        Self {
            // The monotonic clock may not reach back as far; the wall clock does.
            monotonic: self.monotonic.checked_sub(age).unwrap_or(self.monotonic),
            wall_ms: self.wall_ms.saturating_sub(age.as_millis() as u64),
        }
    }
}

/// What is known of an earlier process of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Predecessor {
    /// There was none, or it acknowledged nothing that this process does not know.
    Absent,
    /// Nodes that ran beside it have been heard from.
    Witnessed,
    /// Nothing.
    Unknown,
}

impl Predecessor {
    /// Heartbeats that have to follow the first one of an upstream.
    fn needed_heartbeats(self) -> u32 {
        match self {
            Self::Absent => 0,
            Self::Witnessed => FOLLOWING_WITH_WITNESSES,
            Self::Unknown => FOLLOWING_ALONE,
        }
    }
}

/// What a health check tells of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCheck {
    /// It is healthy and not leaving.
    Confirms,
    /// It is leaving, it fails, or another one has replaced it.
    Denies,
    /// Nothing.
    Inconclusive,
}

impl HealthCheck {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Confirms => "confirms",
            Self::Denies => "denies",
            Self::Inconclusive => "inconclusive",
        }
    }
}

/// Effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No effect.
    None,
    /// The incarnation is not used before it is confirmed, as its heartbeat may be late.
    Unconfirmed,
    /// Ignored: out of order, or from an earlier incarnation.
    Stale,
    /// A new incarnation started.
    Started,
    /// Its slots or state changed.
    Updated,
}

/// An incarnation, not the current one, that announced that it is leaving.
#[derive(Debug)]
struct Departure {
    id: String,
    /// Start time; any incarnation of that id that started later is another one.
    started_ms: u64,
    since: Moment,
}

/// An incarnation that is not confirmed yet.
#[derive(Debug)]
struct Candidate {
    heartbeat: Heartbeat,
    first_at: Instant,
    heard_at: Instant,
    /// Heartbeats after the first.
    following: u32,
    /// The last health check.
    check: Option<HealthCheck>,
}

/// What is known of the upstream.
#[derive(Debug)]
pub struct Upstream {
    heartbeat: Option<Heartbeat>,
    heard_at: Instant,
    leaving_since: Option<Moment>,
    /// The latest departures, oldest first.
    departures: VecDeque<Departure>,
    candidate: Option<Candidate>,
    predecessor: Predecessor,
    /// Wall-clock time of the process' start: upstreams that started later were unknown to the predecessor.
    process_started_ms: u64,
    interval: Duration,
    /// Time for which it still gets requests after it announced that it is leaving.
    drain: Duration,
}

impl Upstream {
    /// An unknown upstream that sends a heartbeat each `interval` and accepts requests for `drain` after it starts to
    /// leave.
    pub fn new(interval: Duration, drain: Duration, now: Instant) -> Self {
        let drain = drain.saturating_sub(DRAIN_RESERVE);
        Self {
            heartbeat: None,
            heard_at: now,
            leaving_since: None,
            departures: VecDeque::new(),
            candidate: None,
            predecessor: Predecessor::Absent,
            process_started_ms: 0,
            interval,
            drain,
        }
    }

    /// The same in a process, started at that wall-clock time, that may have had a predecessor.
    pub fn with_predecessor(self, process_started_ms: u64) -> Self {
        Self { predecessor: Predecessor::Unknown, process_started_ms, ..self }
    }

    /// Applies an announcement.
    pub fn apply(&mut self, announcement: Announcement, now: Moment) -> Change {
        match announcement {
            Announcement::Heartbeat(heartbeat) => self.apply_heartbeat(heartbeat, now),
            Announcement::Leave { id, started_ms } => {
                let known = self.heartbeat.as_ref().filter(|known| known.id == id);
                if known.is_some_and(|known| started_ms.is_none_or(|ms| known.started_ms <= ms)) {
                    return self.leave(now);
                }
                self.record_departure(id, started_ms.unwrap_or(now.wall_ms), now);
                Change::Stale
            }
        }
    }

    /// Takes note of what is known of the predecessor by now.
    pub fn learn_predecessor(&mut self, predecessor: Predecessor, now: Moment) -> Change {
        self.predecessor = self.predecessor.min(predecessor);
        self.start_confirmed(now)
    }

    /// Takes note of a health check of the incarnation with this id.
    pub fn record_check(&mut self, id: &str, check: HealthCheck, now: Moment) -> Change {
        if let Some(candidate) = self.candidate.as_mut().filter(|known| known.heartbeat.id == id) {
            candidate.check = Some(check);
        }
        self.start_confirmed(now)
    }

    /// The incarnation that is not confirmed yet.
    pub fn unconfirmed(&self) -> Option<&Heartbeat> {
        self.candidate.as_ref().map(|candidate| &candidate.heartbeat)
    }

    /// Restores state saved by an earlier incarnation of the node, unless the upstream has already announced itself. If
    /// the upstream was replaced meanwhile, it rejects requests, as they carry the id of the one expected.
    pub fn resume(&mut self, heartbeat: Heartbeat, now: Moment) -> bool {
        let unknown = self.heartbeat.is_none();
        if unknown {
            self.start_incarnation(heartbeat, now);
        }
        unknown
    }

    /// The departures that later incarnations of the node have to know.
    pub fn departures(&self) -> Vec<members::Departure> {
        let saved = |id: &str, started_ms: u64, since: Moment| members::Departure {
            id: id.to_owned(),
            started_ms,
            since_ms: since.wall_ms,
        };
        let mut departures = Vec::new();
        for Departure { id, started_ms, since } in &self.departures {
            departures.push(saved(id, *started_ms, *since));
        }
        let current = self.heartbeat.as_ref().zip(self.leaving_since);
        let current = current.map(|(known, since)| saved(&known.id, known.started_ms, since));
        members::add_departures(&mut departures, current.as_slice());
        departures
    }

    /// Restores departures that an earlier incarnation of the node was told of; true if the current upstream is one that
    /// was not known to leave, or not for so long.
    pub fn recall(&mut self, departures: &[members::Departure], now: Moment) -> bool {
        let mut changed = false;
        for members::Departure { id, started_ms, since_ms } in departures {
            let age = Duration::from_millis(now.wall_ms.saturating_sub(*since_ms));
            self.record_departure(id.clone(), *started_ms, now.earlier(age));
            let current = self.heartbeat.as_ref();
            if current.is_some_and(|known| known.id == *id && known.started_ms <= *started_ms) {
                changed |= self.leave_since(age, now);
            }
        }
        changed
    }

    /// Records that the upstream announced some time ago that it is leaving; false if that was known.
    pub fn leave_since(&mut self, age: Duration, now: Moment) -> bool {
        if self.leaving_since.is_some_and(|since| now.since(since) >= age) {
            return false;
        }
        self.leaving_since = Some(now.earlier(age));
        true
    }

    /// Time since the upstream announced that it is leaving.
    pub fn leaving_for(&self, now: Moment) -> Option<Duration> {
        self.leaving_since.map(|since| now.since(since))
    }

    /// The state to save for the next incarnation of the node; `None` if the upstream is unknown.
    pub fn saved_state(
        &self,
        now: Moment,
        rate_limit: Option<Rate>,
        store_epoch: Option<StoreEpoch>,
    ) -> Option<SavedUpstream> {
        let Heartbeat { id, started_ms, slots, sequence, .. } = self.heartbeat.as_ref()?;
        let leaving_for = self.leaving_for(now);
        Some(SavedUpstream {
            id: id.clone(),
            started_ms: *started_ms,
            slots: *slots,
            sequence: *sequence,
            rate_limit: rate_limit.map(|rate| rate.0),
            leaving_ms: leaving_for.map(|age| now.wall_ms.saturating_sub(age.as_millis() as u64)),
            stopped_ms: now.wall_ms,
            store_epoch,
        })
    }

    /// Whether the upstream accepts requests.
    pub fn state(&self) -> UpstreamState {
        match (&self.heartbeat, self.leaving_since) {
            (None, _) => UpstreamState::Unknown,
            (Some(_), None) => UpstreamState::Ready,
            (Some(_), Some(_)) => UpstreamState::Leaving,
        }
    }

    /// The upstream, if it may be sent a request now.
    pub fn accepting(&self, now: Moment) -> Option<&Heartbeat> {
        let accepting = self.leaving_since.is_none_or(|since| now.since(since) < self.drain);
        self.heartbeat.as_ref().filter(|_| accepting)
    }

    /// The latest heartbeat.
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.heartbeat.as_ref()
    }

    fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> Change {
        let Some(known) = &self.heartbeat else { return self.consider(heartbeat, now) };
        if (&known.id, known.started_ms) != (&heartbeat.id, heartbeat.started_ms) {
            let silent = now.monotonic.saturating_duration_since(self.heard_at)
                > self.interval * MISSED_HEARTBEATS;
            let later = heartbeat.started_ms > known.started_ms;
            if later {
                return self.start_incarnation(heartbeat, now);
            }
            if silent {
                return self.consider(heartbeat, now);
            }
            if heartbeat.state == AnnouncedState::Draining {
                self.record_departure(heartbeat.id, heartbeat.started_ms, now);
            }
            return Change::Stale;
        }
        if heartbeat.sequence <= known.sequence {
            // An incarnation that leaves never returns, so that the order doesn't matter.
            let leaves = heartbeat.state == AnnouncedState::Draining;
            return if leaves { self.leave(now) } else { Change::Stale };
        }
        self.heard_at = now.monotonic;
        self.candidate = None;
        let leaves = heartbeat.state == AnnouncedState::Draining && self.leaving_since.is_none();
        let changed = leaves || heartbeat.slots != known.slots;
        if leaves {
            self.leaving_since = Some(now);
        }
        self.heartbeat = Some(heartbeat);
        if changed { Change::Updated } else { Change::None }
    }

    /// Applies a heartbeat of an incarnation that may have left before this process started.
    fn consider(&mut self, heartbeat: Heartbeat, now: Moment) -> Change {
        let leaves = heartbeat.state == AnnouncedState::Draining;
        if leaves || heartbeat.started_ms >= self.process_started_ms {
            return self.start_incarnation(heartbeat, now);
        }
        let silence = self.interval * MISSED_HEARTBEATS;
        match &mut self.candidate {
            Some(known) if known.heartbeat.incarnation() == heartbeat.incarnation() => {
                // Of several that were held up together, the first counts.
                let apart = now.monotonic.saturating_duration_since(known.heard_at);
                if heartbeat.sequence <= known.heartbeat.sequence || apart < self.interval / 2 {
                    return Change::Stale;
                }
                known.following += 1;
                (known.heartbeat, known.heard_at) = (heartbeat, now.monotonic);
            }
            Some(known)
                if heartbeat.started_ms < known.heartbeat.started_ms
                    && now.monotonic.saturating_duration_since(known.heard_at) <= silence =>
            {
                return Change::Stale;
            }
            candidate => {
                let (first_at, heard_at) = (now.monotonic, now.monotonic);
                *candidate =
                    Some(Candidate { heartbeat, first_at, heard_at, following: 0, check: None });
            }
        }
        match self.start_confirmed(now) {
            Change::None => Change::Unconfirmed,
            change => change,
        }
    }

    /// Starts the candidate if it is confirmed.
    fn start_confirmed(&mut self, now: Moment) -> Change {
        let needed = self.predecessor.needed_heartbeats();
        let is_confirmed = |candidate: &mut Candidate| {
            let known_for = now.monotonic.saturating_duration_since(candidate.first_at);
            let followed = candidate.following >= needed;
            needed == 0
                || match candidate.check {
                    None => false,
                    Some(HealthCheck::Confirms) => true,
                    Some(HealthCheck::Inconclusive) => followed,
                    Some(HealthCheck::Denies) => followed && known_for >= DENIAL_TIME,
                }
        };
        match self.candidate.take_if(is_confirmed) {
            Some(candidate) => self.start_incarnation(candidate.heartbeat, now),
            None => Change::None,
        }
    }

    fn start_incarnation(&mut self, heartbeat: Heartbeat, now: Moment) -> Change {
        self.candidate = None;
        if let (Some(known), Some(since)) = (self.heartbeat.take(), self.leaving_since) {
            self.record_departure(known.id, known.started_ms, since);
        }
        self.heard_at = now.monotonic;
        let departed = self.departures.iter().find(|departure| {
            departure.id == heartbeat.id && heartbeat.started_ms <= departure.started_ms
        });
        let draining = heartbeat.state == AnnouncedState::Draining;
        self.leaving_since = departed.map(|departed| departed.since).or(draining.then_some(now));
        self.heartbeat = Some(heartbeat);
        Change::Started
    }

    /// Remembers an acknowledged departure, as a late heartbeat of that incarnation may still arrive.
    fn record_departure(&mut self, id: String, started_ms: u64, since: Moment) {
        let same = |known: &Departure| known.id == id && known.started_ms >= started_ms;
        if self.departures.iter().any(same) {
            return;
        }
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure { id, started_ms, since });
    }

    fn leave(&mut self, now: Moment) -> Change {
        if self.leaving_since.is_some() {
            return Change::None;
        }
        self.leaving_since = Some(now);
        Change::Updated
    }
}
