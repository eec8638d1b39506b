//! Probes and gossip within the failure domain, and immediate forwarding of urgent changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use futures_util::future;
use journal::Log;
use membership::{Change, Member, Status};
use units::{Clock, DomainName, NodeId, Version};
use wire::control_capnp::gossip as message;
use wire::{
    DomainSummary, read_members, read_summaries, read_suspects, write_members, write_summaries,
    write_suspects,
};

use super::{Control, exchange, follow, suspects};
use crate::process::shards::lock;

/// Records in one message.
pub const MAX_UPDATES: usize = 16;
/// Members asked to probe a member that doesn't answer.
const INDIRECT_PROBES: usize = 2;
/// Members that an urgent change is sent to at once.
const URGENT_FANOUT: usize = 3;
/// One in this many probes goes to a member considered dead.
const PROBES_PER_DEAD_PROBE: u32 = 10;
/// Idle connections are closed once in this many probes.
const PROBES_PER_IDLE_SWEEP: u32 = 40;

/// A gossip message.
#[derive(Debug, Default)]
pub struct GossipMessage {
    /// Sender.
    pub node: Option<NodeId>,
    /// Version of the configuration that the sender has in force.
    pub version: Version,
    /// Membership records.
    pub members: Vec<Member>,
    /// Digests of the sender's records by domain.
    pub digests: Vec<(DomainName, u64)>,
    /// Summaries of failure domains; only in messages between domains.
    pub summaries: Vec<DomainSummary>,
    /// Updates on requests suspected of crashing upstreams.
    pub suspects: Vec<quarantine::SuspectUpdate>,
}

impl GossipMessage {
    /// Writes the message.
    pub fn write(&self, mut out: message::Builder<'_>) {
        if let Some(node) = &self.node {
            out.set_node(node.as_str());
        }
        out.set_version(self.version.0);
        write_members(&self.members, out.reborrow().init_members(self.members.len() as u32));
        write_summaries(
            &self.summaries,
            out.reborrow().init_summaries(self.summaries.len() as u32),
        );
        write_suspects(&self.suspects, out.reborrow().init_suspects(self.suspects.len() as u32));
        let mut digests = out.init_digests(self.digests.len() as u32);
        for (index, (domain, value)) in self.digests.iter().enumerate() {
            let mut digest = digests.reborrow().get(index as u32);
            digest.set_domain(domain.as_str());
            digest.set_value(*value);
        }
    }

    /// Reads a message.
    pub fn read(input: message::Reader<'_>) -> Result<Self, Error> {
        let malformed = |_| Error::failed("a name is malformed".to_owned());
        let digests = input.get_digests()?.iter().map(|digest| {
            let domain = digest.get_domain()?.to_str()?.parse().map_err(malformed)?;
            Ok((domain, digest.get_value()))
        });
        Ok(Self {
            node: Some(input.get_node()?.to_str()?.parse().map_err(malformed)?),
            version: Version(input.get_version()),
            members: read_members(input.get_members()?)?,
            digests: digests.collect::<Result<_, Error>>()?,
            summaries: read_summaries(input.get_summaries()?)?,
            suspects: read_suspects(input.get_suspects()?)?,
        })
    }
}

/// Builds the next message: this node's own record, updates, and digests.
pub fn next_message<C: Clock, L: Log>(
    control: &Control<C, L>,
    to: Option<&NodeId>,
) -> GossipMessage {
    let mut table = lock(&control.shared.members);
    let own = table.own().clone();
    let mut members = table.take_updates(MAX_UPDATES);
    members.retain(|member| member.node != own.node);
    // A member that is not considered alive gets its record, so that it can refute it with a higher serial number.
    let not_alive =
        to.and_then(|node| table.get(node)).filter(|member| member.status != Status::Alive);
    if let Some(not_alive) =
        not_alive.filter(|not_alive| members.iter().all(|member| member.node != not_alive.node))
    {
        members.push(not_alive.clone());
    }
    let digests = table.digests().into_iter().collect();
    let (node, version) = (Some(own.node.clone()), own.version);
    members.push(own);
    GossipMessage {
        node,
        version,
        members,
        digests,
        summaries: Vec::new(),
        suspects: control.suspect_queue.borrow_mut().take(),
    }
}

/// Sends a message and returns the answer.
pub async fn send<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    to: SocketAddr,
    message: &GossipMessage,
    timeout: Duration,
) -> Result<GossipMessage, Error> {
    let call = async {
        let client = control.clients.get(to).await?;
        let mut request = client.gossip_request();
        message.write(request.get().init_told());
        let response = request.send().promise.await?;
        GossipMessage::read(response.get()?.get_answer()?)
    };
    let result = tokio::time::timeout(timeout, call).await;
    let answer = result.unwrap_or_else(|_| Err(Error::overloaded("no answer in time".to_owned())));
    if answer.is_err() {
        control.clients.close(to);
    }
    answer
}

/// Merges records; routes are updated, and urgent changes forwarded.
pub fn merge<C: Clock, L: Log>(control: &Rc<Control<C, L>>, members: Vec<Member>) {
    let now = control.shared.clock.now();
    let changes = lock(&control.shared.members).merge(members, now);
    apply_changes(control, changes);
}

/// Merges all records of a domain or of the system.
pub fn merge_all<C: Clock, L: Log>(control: &Rc<Control<C, L>>, members: Vec<Member>) {
    let now = control.shared.clock.now();
    let changes = lock(&control.shared.members).merge_all(members, now);
    apply_changes(control, changes);
}

