//! Tokens of one tenant that a node holds, and the refusals that it remembers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::message::{GrantEnd, TokenRequest, TokenResponse};
use crate::{GRANT, Moment};

/// Time for which tokens are requested in advance.
const AHEAD: Duration = Duration::from_millis(300);
/// Time over which demand is averaged.
const DEMAND_TIME: f64 = 1.0;
/// Most tokens that are requested at once.
const MAX_WANTED: f64 = 1e6;
/// Most ended grants in one request; the others end by themselves.
const MAX_ENDED: usize = 32;
/// Factor on the wait that the quota leader of another failure domain states: its tokens are needed there.
const OTHER_WAIT_FACTOR: u32 = 4;
/// Longest time for which a refusal is remembered.
const MAX_REMEMBERED: Duration = Duration::from_secs(2);

/// The right to forward one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit(pub(crate) Source);

/// Where a token was taken from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Source {
    /// The pool of this node, at that time.
    Own(Moment),
    /// A grant of another process.
    Grant {
        /// The process.
        process: u64,
        /// Id of the grant.
        grant: u64,
    },
}

#[derive(Debug)]
struct Held {
    leader: Arc<str>,
    process: u64,
    grant: u64,
    tokens: u32,
    sent: Moment,
}

#[derive(Debug)]
struct Pending {
    leader: Arc<str>,
    number: u64,
    wanted: u32,
    sent: Moment,
}

/// Tokens of one tenant at one node.
#[derive(Debug, Default)]
pub struct Purse {
    held: Vec<Held>,
    pending: Vec<Pending>,
    /// Until when each quota leader has none.
    empty: HashMap<Arc<str>, Duration>,
    /// Grants whose tokens were all used, by quota leader and process.
    ended: Vec<(Arc<str>, u64, u64)>,
    /// Requests per second.
    demand: f64,
    last: Duration,
    numbers: u64,
}

impl Purse {
    /// Counts a request.
    pub fn record_demand(&mut self, now: Moment) {
        let elapsed = now.monotonic.saturating_sub(self.last).as_secs_f64();
        self.demand = self.demand * (-elapsed / DEMAND_TIME).exp() + 1.0 / DEMAND_TIME;
        self.last = now.monotonic;
    }

    /// Whether nothing has happened for so long that the purse can be dropped.
    pub fn is_idle(&self, now: Moment) -> bool {
        now.monotonic.saturating_sub(self.last) > MAX_REMEMBERED && self.pending.is_empty()
    }

    /// Whether a quota leader is being asked.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes a token.
    pub fn take(&mut self, now: Moment) -> Option<Permit> {
        self.held.retain(|held| now.since(held.sent) < GRANT);
        let held = self.held.first_mut()?;
        held.tokens -= 1;
        let permit = Permit(Source::Grant { process: held.process, grant: held.grant });
        if held.tokens == 0 {
            let held = self.held.swap_remove(0);
            self.ended.push((held.leader, held.process, held.grant));
        }
        Some(permit)
    }

    /// Puts a token back that was not used, if it can still be used.
    pub(crate) fn put_back(&mut self, process: u64, grant: u64) {
        let same = |held: &&mut Held| held.process == process && held.grant == grant;
        if let Some(held) = self.held.iter_mut().find(same) {
            held.tokens += 1;
        }
    }

    /// Time until a quota leader is expected to have a token; none if it may have one.
    pub fn empty_for(&self, leader: &str, now: Moment) -> Option<Duration> {
        let until = self.empty.get(leader)?;
        until.checked_sub(now.monotonic).filter(|wait| !wait.is_zero())
    }

    /// The request for tokens to send to a quota leader now.
    pub fn request(&mut self, tenant: &Arc<str>, leader: &Arc<str>, now: Moment) -> TokenRequest {
        self.numbers += 1;
        let number = self.numbers;
        let wanted = (self.demand * AHEAD.as_secs_f64()).clamp(1.0, MAX_WANTED).round() as u32;
        self.pending.push(Pending { leader: leader.clone(), number, wanted, sent: now });
        let process = self.ended.iter().rev().find(|(from, ..)| from == leader);
        let process = process.map(|(_, process, _)| *process);
        let mut ended = Vec::new();
        self.ended.retain(|(from, of, id)| {
            if from == leader && Some(*of) == process && ended.len() < MAX_ENDED {
                ended.push(GrantEnd { id: *id, unspent: 0 });
            }
            from != leader
        });
        TokenRequest { tenant: tenant.clone(), number, wanted, process, ended }
    }

    /// Takes note of a quota leader's response. Repeated responses, and those to requests that were given up, have no
    /// effect.
    pub fn complete(
        &mut self,
        leader: &Arc<str>,
        response: &TokenResponse,
        is_own: bool,
        now: Moment,
    ) {
        let Some(Pending { wanted, sent, .. }) = self.end_request(leader, response.number) else {
            return;
        };
        let TokenResponse { process, id: grant, tokens, .. } = *response;
        if tokens < wanted {
            // Others may have more than what trickles in there.
            let factor = if is_own { 1 } else { OTHER_WAIT_FACTOR };
            let wait =
                Duration::from_millis(response.wait_ms).saturating_mul(factor).min(MAX_REMEMBERED);
            self.empty.insert(leader.clone(), now.monotonic + wait);
        }
        if tokens == 0 {
            return;
        }
        self.held.push(Held { leader: leader.clone(), process, grant, tokens, sent });
    }

    /// Gives up a request that got no response; the quota leader is not asked again for `pause`.
    pub fn give_up(&mut self, leader: &Arc<str>, number: u64, pause: Duration, now: Moment) {
        if self.end_request(leader, number).is_some() {
            self.empty.insert(leader.clone(), now.monotonic + pause);
        }
    }

    fn end_request(&mut self, leader: &Arc<str>, number: u64) -> Option<Pending> {
        let same = |pending: &Pending| pending.number == number && pending.leader == *leader;
        let place = self.pending.iter().position(same)?;
        Some(self.pending.swap_remove(place))
    }
}
