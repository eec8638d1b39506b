//! Exchanges between failure domains, and repair of what gossip missed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use journal::Log;
use membership::Member;
use tokio::time::Instant;
use units::{Clock, DomainName, Version};
use wire::{Summary, read_members};

use super::{Control, gossip};
use crate::process::shards::lock;

/// Time for a message to another region and back.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time that an operator's question keeps the summaries of a node fresh.
const INTEREST: Duration = Duration::from_secs(30);
/// Least time between two repairs, which bounds their bytes.
const REPAIR_GAP: Duration = Duration::from_secs(4);
/// Nodes that a summary names.
const LAGGING: usize = 3;

/// Exchanges with a delegate of another domain, one after the other, while this node is a delegate.
pub async fn keep_exchanging<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let mut ticks = tokio::time::interval(control.shared.settings.control.exchange);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (delegate, foreign) = {
            let table = lock(&control.shared.table);
            (table.is_delegate(), table.foreign_delegate(&mut *control.random.borrow_mut()))
        };
        if !delegate {
            if wanted(&control) {
                overview(&control).await;
            }
            continue;
        }
        summarise(&control);
        if let Some(foreign) = foreign {
            once(&control, &foreign).await;
        }
    }
}

/// Whether an operator has asked this node for its status lately.
fn wanted<C: Clock, L: Log>(control: &Control<C, L>) -> bool {
    let now = control.shared.clock.now();
    lock(&control.shared.asked).is_some_and(|asked| now.saturating_duration_since(asked) < INTEREST)
}

async fn once<C: Clock, L: Log>(control: &Rc<Control<C, L>>, foreign: &Member) {
    let mut told = gossip::telling(control, Some(&foreign.node));
    told.summaries = lock(&control.shared.summaries).values().cloned().collect();
    if let Ok(mut answer) = gossip::tell(control, foreign.control, &told, PATIENCE).await {
        learn(control, std::mem::take(&mut answer.summaries));
        gossip::heard(control, foreign.control, answer).await;
    }
}

/// Takes in summaries; the later of two wins.
pub fn learn<C: Clock, L: Log>(control: &Control<C, L>, summaries: Vec<Summary>) {
    let mut known = lock(&control.shared.summaries);
    for summary in summaries {
        let later = known.get(&summary.domain).is_none_or(|old| summary.stamp > old.stamp);
        if later {
            known.insert(summary.domain.clone(), summary);
        }
    }
}

/// Draws up the summary of this node's own domain.
fn summarise<C: Clock, L: Log>(control: &Control<C, L>) {
    let wall =
        control.shared.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let table = lock(&control.shared.table);
    let own = table.own();
    let present: Vec<&Member> =
        table.all().filter(|member| member.domain == own.domain && member.is_present()).collect();
    let lowest = present.iter().map(|member| member.version).min().unwrap_or(Version(0));
    let highest = present.iter().map(|member| member.version).max().unwrap_or(Version(0));
    let behind = present.iter().filter(|member| member.version == lowest && lowest < highest);
    let summary = Summary {
        domain: own.domain.clone(),
        region: own.region.clone(),
        stamp: wall.as_millis() as u64,
        present: present.len() as u32,
        lowest,
        lagging: behind.take(LAGGING).map(|member| member.node.clone()).collect(),
    };
    lock(&control.shared.summaries).insert(summary.domain.clone(), summary);
}

/// Pulls the records of domains whose digest differs, once this node has nothing left to tell itself.
pub async fn reconcile<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    from: SocketAddr,
    theirs: Vec<(DomainName, u64)>,
) {
    let now = Instant::now();
    if now < control.repaired.get() + REPAIR_GAP {
        return;
    }
    let differing: Vec<DomainName> = {
        let table = lock(&control.shared.table);
        if table.backlog() > 0 {
            return;
        }
        let ours = table.digests();
        theirs
            .into_iter()
            .filter(|(domain, value)| ours.get(domain) != Some(value))
            .map(|(domain, _)| domain)
            .collect()
    };
    // One domain at a time: after a mass start all differ, and the repair may not cost more than its share.
    for domain in differing.into_iter().take(1) {
        control.repaired.set(now);
        if let Ok(members) = pull(control, from, Some(&domain)).await {
            gossip::absorb(control, members);
        }
    }
}

/// Asks a node for all records of a domain, or of all domains.
pub async fn pull<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    from: SocketAddr,
    domain: Option<&DomainName>,
) -> Result<Vec<Member>, Error> {
    let call = async {
        let client = control.clients.get(from).await?;
        let mut request = client.members_request();
        request.get().set_domain(domain.map_or("", DomainName::as_str));
        let response = request.send().promise.await?;
        read_members(response.get()?.get_members()?)
    };
    let answered = tokio::time::timeout(PATIENCE, call).await;
    answered.unwrap_or_else(|_| Err(Error::overloaded("no answer in time".to_owned())))
}

/// Asks a delegate of this domain for the summaries, for operators who ask this node.
pub async fn overview<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let delegate = {
        let table = lock(&control.shared.table);
        let domain = table.own().domain.clone();
        table.delegates(&domain).first().map(|member| member.control)
    };
    let Some(delegate) = delegate else { return };
    let call = async {
        let client = control.clients.get(delegate).await?;
        let response = client.overview_request().send().promise.await?;
        wire::read_summaries(response.get()?.get_summaries()?)
    };
    if let Ok(Ok(summaries)) = tokio::time::timeout(PATIENCE, call).await {
        learn(control, summaries);
    }
}
