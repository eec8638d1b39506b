//! Exchange of summaries between failure domains, and repair of records that gossip missed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use journal::Log;
use membership::Member;
use tokio::time::Instant;
use units::{Clock, DomainName, Version};
use wire::{DomainSummary, read_members};

use super::{Control, gossip};
use crate::process::shards::lock;

/// Time limit for a call, which may go to another region.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the summaries are refreshed after a request for the status.
const STATUS_REFRESH_WINDOW: Duration = Duration::from_secs(30);
/// Minimum time between two repairs, which bounds their traffic.
const MIN_REPAIR_INTERVAL: Duration = Duration::from_secs(4);
/// Lagging nodes named in a summary.
const MAX_LAGGING_NODES: usize = 3;

/// Exchanges summaries with the delegates of other domains in turn, while this node is a delegate.
pub async fn run<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let mut ticks = tokio::time::interval(control.shared.settings.control.exchange);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (delegate, remote) = {
            let table = lock(&control.shared.members);
            (table.is_delegate(), table.random_remote_delegate(&mut *control.random.borrow_mut()))
        };
        if !delegate {
            if status_requested(&control) {
                fetch_summaries(&control).await;
            }
            continue;
        }
        update_own_summary(&control);
        if let Some(remote) = remote {
            exchange(&control, &remote).await;
        }
    }
}

/// Whether this node's status was requested recently.
fn status_requested<C: Clock, L: Log>(control: &Control<C, L>) -> bool {
    let now = control.shared.clock.now();
    lock(&control.shared.status_requested)
        .is_some_and(|at| now.saturating_duration_since(at) < STATUS_REFRESH_WINDOW)
}

async fn exchange<C: Clock, L: Log>(control: &Rc<Control<C, L>>, remote: &Member) {
    let mut message = gossip::next_message(control, Some(&remote.node));
    message.summaries = lock(&control.shared.summaries).values().cloned().collect();
    if let Ok(mut answer) =
        gossip::send(control, remote.control_address, &message, CALL_TIMEOUT).await
    {
        merge_summaries(control, std::mem::take(&mut answer.summaries));
        gossip::handle_answer(control, remote.control_address, answer).await;
    }
}

/// Merges summaries; the later one of a domain wins.
pub fn merge_summaries<C: Clock, L: Log>(control: &Control<C, L>, summaries: Vec<DomainSummary>) {
    let mut known = lock(&control.shared.summaries);
    for summary in summaries {
        let later =
            known.get(&summary.domain).is_none_or(|old| summary.stamped_ms > old.stamped_ms);
        if later {
            known.insert(summary.domain.clone(), summary);
        }
    }
}

/// Updates the summary of this node's own domain.
fn update_own_summary<C: Clock, L: Log>(control: &Control<C, L>) {
    let unix_time =
        control.shared.clock.wall_time().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let table = lock(&control.shared.members);
    let own = table.own();
    let present: Vec<&Member> =
        table.all().filter(|member| member.domain == own.domain && member.is_present()).collect();
    let lowest = present.iter().map(|member| member.version).min().unwrap_or(Version(0));
    let highest = present.iter().map(|member| member.version).max().unwrap_or(Version(0));
    let lagging = present.iter().filter(|member| member.version == lowest && lowest < highest);
    let summary = DomainSummary {
        domain: own.domain.clone(),
        region: own.region.clone(),
        stamped_ms: unix_time.as_millis() as u64,
        present: present.len() as u32,
        lowest,
        lagging: lagging.take(MAX_LAGGING_NODES).map(|member| member.node.clone()).collect(),
    };
    lock(&control.shared.summaries).insert(summary.domain.clone(), summary);
}

/// Pulls the records of a domain whose digest differs, unless this node still has updates of its own to send.
pub async fn reconcile<C: Clock, L: Log>(
    control: &Rc<Control<C, L>>,
    from: SocketAddr,
    theirs: Vec<(DomainName, u64)>,
) {
    let now = Instant::now();
    if now < control.last_repair.get() + MIN_REPAIR_INTERVAL {
        return;
    }
    let differing: Vec<DomainName> = {
        let table = lock(&control.shared.members);
        if table.pending_updates() > 0 {
            return;
        }
        let ours = table.digests();
        theirs
            .into_iter()
            .filter(|(domain, value)| ours.get(domain) != Some(value))
            .map(|(domain, _)| domain)
            .collect()
    };
    // One domain at a time: after many nodes started at once all differ, and repair traffic must stay bounded.
    for domain in differing.into_iter().take(1) {
        control.last_repair.set(now);
        if let Ok(members) = pull(control, from, Some(&domain)).await {
            gossip::merge_all(control, members);
        }
    }
}

/// Requests all records of a domain, or of all domains, from a node.
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
    let result = tokio::time::timeout(CALL_TIMEOUT, call).await;
    result.unwrap_or_else(|_| Err(Error::overloaded("no answer in time".to_owned())))
}

/// Fetches the summaries from a delegate of this domain, for this node's own status.
pub async fn fetch_summaries<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let delegate = {
        let table = lock(&control.shared.members);
        let domain = table.own().domain.clone();
        table.delegates(&domain).first().map(|member| member.control_address)
    };
    let Some(delegate) = delegate else { return };
    let call = async {
        let client = control.clients.get(delegate).await?;
        let response = client.overview_request().send().promise.await?;
        wire::read_summaries(response.get()?.get_summaries()?)
    };
    if let Ok(Ok(summaries)) = tokio::time::timeout(CALL_TIMEOUT, call).await {
        merge_summaries(control, summaries);
    }
}
