//! Quotas of tenants: state of this node, and requests for tokens.
//!
//! The decisions are those of the `quota` crate. Leases travel with the exchanges between nodes; a request for tokens is
//! a message of its own, and the requests of a tenant that wait share one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bounds::RequestBody;
use http::Request;
use http_body_util::{BodyExt, Limited};
use quota::message::{Notice, TokenRequest, TokenResponse};
use quota::{Decision, Limit, Member, Permit, Sighting, Tolerance, View};
use tokio::sync::Notify;

use super::events::Event;
use super::settings::{NodeSettings, QuotaBounds};
use super::shared::{Shared, lock};
use super::upstream::Moment;
use crate::configuration::{Configuration, Tenant};
use crate::decide::members::Record;
use crate::platform::Platform;
use crate::request::outcome::{Refusal, RefusalReason};
use crate::request::peer::PEER_MAX_IDLE;

/// Path of a request for tokens.
pub const PATH: &str = "/almondknot/quota";

/// Longest time that a request waits for tokens: a new connection to another region and a round trip take 120 ms.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// Part of a request's remaining time that it waits at most.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Time in which a quota leader of this region, or of another one, has to respond.
const REGION_TIMEOUT: Duration = Duration::from_millis(60);
const REMOTE_TIMEOUT: Duration = Duration::from_millis(140);
/// Time for which a quota leader that gave no response isn't asked again.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Expected wait of a request that was refused while a quota leader had not responded.
const PENDING_WAIT: Duration = Duration::from_millis(100);
const MAX_RESPONSE_BYTES: usize = 4 << 10;

/// How a quota leader is reached.
#[derive(Debug, Clone, Copy)]
struct Leader {
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Debug)]
struct State {
    member: Member,
    leaders: HashMap<Arc<str>, Leader>,
    /// Requests that wait for tokens, by tenant.
    waiting: HashMap<Arc<str>, Arc<Notify>>,
    /// When the other nodes were last taken into account.
    updated: Option<Instant>,
    told: Summary,
}

/// What decides about refusals, as it was logged last.
#[derive(Debug, Clone, PartialEq, Default)]
struct Summary {
    nodes: usize,
    share: f64,
    leased_to: Option<Arc<str>>,
    contributors: usize,
}

/// Quotas of tenants at this node.
#[derive(Debug)]
pub struct Quotas {
    /// Start of the monotonic clock in the messages.
    base: Instant,
    bounds: QuotaBounds,
    node: Arc<str>,
    region: Arc<str>,
    /// Whether any tenant has a quota.
    enabled: AtomicBool,
    state: Mutex<State>,
}

