//! Contributing side: where a node's share is at present.

use std::sync::Arc;
use std::time::Duration;

use crate::message::{Notice, Renewal, Stamp};
use crate::{GRANT, Moment, RETURN};

/// Where the share is.
#[derive(Debug, Clone, PartialEq)]
enum Place {
    /// Nowhere: it may be used from then on.
    Free { from: Duration },
    /// Used by this node itself.
    Own,
    /// Leased to a process of another node, until then at the latest.
    Leased { leader: Arc<str>, process: u64, until: Duration },
}

/// The lease of a node's share.
#[derive(Debug)]
pub struct Contributor {
    process: u64,
    place: Place,
    /// Last timestamp of the present quota leader.
    stamp: Option<(Arc<str>, Stamp)>,
    /// The last quota leader that said that it is stopping.
    stopping: Option<(Arc<str>, u64)>,
    renewals: u64,
}

impl Contributor {
    /// A share that is used nowhere; `process` is a random number.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            place: Place::Free { from: Duration::ZERO },
            stamp: None,
            stopping: None,
            renewals: 0,
        }
    }

    /// The node that the share is leased to.
    pub fn leader(&self) -> Option<&Arc<str>> {
        match &self.place {
            Place::Leased { leader, .. } => Some(leader),
            Place::Free { .. } | Place::Own => None,
        }
    }

    /// Whether the last that was heard of a quota leader is that it is stopping.
    pub fn is_stopping(&self, leader: &str) -> bool {
        let stopping = self.stopping.as_ref().is_some_and(|(name, _)| **name == *leader);
        stopping && self.stamp.as_ref().is_none_or(|(name, _)| **name != *leader)
    }

    /// Whether this node uses the share itself.
    pub fn is_own(&self) -> bool {
        self.place == Place::Own
    }

    /// Takes the share for this node itself, if it is in no other place. Returns whether this node uses it.
    pub fn keep(&mut self, now: Moment) -> bool {
        if self.is_free(now) {
            self.place = Place::Own;
        }
        self.is_own()
    }

    /// Ends the use by this node itself: tokens that it granted may be used a little longer.
    pub fn release(&mut self, now: Moment) {
        if self.is_own() {
            self.place = Place::Free { from: now.monotonic + GRANT };
        }
    }

    /// The renewal to send to a quota leader now, if the share is there or in no other place.
    pub fn renewal(&mut self, leader: &Arc<str>, share: f64, now: Moment) -> Option<Renewal> {
        let (_, stamp) = self.stamp.as_ref().filter(|(from, _)| from == leader)?;
        let stamp = *stamp;
        let leased = matches!(&self.place, Place::Leased { leader: holder, process, .. }
            if holder == leader && *process == stamp.process);
        if !leased && !self.is_free(now) {
            return None;
        }
        self.place = Place::Leased {
            leader: leader.clone(),
            process: stamp.process,
            until: now.monotonic + RETURN,
        };
        self.renewals += 1;
        Some(Renewal { stamp, process: self.process, number: self.renewals, share })
    }

    /// Takes note of what a node has told with an exchange.
    pub fn heard(&mut self, from: &Arc<str>, notice: &Notice, now: Moment) {
        let stamp = notice.stamp;
        let later = self.stamp.as_ref().is_none_or(|(leader, known)| {
            leader != from
                || known.process != stamp.process
                || known.at.monotonic < stamp.at.monotonic
        });
        if !notice.stopping {
            let stopping = self.stopping.as_ref();
            if later && stopping.is_none_or(|(_, process)| *process != stamp.process) {
                self.stamp = Some((from.clone(), stamp));
            }
            return;
        }
        self.stopping = Some((from.clone(), stamp.process));
        self.stamp.take_if(|(leader, known)| leader == from && known.process == stamp.process);
        if let Place::Leased { leader, process, until } = &mut self.place
            && leader == from
            && *process == stamp.process
        {
            *until = (*until).min(now.monotonic + GRANT);
        }
    }

    fn is_free(&self, now: Moment) -> bool {
        match self.place {
            Place::Free { from } => now.monotonic >= from,
            Place::Own => false,
            Place::Leased { until, .. } => now.monotonic >= until,
        }
    }
}
