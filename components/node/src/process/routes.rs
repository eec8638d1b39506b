//! Routing table of the request path: the nodes that calls to each service may be sent to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use membership::{Member, Status, Table};
use reservation::Holder;
use routing::{Candidate, Peer, Tier};
use units::{Incarnation, NodeId, ServiceName};

use super::shards::lock;

/// Number of nodes of a service that this node sends calls to, by tier; bounds the connections of each node.
const SUBSET_SIZES: [(Tier, usize); 3] = [(Tier::Domain, 16), (Tier::Region, 8), (Tier::Remote, 4)];

/// A node that calls may be sent to.
pub struct Target {
    /// Id of the node.
    pub node: NodeId,
    /// Address for calls.
    pub address: SocketAddr,
    /// Distance from this node.
    pub tier: Tier,
    /// Whether it is this node itself.
    pub local: bool,
    incarnation: Incarnation,
    suspect: bool,
    /// Shared by successive routing tables.
    peer: Arc<Mutex<Peer>>,
}

impl Target {
    /// This incarnation of the node, as a holder of keys.
    pub fn holder(&self) -> Holder {
        Holder { node: self.node.clone(), incarnation: self.incarnation }
    }

    /// Known load of the node.
    pub fn peer(&self) -> MutexGuard<'_, Peer> {
        lock(&self.peer)
    }

    /// Properties by which a target is chosen.
    pub fn candidate(&self, now: Instant) -> Candidate {
        let peer = self.peer();
        Candidate {
            tier: self.tier,
            score: peer.score(now),
            at_capacity: peer.is_at_capacity(now),
            unhealthy: self.suspect || peer.is_ejected(now),
            attempted: false,
        }
    }
}

/// Targets by service.
#[derive(Default)]
pub struct RoutingTable {
    services: HashMap<ServiceName, Vec<Arc<Target>>>,
}

impl RoutingTable {
    /// Builds the table from the membership; known load is kept from the previous table.
    pub fn new(table: &Table, previous: &Self, now: Instant) -> Self {
        let mut grouped = by_service(table.all().filter(|member| member.accepts_requests()));
        // Where all nodes of a service count as dead, they or this node may only have been silent for a while.
        for (service, members) in
            by_service(table.all().filter(|member| member.accepted_requests()))
        {
            grouped.entry(service).or_insert(members);
        }
        let services = grouped.into_iter().map(|(service, members)| {
            let known = previous.targets(&service);
            let targets = pick_targets(table.own(), &members, known, now);
            (service, targets)
        });
        Self { services: services.collect() }
    }

    /// Targets of a service.
    pub fn targets(&self, service: &ServiceName) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Services with a target, and the number of targets.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, usize)> {
        self.services.iter().map(|(service, targets)| (service, targets.len()))
    }
}

fn by_service<'a>(
    members: impl Iterator<Item = &'a Member>,
) -> HashMap<ServiceName, Vec<&'a Member>> {
    let mut grouped: HashMap<ServiceName, Vec<&Member>> = HashMap::new();
    for member in members {
        if let Some(upstream) = &member.upstream {
            grouped.entry(upstream.service.clone()).or_default().push(member);
        }
    }
    grouped
}

/// Target for calls whose key the member holds, whatever its load.
pub fn holder_target(
    own: &Member,
    member: &Member,
    routes: &RoutingTable,
    now: Instant,
) -> Arc<Target> {
    let service = member.upstream.as_ref().map(|upstream| &upstream.service);
    let known = service.map_or(&[][..], |service| routes.targets(service));
    new_target(own, member, tier_of(own, member), known, now)
}

fn pick_targets(
    own: &Member,
    members: &[&Member],
    known: &[Arc<Target>],
    now: Instant,
) -> Vec<Arc<Target>> {
    let mut all = Vec::new();
    for (tier, size) in SUBSET_SIZES {
        let in_tier = members.iter().filter(|member| tier_of(own, member) == tier);
        let picked =
            routing::subset(&own.node, in_tier.map(|member| (&member.node, *member)), size);
        all.extend(picked.into_iter().map(|member| new_target(own, member, tier, known, now)));
    }
    all
}

fn new_target(
    own: &Member,
    member: &Member,
    tier: Tier,
    known: &[Arc<Target>],
    now: Instant,
) -> Arc<Target> {
    let same = |target: &&Arc<Target>| {
        target.node == member.node && target.incarnation == member.incarnation
    };
    let slots = member.upstream.as_ref().map_or(1, |upstream| upstream.slots);
    let peer = match known.iter().find(same) {
        Some(target) => target.peer.clone(),
        None => Arc::new(Mutex::new(Peer::new(slots, now))),
    };
    Arc::new(Target {
        node: member.node.clone(),
        address: member.peer_address,
        tier,
        local: member.node == own.node,
        incarnation: member.incarnation,
        suspect: member.status != Status::Alive,
        peer,
    })
}

fn tier_of(own: &Member, member: &Member) -> Tier {
    if member.domain == own.domain {
        Tier::Domain
    } else if member.region == own.region {
        Tier::Region
    } else {
        Tier::Remote
    }
}