impl Quotas {
    /// Quotas of a process that has just started.
    pub fn new(settings: &NodeSettings, now: Moment) -> Self {
        let base = now.monotonic;
        let start = quota::Moment { monotonic: Duration::ZERO, wall_ms: now.wall_ms };
        let member = Member::new(settings.node.clone(), rand::random(), start);
        let state = State {
            member,
            leaders: HashMap::new(),
            waiting: HashMap::new(),
            updated: None,
            told: Summary::default(),
        };
        Self {
            base,
            bounds: settings.quota,
            node: settings.node.clone(),
            region: settings.region.clone(),
            enabled: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    fn moment(&self, now: Moment) -> quota::Moment {
        let monotonic = now.monotonic.saturating_duration_since(self.base);
        quota::Moment { monotonic, wall_ms: now.wall_ms }
    }

    /// Whether any tenant has a quota.
    pub fn is_enabled(&self) -> bool {
        self.enabled.load(Ordering::Relaxed)
    }

    /// Takes over the quotas of the configuration in force, which `active` returns: of two that come at once, the later
    /// one stays.
    pub fn configure(&self, active: impl FnOnce() -> Option<Arc<Configuration>>, now: Moment) {
        let QuotaBounds { window, overage, slack } = self.bounds;
        let tolerance = Tolerance { window, overage, slack };
        let mut state = lock(&self.state);
        let configuration = active();
        let tenants = configuration.as_ref().and_then(|active| active.tenants());
        let tenants = tenants.into_iter().flat_map(|tenants| tenants.iter());
        let limits: Vec<_> = tenants
            .filter_map(|tenant| {
                let quota = tenant.quota?;
                Some((tenant.name.clone(), Limit::new(quota.rate, quota.burst, tolerance)))
            })
            .collect();
        self.enabled.store(!limits.is_empty(), Ordering::Relaxed);
        state.member.set_limits(limits, self.moment(now));
    }

    /// Takes over what is known of the other nodes. `leaders` are the quota leaders of the failure domains, that of
    /// this node's first and the others by their distance. Returns what to log.
    pub fn update(
        &self,
        nodes: Vec<(Arc<str>, Sighting)>,
        joined: bool,
        (own, others): (Option<&Record>, Vec<&Record>),
        now: Moment,
    ) -> Option<Event<'static>> {
        let moment = self.moment(now);
        let mut state = lock(&self.state);
        let leader = own.map(|record| record.node.clone());
        let names = others.iter().map(|record| record.node.clone()).collect();
        for record in own.into_iter().chain(others) {
            let near = record.region == self.region;
            let timeout = if near { REGION_TIMEOUT } else { REMOTE_TIMEOUT };
            let reached = Leader { address: record.address, timeout };
            state.leaders.insert(record.node.clone(), reached);
        }
        state.leaders.retain(|name, _| nodes.iter().any(|(node, _)| node == name));
        state.waiting.retain(|_, waiting| Arc::strong_count(waiting) > 1);
        state.member.update(View { nodes, joined, leader, others: names }, moment);
        state.updated = Some(now.monotonic);
        let summary = Summary {
            nodes: state.member.nodes(moment),
            share: state.member.share(moment),
            leased_to: state.member.leased_to().cloned(),
            contributors: state.member.pool().contributors(),
        };
        if !self.enabled.load(Ordering::Relaxed) || state.told == summary {
            return None;
        }
        state.told = summary.clone();
        let Summary { nodes, share, leased_to, contributors } = summary;
        Some(Event::QuotaChanged { nodes, share, leader: leased_to, contributors })
    }

    /// What to tell another node with an exchange; nothing while no tenant has a quota.
    pub fn notice(&self, reader: &Arc<str>, now: Moment) -> Option<Notice> {
        let enabled = self.enabled.load(Ordering::Relaxed);
        enabled.then(|| lock(&self.state).member.notice(reader, self.moment(now)))
    }

    /// Takes note of what another node has told with an exchange.
    pub fn receive(&self, from: &Arc<str>, notice: &Notice, now: Moment) {
        if *from != self.node {
            lock(&self.state).member.receive(from, notice, self.moment(now));
        }
    }

    /// Another process with this node's name runs.
    pub fn heard_rival(&self, now: Moment) {
        lock(&self.state).member.heard_rival(self.moment(now));
    }

    /// The process stops.
    pub fn stop(&self, now: Moment) {
        lock(&self.state).member.stop(self.moment(now));
    }

    /// Share of every quota that this node is entitled to, and the age of what it knows of other nodes.
    pub fn basis(&self, now: Moment) -> (f64, Duration) {
        let state = lock(&self.state);
        let age = state.updated.map(|updated| now.monotonic.saturating_duration_since(updated));
        (state.member.share(self.moment(now)), age.unwrap_or_default())
    }

    /// Shares used here as a quota leader, and granted tokens that may still be used.
    pub fn pool(&self, now: Moment) -> (f64, u64) {
        let mut state = lock(&self.state);
        let outstanding = state.member.outstanding(self.moment(now));
        (state.member.pool().share(), outstanding)
    }

    /// Puts back the token of a request that surely did not run and will not run.
    pub fn put_back(&self, tenant: &Tenant, permit: &Permit, now: Moment) {
        lock(&self.state).member.put_back(&tenant.name, permit, self.moment(now));
    }

    /// Responds to another node's request for tokens.
    fn grant(&self, request: &TokenRequest, now: Moment) -> TokenResponse {
        lock(&self.state).member.grant(request, self.moment(now))
    }
}

/// A step of a request that needs a token.
enum Step {
    Permitted(Permit),
    Refused(Duration),
    /// A response has to come first, of a request for tokens that is to be sent now or was sent before.
    Wait(Option<(Arc<str>, Leader, TokenRequest)>),
}

impl Quotas {
    /// The next step of a request, and what tells that it has to be repeated.
    fn step(&self, tenant: &Arc<str>, first: bool, now: Moment) -> (Step, Arc<Notify>) {
        let moment = self.moment(now);
        let mut state = lock(&self.state);
        let waiting = state.waiting.entry(tenant.clone()).or_default().clone();
        let member = &mut state.member;
        let mut decision =
            if first { member.begin(tenant, moment) } else { member.decide(tenant, moment) };
        loop {
            let step = match decision {
                Decision::Permitted(permit) => Step::Permitted(permit),
                Decision::Refused(wait) => Step::Refused(wait),
                Decision::Pending => Step::Wait(None),
                Decision::Ask(leader, request) => {
                    let Some(reached) = state.leaders.get(&leader).copied() else {
                        let number = request.number;
                        state.member.give_up(tenant, &leader, number, FAILURE_PAUSE, moment);
                        decision = state.member.decide(tenant, moment);
                        continue;
                    };
                    Step::Wait(Some((leader, reached, request)))
                }
            };
            return (step, waiting);
        }
    }

