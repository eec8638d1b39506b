//! Quota leader: the shares leased to this node, and the tokens granted from them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::bucket::{Bucket, Limit};
use crate::message::{Renewal, Stamp, TokenRequest, TokenResponse};
use crate::{LEASE, Moment};

/// Shortest time for which a node is told to wait for a token, which bounds the requests for tokens of a tenant far over
/// its quota: with 50 ms, those of 79 nodes used up the processor of the quota leaders, and no tenant got tokens in time.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Longest time, after which shares may have been leased here again.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Most nodes that a quota leader holds shares of.
const MAX_NODES: usize = 4_096;

/// A share leased by another node.
#[derive(Debug, Clone, Copy)]
struct Leased {
    renewal: Renewal,
}

/// Whether a renewal was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewed {
    /// The share is used here.
    Accepted,
    /// It is late or repeated, or from before this process started.
    Stale,
    /// Another process of that name has leased its share.
    Rival,
}

/// Shares leased to this node, and buckets that hold their sum.
#[derive(Debug)]
pub struct Pool {
    process: u64,
    leased: BTreeMap<Arc<str>, Leased>,
    /// The node's own share, while it is used here.
    own: f64,
    share: f64,
    /// Share-seconds since the start of the process.
    earned: f64,
    last: Moment,
    buckets: HashMap<Arc<str>, Bucket>,
    stopping: bool,
    grants: u64,
}

impl Pool {
    /// An empty pool; `process` is a random number.
    pub fn new(process: u64, now: Moment) -> Self {
        Self {
            process,
            leased: BTreeMap::new(),
            own: 0.0,
            share: 0.0,
            earned: 0.0,
            last: now,
            buckets: HashMap::new(),
            stopping: false,
            grants: 0,
        }
    }

    /// The timestamp that other nodes echo.
    pub fn stamp(&self, now: Moment) -> Stamp {
        Stamp { process: self.process, at: now }
    }

    /// The sum of the shares.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Nodes that have leased their shares.
    pub fn contributors(&self) -> usize {
        self.leased.len()
    }

    /// Whether the process has stopped using shares of others.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Takes over the limits of a configuration. Buckets keep their level as far as it fits, new ones are empty.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Arc<str>, Limit)>, now: Moment) {
        self.advance(now);
        self.settle_all(now);
        let mut buckets = std::mem::take(&mut self.buckets);
        for (tenant, limit) in limits {
            let bucket = buckets.remove(&tenant);
            let mut bucket = bucket.unwrap_or_else(|| Bucket::new(limit, self.earned));
            bucket.limit = limit;
            bucket.settle(self.earned, self.share, now);
            self.buckets.insert(tenant, bucket);
        }
    }

    /// Accounts for the time that has passed, and drops leases that have ended.
    pub fn advance(&mut self, now: Moment) {
        let elapsed = now.surely_since(self.last);
        self.last = now;
        let mut ended = false;
        let mut earned = self.own * elapsed.as_secs_f64();
        self.leased.retain(|_, Leased { renewal }| {
            let age = now.since(renewal.stamp.at);
            let used = elapsed.saturating_sub(age.saturating_sub(LEASE));
            earned += renewal.share * used.as_secs_f64();
            ended |= age >= LEASE;
            age < LEASE
        });
        self.earned += earned;
        if ended {
            self.shares_changed(now);
        }
    }

    /// Sets the node's own share; 0 while it is leased to another node.
    pub fn set_own(&mut self, share: f64, now: Moment) {
        self.advance(now);
        if self.own != share {
            self.own = share;
            self.shares_changed(now);
        }
    }

    /// Takes note of a renewal by another node.
    pub fn renew(&mut self, node: &Arc<str>, renewal: Renewal, now: Moment) -> Renewed {
        self.advance(now);
        let stamp = renewal.stamp;
        let valid = stamp.process == self.process && now.since(stamp.at) < LEASE;
        if self.stopping || !valid || !(0.0..=1.0).contains(&renewal.share) {
            return Renewed::Stale;
        }
        let held = self.leased.get(node).map(|leased| leased.renewal);
        if let Some(held) = held {
            if held.process != renewal.process {
                return Renewed::Rival;
            }
            if held.number >= renewal.number {
                return Renewed::Stale;
            }
        } else if self.leased.len() >= MAX_NODES {
            return Renewed::Stale;
        }
        self.leased.insert(node.clone(), Leased { renewal });
        if held.is_none_or(|held| held.share != renewal.share) {
            self.shares_changed(now);
        }
        Renewed::Accepted
    }

    /// Stops using the shares of others for good.
    pub fn stop(&mut self, now: Moment) {
        self.advance(now);
        self.stopping = true;
        self.leased.clear();
        self.shares_changed(now);
    }

    /// Takes a token that is used at once.
    pub fn take(&mut self, tenant: &str, now: Moment) -> bool {
        self.bucket(tenant, now).is_some_and(|(bucket, _)| bucket.take())
    }

    /// Puts an unused token back.
    pub fn put_back(&mut self, tenant: &str, now: Moment) {
        if let Some((bucket, share)) = self.bucket(tenant, now) {
            bucket.put_back(share);
        }
    }

    /// Time until the next token of a tenant; none if there will be none.
    pub fn wait(&mut self, tenant: &str, now: Moment) -> Option<Duration> {
        let (bucket, share) = self.bucket(tenant, now)?;
        bucket.wait(share)
    }

    /// Grants tokens to a node.
    pub fn grant(&mut self, request: &TokenRequest, now: Moment) -> TokenResponse {
        self.grants += 1;
        let (process, id) = (self.process, self.grants);
        let same_process = request.process == Some(process);
        let mut response =
            TokenResponse { number: request.number, process, id, tokens: 0, wait_ms: 0 };
        let mut wait = MAX_WAIT;
        if let Some((bucket, share)) = self.bucket(&request.tenant, now) {
            for end in request.ended.iter().filter(|_| same_process) {
                bucket.end_grant(end.id, end.unspent, share);
            }
            response.tokens = bucket.grant(id, request.wanted, now);
            wait = bucket.wait(share).unwrap_or(MAX_WAIT);
        }
        response.wait_ms = wait.clamp(MIN_WAIT, MAX_WAIT).as_millis() as u64;
        response
    }

    /// Granted tokens of all tenants that may still be used.
    pub fn outstanding(&mut self, now: Moment) -> u64 {
        self.advance(now);
        self.settle_all(now);
        self.buckets.values().map(Bucket::outstanding).sum()
    }

    fn bucket(&mut self, tenant: &str, now: Moment) -> Option<(&mut Bucket, f64)> {
        self.advance(now);
        let bucket = self.buckets.get_mut(tenant)?;
        bucket.settle(self.earned, self.share, now);
        Some((bucket, self.share))
    }

    /// Brings all buckets up to date with the shares that were used until now, and with those used from now on.
    fn shares_changed(&mut self, now: Moment) {
        self.settle_all(now);
        let leased: f64 = self.leased.values().map(|leased| leased.renewal.share).sum();
        self.share = (self.own + leased).min(1.0);
        self.settle_all(now);
    }

    fn settle_all(&mut self, now: Moment) {
        for bucket in self.buckets.values_mut() {
            bucket.settle(self.earned, self.share, now);
        }
    }
}
