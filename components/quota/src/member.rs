//! A node's part in the quotas: its share, its lease, its pool as a quota leader, and its tokens.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::message::{Notice, TokenRequest, TokenResponse};
use crate::purse::Source;
use crate::{Census, Contributor, Limit, Moment, Permit, Pool, Purse, Renewed, Sighting};

/// Expected wait for a token where no quota leader is known.
const UNKNOWN_WAIT: Duration = Duration::from_millis(500);
/// Time after which a share that is used for the first time has tokens: a renewal of its lease, and some refilling.
const FIRST_TOKEN: Duration = Duration::from_millis(700);
/// Time in which a token of the node's own pool can be put back. It is in no bucket meanwhile, so that a window may see
/// the tokens of so much time more; the tolerance covers it.
const PUT_BACK: Duration = Duration::from_millis(100);
/// Most nodes whose rivals are remembered until they are told.
const MAX_RIVALS: usize = 64;

/// What a node knows of the others.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// All nodes, with this one.
    pub nodes: Vec<(Arc<str>, Sighting)>,
    /// Whether the process has heard from another node, or knows that there is none.
    pub joined: bool,
    /// The quota leader of the node's failure domain, which may be the node itself.
    pub leader: Option<Arc<str>>,
    /// Those of other failure domains, the nearest first.
    pub others: Vec<Arc<str>>,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It may be forwarded; the permit is put back if it surely doesn't run.
    Permitted(Permit),
    /// A quota leader has to be asked for tokens; its response, or that there is none, is reported back.
    Ask(Arc<str>, TokenRequest),
    /// A quota leader is being asked for tokens of this tenant.
    Pending,
    /// The tenant has no token, and the next is expected after this time.
    Refused(Duration),
}

/// A node's part in the quotas.
#[derive(Debug)]
pub struct Member {
    name: Arc<str>,
    census: Census,
    contributor: Contributor,
    pool: Pool,
    purses: HashMap<Arc<str>, Purse>,
    leader: Option<Arc<str>>,
    others: Vec<Arc<str>>,
    /// Nodes to be told that another process has their name.
    rivals: HashSet<Arc<str>>,
}

impl Member {
    /// A process that has just started; `process` is a random number.
    pub fn new(name: Arc<str>, process: u64, now: Moment) -> Self {
        Self {
            name,
            census: Census::new(now),
            contributor: Contributor::new(process),
            pool: Pool::new(process, now),
            purses: HashMap::new(),
            leader: None,
            others: Vec::new(),
            rivals: HashSet::new(),
        }
    }

