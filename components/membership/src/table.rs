//! The table of members and its updates.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, RngExt};
use units::{DomainName, Incarnation, NodeId, RegionName, Version};

use crate::delegates::{DELEGATES_PER_DOMAIN, rank};
use crate::member::{Member, ServedUpstream, Status, UpstreamState};
use crate::updates::UpdateQueue;

/// A full sync with more changes than this gossips none of them again.
const MAX_REGOSSIPED_CHANGES: usize = 8;

units::value! {
    /// Time-outs of the table.
    pub struct Config {
        /// Time until a suspected member counts as dead.
        pub suspicion_timeout: Duration,
        /// Time until the record of a dead or departed member is removed.
        pub gone_retention: Duration,
    }
}

units::record! {
    /// What a merge or a tick changed.
    pub struct Change {
        /// The record as it is now.
        pub member: Member,
        /// The change must be gossiped at once: no new requests may be sent to the upstream.
        pub urgent: bool,
    }
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    changed_at: Instant,
}

/// All known members, this node's own record, and the updates still to be sent.
#[derive(Debug, Clone)]
pub struct Table {
    own: Member,
    config: Config,
    others: HashMap<NodeId, Entry>,
    updates: UpdateQueue,
    /// Members left to probe in this round, in random order.
    to_probe: Vec<NodeId>,
}

impl Table {
    /// A table that contains only its own node.
    pub fn new(own: Member, config: Config) -> Self {
        let mut table = Self {
            own,
            config,
            others: HashMap::new(),
            updates: UpdateQueue::default(),
            to_probe: Vec::new(),
        };
        table.queue_own();
        table
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Every record, this node's own included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|entry| &entry.member))
    }