fn apply_changes<C: Clock, L: Log>(control: &Rc<Control<C, L>>, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        log_change(control, &change.member);
    }
    control.shared.update_routes();
    let urgent: Vec<Member> =
        changes.into_iter().filter(|change| change.urgent).map(|change| change.member).collect();
    if !urgent.is_empty() {
        let control = control.clone();
        tokio::task::spawn_local(async move { push(&control, urgent, Vec::new()).await });
    }
}

fn log_change<C: Clock, L: Log>(control: &Control<C, L>, member: &Member) {
    control.shared.metrics.count_change(member.status);
    log::info!(
        node = control.node().as_str(), member = member.node.as_str(), incarnation = member.incarnation.0,
        status:? = member.status, upstream:? = member.upstream;
        "membership changed"
    );
}

/// Sends changes at once: to a few members and the delegates of this domain, and from a delegate or a leaving node also
/// to the other domains.
pub async fn push<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    members: Vec<Member>,
    suspects: Vec<quarantine::SuspectUpdate>,
) {
    let to = {
        let table = lock(&control.shared.members);
        let mut random = control.random.borrow_mut();
        let mut to: Vec<SocketAddr> = table
            .sample(URGENT_FANOUT, control.node(), &mut *random)
            .iter()
            .map(|member| member.control_address)
            .collect();
        let own = table.own().clone();
        to.extend(table.delegates(&own.domain).iter().map(|member| member.control_address));
        if table.is_delegate() || own.status == Status::Left {
            let remote = table.digests().into_keys().filter(|domain| *domain != own.domain);
            to.extend(remote.filter_map(|domain| {
                table.delegates(&domain).first().map(|member| member.control_address)
            }));
        }
        to.retain(|address| *address != own.control_address);
        to.sort();
        to.dedup();
        to
    };
    let own = lock(&control.shared.members).own().clone();
    let message = GossipMessage {
        node: Some(own.node),
        version: own.version,
        members,
        suspects,
        ..GossipMessage::default()
    };
    let timeout = control.shared.settings.control.timeout;
    let sends = to.iter().map(|address| send(control, *address, &message, timeout));
    future::join_all(sends).await;
}

/// Probes members in turn.
pub async fn probe_members<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let mut ticks = tokio::time::interval(control.shared.settings.control.probe);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0_u32;
    loop {
        ticks.tick().await;
        count = count.wrapping_add(1);
        let now = control.shared.clock.now();
        let changes = lock(&control.shared.members).tick(now);
        apply_changes(&control, changes);
        update_members_gauge(&control);
        let member = {
            let mut table = lock(&control.shared.members);
            let mut random = control.random.borrow_mut();
            let dead = count
                .is_multiple_of(PROBES_PER_DEAD_PROBE)
                .then(|| table.random_dead(&mut *random))
                .flatten();
            dead.or_else(|| table.next_probe(&mut *random))
        };
        if let Some(member) = member {
            tokio::task::spawn_local(probe(control.clone(), member));
        }
        if count.is_multiple_of(PROBES_PER_IDLE_SWEEP) {
            control.clients.close_idle();
        }
    }
}

fn update_members_gauge<C: Clock, L: Log>(control: &Control<C, L>) {
    let present = lock(&control.shared.members).all().filter(|member| member.is_present()).count();
    control.shared.metrics.members.set(present as i64);
}

async fn probe<C: Clock, L: Log>(control: Rc<Control<C, L>>, member: Member) {
    let timeout = control.shared.settings.control.timeout;
    let message = next_message(&control, Some(&member.node));
    match send(&control, member.control_address, &message, timeout).await {
        Ok(answer) => handle_answer(&control, member.control_address, answer).await,
        Err(_) if probe_indirectly(&control, &member).await => {}
        Err(_) => {
            let now = control.shared.clock.now();
            let change = lock(&control.shared.members).suspect(&member.node, now);
            apply_changes(&control, change.into_iter().collect());
        }
    }
}

/// Handles an answer: merges records, and pulls a later configuration and records whose digest differs.
pub async fn handle_answer<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    from: SocketAddr,
    answer: GossipMessage,
) {
    merge(control, answer.members);
    suspects::merge(control, answer.suspects);
    follow::catch_up(control, from, answer.version);
    exchange::reconcile(control, from, answer.digests).await;
}

/// Asks other members to probe one that doesn't answer: only its link to this node may have failed.
async fn probe_indirectly<C: Clock, L: Log>(control: &Rc<Control<C, L>>, member: &Member) -> bool {
    let probers = {
        let table = lock(&control.shared.members);
        table.sample(INDIRECT_PROBES, &member.node, &mut *control.random.borrow_mut())
    };
    let probes =
        probers.iter().map(|prober| request_probe(control, prober.control_address, &member.node));
    future::join_all(probes).await.contains(&true)
}

async fn request_probe<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    prober: SocketAddr,
    node: &NodeId,
) -> bool {
    let timeout = control.shared.settings.control.timeout * 2;
    let call = async {
        let client = control.clients.get(prober).await?;
        let mut request = client.reach_request();
        request.get().set_node(node.as_str());
        let response = request.send().promise.await?;
        Ok::<bool, Error>(response.get()?.get_reached())
    };
    matches!(tokio::time::timeout(timeout, call).await, Ok(Ok(true)))
}

/// Sends this node's own record at once when it changes.
pub async fn push_own_changes<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    loop {
        control.shared.own_changed.notified().await;
        let own = lock(&control.shared.members).own().clone();
        push(&control, vec![own], Vec::new()).await;
    }
}
