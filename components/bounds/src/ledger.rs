//! Budget for the bytes that clients make a node hold, and which body is discarded once it is exhausted.
//!
//! Request bodies have a budget of their own, and share a larger one with everything else: connections with their buffers
//! and queues, and responses that are not read yet. What is left of the larger one limits bodies, too; a reserve is kept for
//! small ones, and one for responses, so that requests that wait for their responses never take all of it.
//!
//! Small bodies may use the whole budget, large ones all but a reserve, so that large bodies never keep small ones out. A
//! body counts as small until it has more than [`SMALL_BYTES`], by its declared length or by what has arrived. Large
//! bodies that wait for bytes get them in the order in which they began.
//!
//! Only a body that isn't complete is ever discarded, and only while another of its kind waits for bytes:
//!
//! 1. the one that has got no bytes for longest, if that is at least [`STALL_TIME`];
//! 2. if all incomplete bodies wait and no complete one can release anything, the one that began last, at once, unless it is
//!    the only one and connections or responses hold the bytes;
//! 3. otherwise, when nothing was released for [`MAX_WAIT`], the one that began last of those that wait.
//!
//! Designed for some thousand bodies at once: only the first body of each kind that waits looks at all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Largest body that counts as small.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Time without a further block of [`SMALL_BYTES`] after which a body counts as stalled. Clients within a region send a
/// block in some milliseconds, those at 1 Mbit/s in half a second.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Longest time without a release before a waiting body is discarded: half of the shortest usual time limit of routes.
pub const MAX_WAIT: Duration = Duration::from_secs(1);
/// Memory that a process takes without clients: code, configuration, members, and connections to other nodes.
const FIXED_BYTES: u64 = 40 << 20;
/// Part of the remaining memory that bodies may take.
const BODY_SHARE: f64 = 0.75;
/// Part of the remaining memory that all of what clients make a node hold may take; the rest is lost in the allocator.
const CLIENT_SHARE: f64 = 0.9375;
/// Part of a budget that only small bodies may use.
const RESERVE_SHARE: u64 = 16;
/// Part of all bytes that only responses may use.
const RESPONSE_SHARE: u64 = 16;
/// Part of all bytes up to which connections get more than they need.
const SPARE_SHARE: u64 = 4;
/// Part of the memory that bodies get on a machine that has hardly more than the process needs.
const LEAST_SHARE: u64 = 16;

/// Bytes for bodies in a process that may take `memory` bytes.
pub fn budget(memory: u64) -> u64 {
    let rest = memory.saturating_sub(FIXED_BYTES) as f64 * BODY_SHARE;
    (rest as u64).max(memory / LEAST_SHARE)
}

/// Bytes for everything that clients make a process hold, bodies included.
pub fn total(memory: u64) -> u64 {
    let rest = memory.saturating_sub(FIXED_BYTES) as f64 * CLIENT_SHARE;
    (rest as u64).max(2 * (memory / LEAST_SHARE))
}

/// What bytes besides bodies are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Connections, and requests on them.
    Connection,
    /// Responses that are not read yet.
    Response,
}

/// Identifies a body; a later one has a greater id.
pub type BodyId = u64;

/// Answer to a request for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The body has them.
    Granted,
    /// The body has to wait, and ask again when something is released or after a while. A body that was just discarded
    /// in its favour has to be told.
    Wait(Option<BodyId>),
    /// The body was discarded.
    Discarded,
}

#[derive(Debug, Clone)]
struct Held {
    bytes: u64,
    large: bool,
    complete: bool,
    discarded: bool,
    /// When it last got bytes.
    progress: Instant,
    /// Since when it waits for bytes without a release, and the number of releases before.
    waiting: Option<(Instant, u64)>,
}

/// State of the budget, for metrics and the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that bodies may take; none if they are not limited.
    pub size: Option<u64>,
    /// Bytes that they take.
    pub used: u64,
    /// Bodies that wait for bytes.
    pub waiting: usize,
    /// Bodies that were discarded.
    pub discarded: u64,
    /// Bytes that connections and responses take.
    pub others: u64,
}

/// Bodies that wait for bytes.
#[derive(Debug, Default)]
struct Waiting {
    small: BTreeSet<BodyId>,
    large: BTreeSet<BodyId>,
}

