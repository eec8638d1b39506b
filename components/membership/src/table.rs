//! The table of members and the decisions on it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, RngExt};
use units::{DomainName, Incarnation, NodeId, RegionName, Version};

use crate::delegates::{DELEGATES, rank};
use crate::member::{Member, Serving, State, Status};
use crate::outbox::Outbox;

/// Records learned at once that are still news to others.
const NEWS: usize = 8;

units::value! {
    /// Times that the table goes by.
    pub struct Config {
        /// Time until a suspected member counts as dead.
        pub suspicion: Duration,
        /// Time until a member that is gone is forgotten.
        pub forget: Duration,
    }
}

units::record! {
    /// What a merge or a tick changed.
    pub struct Change {
        /// The record as it is now.
        pub member: Member,
        /// Others have to hear of it at once: no new work may go there.
        pub urgent: bool,
    }
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When its record last changed.
    since: Instant,
}

/// Every member known, this node's own record, and the updates still to be told.
#[derive(Debug, Clone)]
pub struct Table {
    own: Member,
    config: Config,
    others: HashMap<NodeId, Known>,
    outbox: Outbox,
    /// Members left to probe in this round.
    round: Vec<NodeId>,
}

impl Table {
    /// A table that knows only its own node.
    pub fn new(own: Member, config: Config) -> Self {
        let mut table = Self {
            own,
            config,
            others: HashMap::new(),
            outbox: Outbox::default(),
            round: Vec::new(),
        };
        table.tell_own();
        table
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Every record, this node's own included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|known| &known.member))
    }