    /// The record of one node.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        if *node == self.own.node {
            Some(&self.own)
        } else {
            self.others.get(node).map(|entry| &entry.member)
        }
    }

    /// Sets the upstream of this node; returns whether that is a change.
    pub fn set_upstream(&mut self, upstream: Option<ServedUpstream>) -> bool {
        if self.own.upstream == upstream {
            return false;
        }
        self.own.upstream = upstream;
        self.bump_serial();
        true
    }

    /// Sets the version of the configuration that this node has in force.
    pub fn set_version(&mut self, version: Version) {
        self.own.version = version;
        self.queue_own();
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self) {
        if let Some(upstream) = &mut self.own.upstream {
            upstream.state = UpstreamState::Draining;
        }
        self.own.status = Status::Left;
        self.bump_serial();
    }

    /// Merges records from another node.
    pub fn merge(
        &mut self,
        members: impl IntoIterator<Item = Member>,
        now: Instant,
    ) -> Vec<Change> {
        members.into_iter().filter_map(|member| self.merge_one(member, now)).collect()
    }

    /// Merges all records of a domain or of the system from another node. Many changes at once, as after a start, are
    /// already known to the other members and are not gossiped again.
    pub fn merge_all(&mut self, members: Vec<Member>, now: Instant) -> Vec<Change> {
        let saved = self.updates.clone();
        let changes = self.merge(members, now);
        if changes.len() > MAX_REGOSSIPED_CHANGES {
            self.updates = saved;
        }
        changes
    }

    /// Marks a member that did not answer a probe as suspected.
    pub fn suspect(&mut self, node: &NodeId, now: Instant) -> Option<Change> {
        let entry = self.others.get(node)?;
        if entry.member.status != Status::Alive {
            return None;
        }
        let member = Member { status: Status::Suspect, ..entry.member.clone() };
        self.merge_one(member, now)
    }

    /// Declares members dead that did not refute a suspicion in time, and removes the records of members that have long
    /// been dead or departed.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let Config { suspicion_timeout, gone_retention } = self.config;
        let unchanged_for =
            |entry: &Entry, span: Duration| now.saturating_duration_since(entry.changed_at) >= span;
        self.others
            .retain(|_, entry| entry.member.is_present() || !unchanged_for(entry, gone_retention));
        let expired = |entry: &&Entry| {
            entry.member.status == Status::Suspect && unchanged_for(entry, suspicion_timeout)
        };
        let dead: Vec<Member> = self
            .others
            .values()
            .filter(expired)
            .map(|entry| Member { status: Status::Dead, ..entry.member.clone() })
            .collect();
        self.merge(dead, now)
    }

    /// The member of this node's domain to probe next: each once a round, in random order.
    pub fn next_probe(&mut self, random: &mut impl Rng) -> Option<Member> {
        loop {
            let Some(node) = self.to_probe.pop() else {
                self.to_probe =
                    self.present_in(&self.own.domain).map(|member| member.node.clone()).collect();
                self.to_probe.shuffle(random);
                let node = self.to_probe.pop()?;
                return self.get(&node).cloned();
            };
            let member = self.get(&node).filter(|member| member.is_present());
            if let Some(member) = member {
                return Some(member.clone());
            }
        }
    }

    /// A random dead member, to probe whether it is reachable again: after a partition no other node reports that.
    pub fn random_dead(&self, random: &mut impl Rng) -> Option<Member> {
        let dead = self
            .others
            .values()
            .map(|entry| &entry.member)
            .filter(|member| member.status == Status::Dead);
        dead.choose(random).cloned()
    }

    /// A random sample of the other members of this node's domain.
    pub fn sample(&self, limit: usize, except: &NodeId, random: &mut impl Rng) -> Vec<Member> {
        let mut members: Vec<&Member> =
            self.present_in(&self.own.domain).filter(|member| member.node != *except).collect();
        let (picked, _) = members.partial_shuffle(random, limit);
        picked.iter().map(|member| (*member).clone()).collect()
    }

    /// Takes the records to piggyback on the next message.
    pub fn take_updates(&mut self, limit: usize) -> Vec<Member> {
        let nodes = self.updates.take(limit);
        nodes.iter().filter_map(|node| self.get(node).cloned()).collect()
    }

    /// Number of records still to be sent.
    pub fn pending_updates(&self) -> usize {
        self.updates.len()
    }

    /// Digest of the records of each domain.
    pub fn digests(&self) -> BTreeMap<DomainName, u64> {
        let mut digests = BTreeMap::new();
        for member in self.all() {
            *digests.entry(member.domain.clone()).or_default() ^= member.fingerprint();
        }
        digests
    }

    /// All records of one domain.
    pub fn members_of(&self, domain: &DomainName) -> Vec<Member> {
        self.all().filter(|member| member.domain == *domain).cloned().collect()
    }

    /// The delegates of a domain, by descending rank.
    pub fn delegates(&self, domain: &DomainName) -> Vec<&Member> {
        let mut members: Vec<&Member> =
            self.all().filter(|member| member.domain == *domain && member.is_present()).collect();
        members.sort_by_key(|member| std::cmp::Reverse(rank(domain, &member.node)));
        members.truncate(DELEGATES_PER_DOMAIN);
        members
    }

    /// Whether this node is a delegate of its domain.
    pub fn is_delegate(&self) -> bool {
        self.delegates(&self.own.domain).iter().any(|member| member.node == self.own.node)
    }

    /// A random delegate of a random other domain.
    pub fn random_remote_delegate(&self, random: &mut impl Rng) -> Option<Member> {
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

    /// Number of present nodes in a region; they share its links.
    pub fn count_in_region(&self, region: &RegionName) -> usize {
        self.all().filter(|member| member.region == *region && member.is_present()).count()
    }

    fn present_in<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a Member> {
        let members = self.others.values().map(|entry| &entry.member);
        members.filter(move |member| member.domain == *domain && member.is_present())
    }

    fn merge_one(&mut self, member: Member, now: Instant) -> Option<Change> {
        if member.node == self.own.node {
            return self.refute(member);
        }
        let Some(entry) = self.others.get_mut(&member.node) else {
            return self.accept(member, now);
        };
        if member.precedence() > entry.member.precedence() {
            return self.accept(member, now);
        }
        if member.precedence() == entry.member.precedence() && member.version > entry.member.version
        {
            entry.member.version = member.version;
            let in_own_domain = entry.member.domain == self.own.domain;
            if in_own_domain {
                self.updates.add(&member.node, self.others.len());
            }
        }
        None
    }

    fn accept(&mut self, mut member: Member, now: Instant) -> Option<Change> {
        let before = self.others.get(&member.node).map(|entry| entry.member.clone());
        let same_incarnation =
            before.as_ref().filter(|before| before.incarnation == member.incarnation);
        if let Some(before) = same_incarnation {
            member.version = member.version.max(before.version);
        }
        let accepted_requests = before.as_ref().is_some_and(Member::accepts_requests);
        let urgent = accepted_requests && !member.accepts_requests();
        self.updates.add(&member.node, self.others.len() + 1);
        self.others.insert(member.node.clone(), Entry { member: member.clone(), changed_at: now });
        Some(Change { member, urgent })
    }

    /// Overrides a record of this node that it didn't write, with a higher serial.
    fn refute(&mut self, record: Member) -> Option<Change> {
        if record.precedence() <= self.own.precedence() || self.own.status == Status::Left {
            return None;
        }
        if record.incarnation > self.own.incarnation {
            // The clock was set back since the last start, or another node uses this id.
            self.own.incarnation = Incarnation(record.incarnation.0 + 1);
        }
        self.own.serial = self.own.serial.max(record.serial);
        self.bump_serial();
        Some(Change { member: self.own.clone(), urgent: false })
    }

    fn bump_serial(&mut self) {
        self.own.serial += 1;
        self.queue_own();
    }

    fn queue_own(&mut self) {
        let node = self.own.node.clone();
        self.updates.add(&node, self.others.len() + 1);
    }
}