impl Waiting {
    fn insert(&mut self, id: BodyId, large: bool) {
        if large {
            self.small.remove(&id);
            self.large.insert(id);
        } else {
            self.small.insert(id);
        }
    }

    fn remove(&mut self, id: BodyId) {
        let _ = self.small.remove(&id) || self.large.remove(&id);
    }

    /// The first one of its kind.
    fn first(&self, large: bool) -> Option<BodyId> {
        if large { self.large.first() } else { self.small.first() }.copied()
    }

    fn len(&self) -> usize {
        self.small.len() + self.large.len()
    }
}

/// What a node holds for clients.
#[derive(Debug)]
pub struct Ledger {
    /// Bytes for all bodies; none if they are not limited.
    size: Option<u64>,
    /// Bytes for everything.
    total: u64,
    bodies: BTreeMap<BodyId, Held>,
    waiting: Waiting,
    next: BodyId,
    small: u64,
    large: u64,
    connections: u64,
    responses: u64,
    discarded: u64,
    /// Bodies that released their bytes.
    releases: u64,
}

impl Ledger {
    /// A ledger without bodies, of so many bytes for them.
    pub fn new(size: Option<u64>) -> Self {
        Self::with_total(size, u64::MAX)
    }

    /// A ledger of so many bytes for bodies, and for everything.
    pub fn with_total(size: Option<u64>, total: u64) -> Self {
        Self {
            size,
            total,
            bodies: BTreeMap::new(),
            waiting: Waiting::default(),
            next: 0,
            small: 0,
            large: 0,
            connections: 0,
            responses: 0,
            discarded: 0,
            releases: 0,
        }
    }

    /// Takes bytes for a connection or a response, if there is room; reserves are left for small bodies, and for responses.
    pub fn hold(&mut self, used_for: Use, bytes: u64) -> bool {
        let small = self.small.max(self.size.unwrap_or_default() / RESERVE_SHARE);
        let responses = match used_for {
            Use::Connection => self.responses.max(self.total / RESPONSE_SHARE),
            Use::Response => self.responses,
        };
        let fits = self.connections + responses + bytes + self.large + small <= self.total;
        if fits {
            *self.held(used_for) += bytes;
        }
        fits
    }

    /// Takes bytes that a connection can do without, while connections take a small part.
    pub fn hold_spare(&mut self, bytes: u64) -> bool {
        self.connections + bytes <= self.total / SPARE_SHARE && self.hold(Use::Connection, bytes)
    }

    /// Takes bytes whether there is room or not: something else is about to be released for them.
    pub fn force(&mut self, used_for: Use, bytes: u64) {
        *self.held(used_for) += bytes;
    }

    /// Gives back bytes of a connection or a response.
    pub fn give_back(&mut self, used_for: Use, bytes: u64) {
        *self.held(used_for) -= bytes;
    }

    fn held(&mut self, used_for: Use) -> &mut u64 {
        match used_for {
            Use::Connection => &mut self.connections,
            Use::Response => &mut self.responses,
        }
    }

    fn others(&self) -> u64 {
        self.connections + self.responses
    }

    /// Bodies that may get bytes next.
    pub fn first_waiting(&self) -> impl Iterator<Item = BodyId> {
        [true, false].into_iter().filter_map(|large| self.waiting.first(large))
    }

    /// Adds a body, whose declared length is `length` if it is known.
    pub fn open(&mut self, length: Option<u64>, now: Instant) -> BodyId {
        self.next += 1;
        let held = Held {
            bytes: 0,
            large: length.is_some_and(|length| length > SMALL_BYTES),
            complete: false,
            discarded: false,
            progress: now,
            waiting: None,
        };
        self.bodies.insert(self.next, held);
        self.next
    }