    /// Takes note of a response, or that there is none, and repeats the step of all requests that wait for it.
    fn complete(
        &self,
        leader: &Arc<str>,
        request: &TokenRequest,
        response: Option<&TokenResponse>,
        now: Moment,
    ) {
        let (tenant, moment) = (&request.tenant, self.moment(now));
        let mut state = lock(&self.state);
        match response {
            Some(response) => state.member.complete(tenant, leader, response, moment),
            None => state.member.give_up(tenant, leader, request.number, FAILURE_PAUSE, moment),
        }
        if let Some(waiting) = state.waiting.get(tenant) {
            waiting.notify_waiters();
        }
    }
}

/// Acquires a permit for a request of a tenant, or refuses it; none is needed without a quota.
pub async fn acquire<P: Platform>(
    shared: &Arc<Shared<P>>,
    tenant: &Tenant,
    deadline: Instant,
) -> Result<Option<Permit>, Refusal> {
    if tenant.quota.is_none() {
        return Ok(None);
    }
    let now = shared.now();
    let remaining = deadline.saturating_duration_since(now);
    let limit = now + MAX_WAIT.min(remaining.mul_f64(MAX_WAIT_FRACTION));
    let refuse = |wait, reason| {
        shared.metrics.quota.refusals.with_label_values(&[reason]).inc();
        Err(Refusal { reason: RefusalReason::Quota, wait })
    };
    let mut first = true;
    loop {
        let (step, waiting) = shared.quotas.step(&tenant.name, first, shared.moment());
        first = false;
        match step {
            Step::Permitted(permit) => return Ok(Some(permit)),
            Step::Refused(wait) => return refuse(wait, "empty"),
            Step::Wait(asked) => {
                let notified = waiting.notified();
                let mut notified = std::pin::pin!(notified);
                // From here on, a response isn't missed; the one that is to be asked for can't have come yet.
                notified.as_mut().enable();
                match asked {
                    Some((leader, reached, request)) => {
                        // The request for tokens goes on if this caller gives up: others may wait for it.
                        tokio::spawn(ask(shared.clone(), leader, reached, request));
                    }
                    None if !shared.quotas.is_pending(&tenant.name) => continue,
                    None => {}
                }
                if tokio::time::timeout_at(limit.into(), notified).await.is_err() {
                    return refuse(PENDING_WAIT, "no-response");
                }
            }
        }
    }
}

impl Quotas {
    fn is_pending(&self, tenant: &str) -> bool {
        lock(&self.state).member.is_pending(tenant)
    }
}

/// Asks a quota leader for tokens.
async fn ask<P: Platform>(
    shared: Arc<Shared<P>>,
    leader: Arc<str>,
    reached: Leader,
    request: TokenRequest,
) {
    let sent = send(&shared, reached.address, &request);
    let sent = tokio::time::timeout(reached.timeout, sent).await;
    let response = sent.ok().flatten();
    let outcome = match &response {
        Some(response) if response.tokens > 0 => "granted",
        Some(_) => "empty",
        None => "failed",
    };
    shared.metrics.quota.requests.with_label_values(&[outcome]).inc();
    shared.quotas.complete(&leader, &request, response.as_ref(), shared.moment());
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    address: SocketAddr,
    request: &TokenRequest,
) -> Option<TokenResponse> {
    let body = serde_json::to_vec(request).ok()?;
    let message = Request::post(PATH)
        .header(http::header::HOST, address.to_string())
        .body(RequestBody::from(body))
        .ok()?;
    let now = shared.now();
    let sent = shared.peer_pool.send(address, message, PEER_MAX_IDLE, now).await;
    let (response, connection) = sent.ok()?;
    let collected = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let bytes = collected.ok()?.to_bytes();
    connection.release(shared.now());
    serde_json::from_slice(&bytes).ok()
}

/// Answers a request for tokens of another node; `None` if it can't be decoded.
pub fn answer<P: Platform>(shared: &Shared<P>, body: &[u8]) -> Option<Vec<u8>> {
    let request: TokenRequest = serde_json::from_slice(body).ok()?;
    let response = shared.quotas.grant(&request, shared.moment());
    shared.metrics.quota.granted.inc_by(u64::from(response.tokens));
    serde_json::to_vec(&response).ok()
}

/// Takes over what this node knows of the others, before a round of exchanges.
pub fn update<P: Platform>(
    shared: &Shared<P>,
    leaders: (Option<&Record>, Vec<&Record>),
    now: Instant,
) {
    let (nodes, has_others) = {
        let table = lock(&shared.members);
        let nodes = table.all(now).map(|(member, silent)| {
            // A node whose upstream is leaving may run on, and use its share.
            let leaving = member.record.stopping;
            (member.record.node.clone(), Sighting { silent, leaving })
        });
        (nodes.collect(), table.has_others())
    };
    let exchanged = shared.exchanged.load(Ordering::Relaxed);
    // The records in the store were read, and no other node is known.
    let alone = shared.synced.load(Ordering::Relaxed) && !has_others;
    let event = shared.quotas.update(nodes, exchanged || alone, leaders, shared.moment());
    if let Some(event) = event {
        shared.log(&event);
    }
}
