//! The share of every bucket that a node is entitled to: one of as many as there are nodes.
//!
//! Silent nodes may use their shares, so they count for long. A group that was cut off from most nodes must not use its
//! shares any more once those may have stopped counting it. A new process doesn't use its share until the other nodes
//! can know of it, nor while more than a few of them are silent: what they don't know of they don't make room for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::message::Silent;
use crate::{Moment, RETURN};

/// Time for which a silent node counts.
const RETAIN: Duration = Duration::from_secs(600);
/// Time before that in which a node that hears from fewer than half of the others stops using its share.
const RETAIN_MARGIN: Duration = Duration::from_secs(60);
/// Time in which others learn of a new process, and in which what its predecessor had leased has ended.
const SETTLE: Duration = Duration::from_millis(2_500);
const _: () = assert!(SETTLE.as_millis() >= RETURN.as_millis());
/// One of so many nodes may be silent when a new process begins to use its share.
const SILENT_FRACTION: usize = 10;
/// Part of its share that a node uses that hears from fewer than half of the others: another process may have its name.
const MINORITY_PART: f64 = 0.8;
/// Most that this other process adds to the sum of all shares; the tolerance covers it.
const RIVAL_SHARE: f64 = 0.04;
/// Time for which a process uses no share after it heard of another one with its name.
const RIVAL_TIME: Duration = Duration::from_secs(30);
/// Time between two counts that shows that the process was suspended, and that it may have been forgotten.
const SUSPENDED: Duration = Duration::from_secs(10);
/// Time from its start in which a process takes over what others have counted: they may know of silent nodes that it has
/// never heard of.
const ADOPT: Duration = Duration::from_secs(10);

/// Time for which a node has to be present to be retained when it is silent.
const CONFIRMED: Duration = Duration::from_secs(5);
/// Most nodes of a deployment.
const MAX_NODES: u32 = 4_096;

/// What is known of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sighting {
    /// Whether it has not been heard from for some time.
    pub silent: bool,
    /// Whether it has said that it is leaving; once it is unknown it doesn't count.
    pub leaving: bool,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    first: Moment,
    at: Moment,
    leaving: bool,
}

impl Seen {
    /// Whether it was heard from at all: a record from the store counts as present for as long as it takes to find out
    /// that its node is silent.
    fn is_confirmed(&self) -> bool {
        self.at.surely_since(self.first) >= CONFIRMED
    }
}

/// The nodes that count.
#[derive(Debug)]
pub struct Census {
    started: Moment,
    last: Moment,
    seen: HashMap<Arc<str>, Seen>,
    present: usize,
    /// Silent nodes that others knew when the process started, and when they counted them.
    told: Option<(usize, Moment)>,
    /// Nodes in all, with those.
    floor: usize,
    settled: bool,
    /// Last time that more than half of the nodes were heard from.
    majority: Moment,
    rival: Option<Moment>,
}

impl Census {
    /// Nothing is known at the start.
    pub fn new(now: Moment) -> Self {
        Self {
            started: now,
            last: now,
            seen: HashMap::new(),
            present: 0,
            told: None,
            floor: 0,
            settled: false,
            majority: now,
            rival: None,
        }
    }

    /// Counts the known nodes, including this one. `joined` says that the process has heard from another node, or knows
    /// that there is none.
    pub fn count<'a>(
        &mut self,
        nodes: impl IntoIterator<Item = (&'a Arc<str>, Sighting)>,
        joined: bool,
        now: Moment,
    ) {
        if now.since(self.last) >= SUSPENDED {
            self.settled = false;
            self.started = now;
        }
        self.last = now;
        self.present = 0;
        let mut known = HashMap::new();
        for (node, sighting) in nodes {
            let present = !sighting.silent;
            self.present += usize::from(present);
            let before = self.seen.get(node);
            let first = before.map_or(now, |seen| seen.first);
            let at = before.filter(|_| !present).map_or(now, |seen| seen.at);
            known.insert(node.clone(), Seen { first, at, leaving: sighting.leaving });
        }
        let majority = self.present * 2 > known.len().max(self.nodes(now));
        for (node, seen) in self.seen.drain() {
            let recent = !majority || now.surely_since(seen.at) < RETAIN;
            let retained = recent && !seen.leaving && seen.is_confirmed();
            if !known.contains_key(&node) && retained {
                known.insert(node, seen);
            }
        }
        self.seen = known;
        if majority {
            self.majority = now;
        }
        if let Some((silent, _)) = self.told
            && now.surely_since(self.started) < ADOPT
        {
            self.floor = self.floor.max(self.present + silent);
        }
        // Records of nodes that are gone, as the store keeps them, don't count here.
        let silent = self.silent(now).nodes as usize;
        let can_settle = joined && now.surely_since(self.started) >= SETTLE;
        self.settled |= can_settle && silent * SILENT_FRACTION <= self.nodes(now);
    }

    /// The silent nodes that count, for processes that have just started.
    pub fn silent(&self, now: Moment) -> Silent {
        let silent = |seen: &&Seen| seen.is_confirmed() && seen.at != self.last;
        let counted = self.seen.values().filter(silent).count();
        let floor = self.floor.saturating_sub(self.present);
        match self.told {
            Some((_, at)) if floor > counted && now.surely_since(at) < RETAIN => {
                Silent { nodes: floor as u32, age_ms: now.since(at).as_millis() as u64 }
            }
            _ => Silent { nodes: counted as u32, age_ms: 0 },
        }
    }

    /// Takes note of the silent nodes that another node counts.
    pub fn heard(&mut self, silent: Silent, now: Moment) {
        if now.surely_since(self.started) >= ADOPT || silent.nodes > MAX_NODES {
            return;
        }
        let age = Duration::from_millis(silent.age_ms);
        let at = Moment {
            monotonic: now.monotonic.saturating_sub(age),
            wall_ms: now.wall_ms.saturating_sub(silent.age_ms),
        };
        let nodes = silent.nodes as usize;
        if self.told.is_none_or(|(known, _)| nodes > known) {
            self.told = Some((nodes, at));
        }
    }

    /// Another process with this node's name runs.
    pub fn heard_rival(&mut self, now: Moment) {
        self.rival = Some(now);
    }

    /// Nodes that count.
    pub fn nodes(&self, now: Moment) -> usize {
        let told = self.told.filter(|(_, at)| now.surely_since(*at) < RETAIN);
        let floor = if told.is_some() { self.floor } else { 0 };
        self.seen.len().max(floor).max(1)
    }

    /// Time until a process that has just started may use its share; none if it does, or waits for something else.
    pub fn settles_in(&self, now: Moment) -> Option<Duration> {
        let left = SETTLE.checked_sub(now.surely_since(self.started))?;
        (!self.settled).then_some(left)
    }

    /// The share that this node is entitled to.
    pub fn share(&self, now: Moment) -> f64 {
        let has_rival = self.rival.is_some_and(|at| now.surely_since(at) < RIVAL_TIME);
        let cut_off = now.since(self.majority);
        if !self.settled || has_rival || cut_off >= RETAIN - RETAIN_MARGIN {
            return 0.0;
        }
        let nodes = self.nodes(now) as f64;
        let share = 1.0 / nodes;
        if self.present as f64 * 2.0 >= nodes {
            return share;
        }
        share * MINORITY_PART.min(RIVAL_SHARE * nodes)
    }
}