    /// Asks for bytes for a body.
    pub fn grow(&mut self, id: BodyId, bytes: u64, now: Instant) -> Grant {
        let Some(body) = self.bodies.get(&id) else { return Grant::Discarded };
        if body.discarded {
            return Grant::Discarded;
        }
        let large = body.large || body.bytes + bytes > SMALL_BYTES;
        // A small body that becomes a large one takes its bytes along.
        let moved = if large && !body.large { body.bytes } else { 0 };
        if self.large_size().is_some_and(|size| large && body.bytes + bytes > size) {
            self.discard(id);
            return Grant::Discarded;
        }
        if self.fits(id, large, moved, bytes) {
            self.grant(id, large, moved, bytes, now);
            return Grant::Granted;
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.large = large;
            if body.waiting.is_none_or(|(_, releases)| releases != self.releases) {
                body.waiting = Some((now, self.releases));
            }
        }
        self.waiting.insert(id, large);
        self.small -= moved;
        self.large += moved;
        // What is released goes to the first one, which looks for something to discard.
        if self.waiting.first(large) != Some(id) {
            return Grant::Wait(None);
        }
        match self.victim(id, large, bytes, now) {
            Some(victim) => {
                self.discard(victim);
                if victim == id { Grant::Discarded } else { Grant::Wait(Some(victim)) }
            }
            None => Grant::Wait(None),
        }
    }

    /// The whole body has arrived.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.complete = true;
        }
    }

    /// The body's bytes are released.
    pub fn close(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else { return };
        self.waiting.remove(id);
        let used = if body.large { &mut self.large } else { &mut self.small };
        *used -= body.bytes;
        if body.bytes > 0 {
            self.releases += 1;
        }
    }

    /// State of the budget.
    pub fn usage(&self) -> Usage {
        Usage {
            size: self.size,
            used: self.small + self.large,
            waiting: self.waiting.len(),
            discarded: self.discarded,
            others: self.others(),
        }
    }

    /// Bytes that large bodies may take.
    fn large_size(&self) -> Option<u64> {
        self.size.map(|size| size - size / RESERVE_SHARE)
    }

    fn fits(&self, id: BodyId, large: bool, moved: u64, bytes: u64) -> bool {
        let (Some(size), Some(large_size)) = (self.size, self.large_size()) else { return true };
        let used = self.small + self.large + bytes;
        if used > size || used + self.others() > self.total {
            return false;
        }
        if !large {
            return true;
        }
        let earlier = self.waiting.first(true).is_some_and(|first| first < id);
        // The reserve of small bodies is also one of the bytes for everything.
        let reserve = (size - large_size).saturating_sub(self.small - moved);
        !earlier
            && self.large + moved + bytes <= large_size
            && used + self.others() + reserve <= self.total
    }

    fn grant(&mut self, id: BodyId, large: bool, moved: u64, bytes: u64, now: Instant) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.bytes += bytes;
        body.large = large;
        body.progress = now;
        body.waiting = None;
        self.waiting.remove(id);
        self.small -= moved;
        self.large += moved;
        let used = if large { &mut self.large } else { &mut self.small };
        *used += bytes;
    }

    fn discard(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.discarded = true;
            body.waiting = None;
            self.waiting.remove(id);
            self.discarded += 1;
        }
    }

    /// The body to discard for the one that waits for `bytes`.
    fn victim(&self, id: BodyId, large: bool, bytes: u64, now: Instant) -> Option<BodyId> {
        let (waiting, _) = self.bodies.get(&id)?.waiting?;
        // What was discarded before is released soon.
        let releasing = self.bodies.values().filter(|body| body.discarded && body.large == large);
        if releasing.map(|body| body.bytes).sum::<u64>() >= bytes {
            return None;
        }
        let same = || self.bodies.iter().filter(|(_, body)| body.large == large && !body.discarded);
        let open = || same().filter(|(_, body)| !body.complete);
        let stalled = open()
            .filter(|(_, body)| body.waiting.is_none() && body.bytes > 0)
            .filter(|(_, body)| now.saturating_duration_since(body.progress) >= STALL_TIME)
            .min_by_key(|(_, body)| body.progress);
        if let Some((stalled, _)) = stalled {
            return Some(*stalled);
        }
        let last = open().rfind(|(_, body)| body.waiting.is_some()).map(|(id, _)| *id);
        // Connections and responses may release something for a single body.
        let alone = self.size.is_none_or(|size| self.small + self.large + bytes <= size)
            && open().count() == 1;
        let blocked = !alone
            && open().all(|(_, body)| body.waiting.is_some())
            && !same().any(|(_, body)| body.complete);
        let waited = now.saturating_duration_since(waiting);
        last.filter(|_| blocked || waited >= MAX_WAIT)
    }
}
