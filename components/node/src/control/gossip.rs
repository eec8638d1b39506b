//! Probes and gossip inside the failure domain, and the passing on of urgent changes.

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
    Summary, read_members, read_summaries, read_suspects, write_members, write_summaries,
    write_suspects,
};

use super::{Control, exchange, follow, suspects};
use crate::process::shards::lock;

/// Records on one message.
pub const UPDATES: usize = 16;
/// Members that are asked to probe a silent one.
const HELPERS: usize = 2;
/// Members that an urgent change is passed to at once.
const FANOUT: usize = 3;
/// Probes between two tries to reach a member that counts as dead.
const DEAD_EVERY: u32 = 10;
const SWEEP_EVERY: u32 = 40;

/// A gossip message in memory.
#[derive(Debug, Default)]
pub struct Told {
    /// Who tells.
    pub node: Option<NodeId>,
    /// Configuration it has in force.
    pub version: Version,
    /// Records.
    pub members: Vec<Member>,
    /// Digests of its records by domain.
    pub digests: Vec<(DomainName, u64)>,
    /// Summaries of failure domains; on messages between them only.
    pub summaries: Vec<Summary>,
    /// News of requests that kill upstreams.
    pub suspects: Vec<quarantine::Told>,
}

impl Told {
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

/// What this node tells next: its own record, updates, and digests.
pub fn telling<C: Clock, L: Log>(control: &Control<C, L>, about: Option<&NodeId>) -> Told {
    let mut table = lock(&control.shared.table);
    let own = table.own().clone();
    let mut members = table.outgoing(UPDATES);
    members.retain(|member| member.node != own.node);
    // A member that counts as gone is told so, and says otherwise with a higher serial.
    let gone =
        about.and_then(|node| table.get(node)).filter(|member| member.status != Status::Alive);
    if let Some(gone) = gone.filter(|gone| members.iter().all(|member| member.node != gone.node)) {
        members.push(gone.clone());
    }
    let digests = table.digests().into_iter().collect();
    let (node, version) = (Some(own.node.clone()), own.version);
    members.push(own);
    Told {
        node,
        version,
        members,
        digests,
        summaries: Vec::new(),
        suspects: control.suspects.borrow_mut().take(),
    }
}

/// Sends a message and takes in the answer.
pub async fn tell<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    to: SocketAddr,
    told: &Told,
    patience: Duration,
) -> Result<Told, Error> {
    let call = async {
        let client = control.clients.get(to).await?;
        let mut request = client.gossip_request();
        told.write(request.get().init_told());
        let response = request.send().promise.await?;
        Told::read(response.get()?.get_answer()?)
    };
    let answered = tokio::time::timeout(patience, call).await;
    let answer =
        answered.unwrap_or_else(|_| Err(Error::overloaded("no answer in time".to_owned())));
    if answer.is_err() {
        control.clients.forget(to);
    }
    answer
}

/// Takes in records: the view follows, and urgent changes are passed on.
pub fn take<C: Clock, L: Log>(control: &Rc<Control<C, L>>, members: Vec<Member>) {
    let now = control.shared.clock.now();
    let changes = lock(&control.shared.table).merge(members, now);
    settle(control, changes);
}

/// Takes in all records of a domain or of the system.
pub fn absorb<C: Clock, L: Log>(control: &Rc<Control<C, L>>, members: Vec<Member>) {
    let now = control.shared.clock.now();
    let changes = lock(&control.shared.table).absorb(members, now);
    settle(control, changes);
}

fn settle<C: Clock, L: Log>(control: &Rc<Control<C, L>>, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        note(control, &change.member);
    }
    control.shared.refresh();
    let urgent: Vec<Member> =
        changes.into_iter().filter(|change| change.urgent).map(|change| change.member).collect();
    if !urgent.is_empty() {
        let control = control.clone();
        tokio::task::spawn_local(async move { push(&control, urgent, Vec::new()).await });
    }
}

fn note<C: Clock, L: Log>(control: &Control<C, L>, member: &Member) {
    control.shared.metrics.change(member.status);
    log::info!(
        node = control.node().as_str(), member = member.node.as_str(), incarnation = member.incarnation.0,
        status:? = member.status, upstream:? = member.upstream;
        "membership changed"
    );
}

