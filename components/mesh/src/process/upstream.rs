//! The upstream beside this node, as it announces itself.

use std::time::{Duration, Instant};

use crate::decide::members::{Parting, Standing};
use crate::platform::{Announcement, Beat, State};

/// Beats that are missed before another incarnation is believed whatever its start.
const SILENT_BEATS: u32 = 3;
/// Part of the time in which a leaving upstream may get new work that is left for requests on their way to it.
const RESERVE: Duration = Duration::from_millis(700);

/// A moment on both clocks: the steady one misses the time in which a machine is suspended, the other one may jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// On the steady clock.
    pub now: Instant,
    /// Time of day in milliseconds.
    pub wall: u64,
}

impl Moment {
    /// Time since an earlier moment, by the clock that says more.
    pub fn since(self, earlier: Self) -> Duration {
        let steady = self.now.saturating_duration_since(earlier.now);
        steady.max(Duration::from_millis(self.wall.saturating_sub(earlier.wall)))
    }
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// It is late, or of an earlier incarnation.
    Old,
    /// A new incarnation.
    Started,
    /// Slots or state.
    Updated,
}

/// The upstream as far as it is known.
#[derive(Debug)]
pub struct Upstream {
    beat: Option<Beat>,
    heard: Instant,
    leaving: Option<Moment>,
    every: Duration,
    /// Time after it said that it leaves in which it still gets work.
    linger: Duration,
}

impl Upstream {
    /// Nothing is known of it; it announces itself every so often, and gets no new work `drain` after it leaves.
    pub fn new(every: Duration, drain: Duration, now: Instant) -> Self {
        let linger = drain.saturating_sub(RESERVE);
        Self { beat: None, heard: now, leaving: None, every, linger }
    }

    /// Takes an announcement.
    pub fn take(&mut self, announcement: Announcement, now: Moment) -> Change {
        match announcement {
            Announcement::Beat(beat) => self.beat(beat, now),
            Announcement::Leave { id } => {
                if self.beat.as_ref().is_none_or(|known| known.id != id) {
                    return Change::Old;
                }
                self.leave(now)
            }
        }
    }

    /// Takes what an earlier life of the node knew when it was stopped, if nothing newer is known. The id that
    /// requests are pinned to keeps them from another incarnation.
    pub fn resume(&mut self, beat: Beat, now: Moment) -> bool {
        let unknown = self.beat.is_none();
        if unknown {
            self.start(beat, now);
        }
        unknown
    }

    /// What the next life of the node may go by; nothing if the upstream leaves.
    pub fn parting(&self, at: u64) -> Option<Parting> {
        let Beat { id, born, slots, sequence, .. } = self.beat.as_ref()?;
        let (id, born, slots, sequence) = (id.clone(), *born, *slots, *sequence);
        self.leaving.is_none().then_some(Parting { id, born, slots, sequence, at })
    }

    /// Whether it takes work.
    pub fn standing(&self) -> Standing {
        match (&self.beat, self.leaving) {
            (None, _) => Standing::Unknown,
            (Some(_), None) => Standing::Ready,
            (Some(_), Some(_)) => Standing::Leaving,
        }
    }

    /// Its id, if a request may be sent to it now.
    pub fn pin(&self, now: Moment) -> Option<&Beat> {
        let open = self.leaving.is_none_or(|since| now.since(since) < self.linger);
        self.beat.as_ref().filter(|_| open)
    }

    /// Its last announcement.
    pub fn known(&self) -> Option<&Beat> {
        self.beat.as_ref()
    }

    fn beat(&mut self, beat: Beat, now: Moment) -> Change {
        let Some(known) = &self.beat else { return self.start(beat, now) };
        if (&known.id, known.born) != (&beat.id, beat.born) {
            let silent = now.now.saturating_duration_since(self.heard) > self.every * SILENT_BEATS;
            let later = beat.born > known.born;
            return if later || silent { self.start(beat, now) } else { Change::Old };
        }
        if beat.sequence <= known.sequence {
            return Change::Old;
        }
        self.heard = now.now;
        let leaves = beat.state == State::Draining && self.leaving.is_none();
        let changed = leaves || beat.slots != known.slots;
        if leaves {
            self.leaving = Some(now);
        }
        self.beat = Some(beat);
        if changed { Change::Updated } else { Change::None }
    }

    fn start(&mut self, beat: Beat, now: Moment) -> Change {
        self.heard = now.now;
        self.leaving = (beat.state == State::Draining).then_some(now);
        self.beat = Some(beat);
        Change::Started
    }

    fn leave(&mut self, now: Moment) -> Change {
        if self.leaving.is_some() {
            return Change::None;
        }
        self.leaving = Some(now);
        Change::Updated
    }
}