    /// Takes over the limits of a configuration.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Arc<str>, Limit)>, now: Moment) {
        self.pool.set_limits(limits, now);
    }

    /// Takes over what is known of the other nodes, before each round of exchanges.
    pub fn update(&mut self, view: View, now: Moment) {
        let nodes = view.nodes.iter().map(|(node, sighting)| (node, *sighting));
        self.census.count(nodes, view.joined, now);
        self.leader = view.leader;
        self.others = view.others;
        self.purses.retain(|_, purse| !purse.is_idle(now));
        let leads = self
            .leader
            .as_ref()
            .is_none_or(|leader| *leader == self.name || self.contributor.is_stopping(leader));
        if !leads {
            self.contributor.release(now);
        }
        let own = leads && self.contributor.keep(now);
        let share = if own { self.census.share(now) } else { 0.0 };
        self.pool.set_own(share, now);
        self.pool.advance(now);
    }

    /// What to tell another node with an exchange.
    pub fn notice(&mut self, reader: &Arc<str>, now: Moment) -> Notice {
        self.pool.advance(now);
        let renews = self.leader.as_ref() == Some(reader) && !self.pool.is_stopping();
        let share = if renews { self.census.share(now) } else { 0.0 };
        let renewal = if share > 0.0 { self.contributor.renewal(reader, share, now) } else { None };
        Notice {
            stamp: self.pool.stamp(now),
            silent: self.census.silent(now),
            renewal,
            stopping: self.pool.is_stopping(),
            rival: self.rivals.remove(reader),
        }
    }

    /// Takes note of what another node has told with an exchange.
    pub fn receive(&mut self, from: &Arc<str>, notice: &Notice, now: Moment) {
        self.census.heard(notice.silent, now);
        if notice.rival {
            self.census.heard_rival(now);
        }
        if self.leader.as_ref() == Some(from) || self.contributor.leader() == Some(from) {
            self.contributor.heard(from, notice, now);
        }
        let Some(renewal) = notice.renewal else { return };
        let renewed = self.pool.renew(from, renewal, now);
        if renewed == Renewed::Rival && self.rivals.len() < MAX_RIVALS {
            self.rivals.insert(from.clone());
        }
    }

    /// Another process with this node's name was heard of.
    pub fn heard_rival(&mut self, now: Moment) {
        self.census.heard_rival(now);
    }

    /// The process stops: it uses no shares of others any more.
    pub fn stop(&mut self, now: Moment) {
        self.pool.stop(now);
    }

    /// Decides on a request that has just arrived.
    pub fn begin(&mut self, tenant: &Arc<str>, now: Moment) -> Decision {
        self.purses.entry(tenant.clone()).or_default().record_demand(now);
        self.decide(tenant, now)
    }

    /// Decides on a request that waits for tokens.
    pub fn decide(&mut self, tenant: &Arc<str>, now: Moment) -> Decision {
        let purse = self.purses.entry(tenant.clone()).or_default();
        if let Some(permit) = purse.take(now) {
            return Decision::Permitted(permit);
        }
        if self.pool.take(tenant, now) {
            return Decision::Permitted(Permit(Source::Own(now)));
        }
        if purse.is_pending() {
            return Decision::Pending;
        }
        let mut wait = self.pool.wait(tenant, now);
        let leaders = self.contributor.leader().into_iter().chain(&self.leader).chain(&self.others);
        for leader in leaders.filter(|leader| **leader != self.name) {
            let Some(empty) = purse.empty_for(leader, now) else {
                return Decision::Ask(leader.clone(), purse.request(tenant, leader, now));
            };
            wait = Some(wait.map_or(empty, |wait| wait.min(empty)));
        }
        // Where all nodes have just started, no leader has tokens before they may use their shares.
        let settling = self.census.settles_in(now).map(|left| left + FIRST_TOKEN);
        let wait = wait.unwrap_or(UNKNOWN_WAIT);
        Decision::Refused(settling.map_or(wait, |settling| settling.max(wait)))
    }

    /// Whether a quota leader is being asked for tokens of a tenant.
    pub fn is_pending(&self, tenant: &str) -> bool {
        self.purses.get(tenant).is_some_and(Purse::is_pending)
    }

    /// Responds to another node's request for tokens.
    pub fn grant(&mut self, request: &TokenRequest, now: Moment) -> TokenResponse {
        self.pool.grant(request, now)
    }

    /// Takes note of a quota leader's response.
    pub fn complete(
        &mut self,
        tenant: &str,
        leader: &Arc<str>,
        response: &TokenResponse,
        now: Moment,
    ) {
        if let Some(purse) = self.purses.get_mut(tenant) {
            let lessee = self.contributor.leader();
            let is_own = self.leader.as_ref() == Some(leader) || lessee == Some(leader);
            purse.complete(leader, response, is_own, now);
        }
    }

    /// Gives up a request for tokens; the quota leader is not asked again for `pause`.
    pub fn give_up(
        &mut self,
        tenant: &str,
        leader: &Arc<str>,
        number: u64,
        pause: Duration,
        now: Moment,
    ) {
        if let Some(purse) = self.purses.get_mut(tenant) {
            purse.give_up(leader, number, pause, now);
        }
    }

    /// Puts back the token of a request that surely doesn't run.
    pub fn put_back(&mut self, tenant: &str, permit: &Permit, now: Moment) {
        match permit.0 {
            Source::Own(taken) if now.since(taken) < PUT_BACK => self.pool.put_back(tenant, now),
            Source::Own(_) => {}
            Source::Grant { process, grant } => {
                if let Some(purse) = self.purses.get_mut(tenant) {
                    purse.put_back(process, grant);
                }
            }
        }
    }

    /// The share of every bucket that this node is entitled to.
    pub fn share(&self, now: Moment) -> f64 {
        self.census.share(now)
    }

    /// Number of nodes that share every bucket.
    pub fn nodes(&self, now: Moment) -> usize {
        self.census.nodes(now)
    }

    /// The shares that this node uses as a quota leader.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Tokens granted to other nodes that may still be used.
    pub fn outstanding(&mut self, now: Moment) -> u64 {
        self.pool.outstanding(now)
    }

    /// The node that this node's share is leased to.
    pub fn leased_to(&self) -> Option<&Arc<str>> {
        self.contributor.leader()
    }
}