    /// The record of one node.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        if *node == self.own.node {
            Some(&self.own)
        } else {
            self.others.get(node).map(|known| &known.member)
        }
    }

    /// Sets the upstream beside this node; true when that is a change.
    pub fn announce(&mut self, upstream: Option<Serving>) -> bool {
        if self.own.upstream == upstream {
            return false;
        }
        self.own.upstream = upstream;
        self.raise();
        true
    }

    /// Sets the configuration that this node has in force.
    pub fn apply(&mut self, version: Version) {
        self.own.version = version;
        self.tell_own();
    }

    /// Says that this node leaves.
    pub fn leave(&mut self) {
        if let Some(upstream) = &mut self.own.upstream {
            upstream.state = State::Draining;
        }
        self.own.status = Status::Left;
        self.raise();
    }

    /// Takes records from another node.
    pub fn merge(
        &mut self,
        members: impl IntoIterator<Item = Member>,
        now: Instant,
    ) -> Vec<Change> {
        members.into_iter().filter_map(|member| self.merge_one(member, now)).collect()
    }

    /// Takes all records of a domain or of the system from another node. Many at once are what others have known for
    /// long, as after a start, and are not told again.
    pub fn absorb(&mut self, members: Vec<Member>, now: Instant) -> Vec<Change> {
        let before = self.outbox.clone();
        let changes = self.merge(members, now);
        if changes.len() > NEWS {
            self.outbox = before;
        }
        changes
    }

    /// A probe of a member got no answer.
    pub fn silent(&mut self, node: &NodeId, now: Instant) -> Option<Change> {
        let known = self.others.get(node)?;
        if known.member.status != Status::Alive {
            return None;
        }
        let member = Member { status: Status::Suspect, ..known.member.clone() };
        self.merge_one(member, now)
    }

    /// Declares members dead that did not refute a suspicion, and forgets those long gone.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let Config { suspicion, forget } = self.config;
        let old =
            |known: &Known, span: Duration| now.saturating_duration_since(known.since) >= span;
        self.others.retain(|_, known| known.member.is_present() || !old(known, forget));
        let late = |known: &&Known| known.member.status == Status::Suspect && old(known, suspicion);
        let dead: Vec<Member> = self
            .others
            .values()
            .filter(late)
            .map(|known| Member { status: Status::Dead, ..known.member.clone() })
            .collect();
        self.merge(dead, now)
    }

    /// The member of this node's domain to probe next: each once a round, in random order.
    pub fn probe(&mut self, random: &mut impl Rng) -> Option<Member> {
        loop {
            let Some(node) = self.round.pop() else {
                self.round =
                    self.present_in(&self.own.domain).map(|member| member.node.clone()).collect();
                self.round.shuffle(random);
                let node = self.round.pop()?;
                return self.get(&node).cloned();
            };
            let member = self.get(&node).filter(|member| member.is_present());
            if let Some(member) = member {
                return Some(member.clone());
            }
        }
    }

    /// A member that counts as dead, to see whether it is back: after a partition nobody else would tell.
    pub fn dead(&self, random: &mut impl Rng) -> Option<Member> {
        let dead = self
            .others
            .values()
            .map(|known| &known.member)
            .filter(|member| member.status == Status::Dead);
        dead.choose(random).cloned()
    }

    /// Some other members of this node's domain, to ask or tell something.
    pub fn sample(&self, most: usize, except: &NodeId, random: &mut impl Rng) -> Vec<Member> {
        let mut members: Vec<&Member> =
            self.present_in(&self.own.domain).filter(|member| member.node != *except).collect();
        let (picked, _) = members.partial_shuffle(random, most);
        picked.iter().map(|member| (*member).clone()).collect()
    }

    /// Records to put on the next message.
    pub fn outgoing(&mut self, most: usize) -> Vec<Member> {
        let nodes = self.outbox.take(most);
        nodes.iter().filter_map(|node| self.get(node).cloned()).collect()
    }

    /// Records still to be told.
    pub fn backlog(&self) -> usize {
        self.outbox.len()
    }

    /// Digest of the records of each domain.
    pub fn digests(&self) -> BTreeMap<DomainName, u64> {
        let mut digests = BTreeMap::new();
        for member in self.all() {
            *digests.entry(member.domain.clone()).or_default() ^= member.fingerprint();
        }
        digests
    }

    /// Every record of one domain.
    pub fn of_domain(&self, domain: &DomainName) -> Vec<Member> {
        self.all().filter(|member| member.domain == *domain).cloned().collect()
    }

    /// The members that speak for a domain, the first in rank first.
    pub fn delegates(&self, domain: &DomainName) -> Vec<&Member> {
        let mut members: Vec<&Member> =
            self.all().filter(|member| member.domain == *domain && member.is_present()).collect();
        members.sort_by_key(|member| std::cmp::Reverse(rank(domain, &member.node)));
        members.truncate(DELEGATES);
        members
    }

    /// Whether this node speaks for its domain.
    pub fn is_delegate(&self) -> bool {
        self.delegates(&self.own.domain).iter().any(|member| member.node == self.own.node)
    }

    /// One delegate of a random other domain.
    pub fn foreign_delegate(&self, random: &mut impl Rng) -> Option<Member> {
        let domains: Vec<DomainName> =
            self.digests().into_keys().filter(|domain| *domain != self.own.domain).collect();
        if domains.is_empty() {
            return None;
        }
        let delegates = self.delegates(&domains[random.random_range(0..domains.len())]);
        if delegates.is_empty() {
            return None;
        }
        Some(delegates[random.random_range(0..delegates.len())].clone())
    }

    /// Nodes that are there in a region, which share its links.
    pub fn in_region(&self, region: &RegionName) -> usize {
        self.all().filter(|member| member.region == *region && member.is_present()).count()
    }

    fn present_in<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a Member> {
        let members = self.others.values().map(|known| &known.member);
        members.filter(move |member| member.domain == *domain && member.is_present())
    }

    fn merge_one(&mut self, member: Member, now: Instant) -> Option<Change> {
        if member.node == self.own.node {
            return self.refute(member);
        }
        let Some(known) = self.others.get_mut(&member.node) else {
            return self.accept(member, now);
        };
        if member.order() > known.member.order() {
            return self.accept(member, now);
        }
        if member.order() == known.member.order() && member.version > known.member.version {
            known.member.version = member.version;
            let own_domain = known.member.domain == self.own.domain;
            if own_domain {
                self.outbox.add(&member.node, self.others.len());
            }
        }
        None
    }

    fn accept(&mut self, mut member: Member, now: Instant) -> Option<Change> {
        let before = self.others.get(&member.node).map(|known| known.member.clone());
        let same_life = before.as_ref().filter(|before| before.incarnation == member.incarnation);
        if let Some(before) = same_life {
            member.version = member.version.max(before.version);
        }
        let worked = before.as_ref().is_some_and(Member::takes_work);
        let urgent = worked && !member.takes_work();
        self.outbox.add(&member.node, self.others.len() + 1);
        self.others.insert(member.node.clone(), Known { member: member.clone(), since: now });
        Some(Change { member, urgent })
    }

    /// Somebody has a record of this node that it didn't write: it says so with a higher serial.
    fn refute(&mut self, told: Member) -> Option<Change> {
        if told.order() <= self.own.order() || self.own.status == Status::Left {
            return None;
        }
        if told.incarnation > self.own.incarnation {
            // The clock went back since the last start, or another node uses this id.
            self.own.incarnation = Incarnation(told.incarnation.0 + 1);
        }
        self.own.serial = self.own.serial.max(told.serial);
        self.raise();
        Some(Change { member: self.own.clone(), urgent: false })
    }

    fn raise(&mut self) {
        self.own.serial += 1;
        self.tell_own();
    }

    fn tell_own(&mut self) {
        let node = self.own.node.clone();
        self.outbox.add(&node, self.others.len() + 1);
    }
}