/// Passes changes on at once: to a few members of this domain, and to the other domains from a delegate.
pub async fn push<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    members: Vec<Member>,
    suspects: Vec<quarantine::Told>,
) {
    let to = {
        let table = lock(&control.shared.table);
        let mut random = control.random.borrow_mut();
        let mut to: Vec<SocketAddr> = table
            .sample(FANOUT, control.node(), &mut *random)
            .iter()
            .map(|member| member.control)
            .collect();
        let own = table.own().clone();
        to.extend(table.delegates(&own.domain).iter().map(|member| member.control));
        if table.is_delegate() || own.status == Status::Left {
            let foreign = table.digests().into_keys().filter(|domain| *domain != own.domain);
            to.extend(foreign.filter_map(|domain| {
                table.delegates(&domain).first().map(|member| member.control)
            }));
        }
        to.retain(|address| *address != own.control);
        to.sort();
        to.dedup();
        to
    };
    let own = lock(&control.shared.table).own().clone();
    let told =
        Told { node: Some(own.node), version: own.version, members, suspects, ..Told::default() };
    let patience = control.shared.settings.control.timeout;
    let all = to.iter().map(|address| tell(control, *address, &told, patience));
    future::join_all(all).await;
}

/// Probes one member after the other.
pub async fn keep_probing<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let mut ticks = tokio::time::interval(control.shared.settings.control.probe);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0_u32;
    loop {
        ticks.tick().await;
        count = count.wrapping_add(1);
        let now = control.shared.clock.now();
        let changes = lock(&control.shared.table).tick(now);
        settle(&control, changes);
        present(&control);
        let member = {
            let mut table = lock(&control.shared.table);
            let mut random = control.random.borrow_mut();
            let dead = count.is_multiple_of(DEAD_EVERY).then(|| table.dead(&mut *random)).flatten();
            dead.or_else(|| table.probe(&mut *random))
        };
        if let Some(member) = member {
            tokio::task::spawn_local(probe(control.clone(), member));
        }
        if count.is_multiple_of(SWEEP_EVERY) {
            control.clients.sweep();
        }
    }
}

fn present<C: Clock, L: Log>(control: &Control<C, L>) {
    let present = lock(&control.shared.table).all().filter(|member| member.is_present()).count();
    control.shared.metrics.members.set(present as i64);
}

async fn probe<C: Clock, L: Log>(control: Rc<Control<C, L>>, member: Member) {
    let patience = control.shared.settings.control.timeout;
    let told = telling(&control, Some(&member.node));
    match tell(&control, member.control, &told, patience).await {
        Ok(answer) => heard(&control, member.control, answer).await,
        Err(_) if reached_by_others(&control, &member).await => {}
        Err(_) => {
            let now = control.shared.clock.now();
            let change = lock(&control.shared.table).silent(&member.node, now);
            settle(&control, change.into_iter().collect());
        }
    }
}

/// Takes in an answer: records, a later configuration, and what the digests say is missing.
pub async fn heard<C: Clock, L: Log>(control: &Rc<Control<C, L>>, from: SocketAddr, answer: Told) {
    take(control, answer.members);
    suspects::take(control, answer.suspects);
    follow::catch_up(control, from, answer.version);
    exchange::reconcile(control, from, answer.digests).await;
}

/// Asks others to reach a silent member: the fault may lie between it and this node.
async fn reached_by_others<C: Clock, L: Log>(control: &Rc<Control<C, L>>, member: &Member) -> bool {
    let helpers = {
        let table = lock(&control.shared.table);
        table.sample(HELPERS, &member.node, &mut *control.random.borrow_mut())
    };
    let asked = helpers.iter().map(|helper| ask(control, helper.control, &member.node));
    future::join_all(asked).await.contains(&true)
}

async fn ask<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    helper: SocketAddr,
    node: &NodeId,
) -> bool {
    let patience = control.shared.settings.control.timeout * 2;
    let call = async {
        let client = control.clients.get(helper).await?;
        let mut request = client.reach_request();
        request.get().set_node(node.as_str());
        let response = request.send().promise.await?;
        Ok::<bool, Error>(response.get()?.get_reached())
    };
    matches!(tokio::time::timeout(patience, call).await, Ok(Ok(true)))
}

/// Tells others at once when this node's own record changes.
pub async fn keep_telling<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    loop {
        control.shared.changed.notified().await;
        let own = lock(&control.shared.table).own().clone();
        push(&control, vec![own], Vec::new()).await;
    }
}
