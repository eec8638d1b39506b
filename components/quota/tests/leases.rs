//! When a lease ends on both sides: guards against shares that are in two places because a message was late or a clock
//! was set.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::sync::Arc;
use std::time::Duration;

use quota::message::{Notice, Renewal, Silent, TokenResponse};
use quota::{Contributor, GRANT, LEASE, Moment, Pool, Purse, RETURN, Renewed};

fn at(ms: u64) -> Moment {
    Moment { monotonic: Duration::from_millis(10_000 + ms), wall_ms: 1_000_000 + ms }
}

fn renewal(pool: &Pool, stamped: u64, number: u64) -> Renewal {
    Renewal { stamp: pool.stamp(at(stamped)), process: 7, number, share: 0.5 }
}

/// Guards against leases that are counted from when the renewal arrives.
#[test]
fn a_lease_ends_by_the_leaders_timestamp() {
    let node: Arc<str> = "n1".into();
    let mut pool = Pool::new(1, at(0));
    let late = renewal(&pool, 0, 1);
    assert_eq!(pool.renew(&node, late, at(1_400)), Renewed::Accepted);
    pool.advance(at(1_499));
    assert_eq!(pool.share(), 0.5);
    pool.advance(at(LEASE.as_millis() as u64));
    assert_eq!(pool.share(), 0.0);
    assert_eq!(pool.renew(&node, late, at(1_600)), Renewed::Stale);
    assert_eq!(pool.share(), 0.0);
}

/// Guards against a later renewal that is replaced by an earlier one with another share.
#[test]
fn an_earlier_renewal_replaces_no_later_one() {
    let node: Arc<str> = "n1".into();
    let mut pool = Pool::new(1, at(0));
    let (earlier, later) = (renewal(&pool, 0, 1), renewal(&pool, 0, 2));
    assert_eq!(pool.renew(&node, Renewal { share: 0.25, ..later }, at(10)), Renewed::Accepted);
    assert_eq!(pool.renew(&node, earlier, at(20)), Renewed::Stale);
    assert_eq!(pool.share(), 0.25);
}

/// Guards against a share that returns early: tokens granted from it are used until then.
#[test]
fn a_share_returns_once_its_last_token_has_expired() {
    let leader: Arc<str> = "n0".into();
    let mut contributor = Contributor::new(7);
    let stamp = Pool::new(1, at(0)).stamp(at(0));
    let silent = Silent { nodes: 0, age_ms: 0 };
    let notice = Notice { stamp, silent, renewal: None, stopping: false, rival: false };
    contributor.heard(&leader, &notice, at(0));
    contributor.renewal(&leader, 0.5, at(100)).unwrap();
    let returned = 100 + RETURN.as_millis() as u64;
    // Another node is the quota leader now.
    let other: Arc<str> = "n2".into();
    let stamp = Pool::new(2, at(0)).stamp(at(200));
    contributor.heard(&other, &Notice { stamp, ..notice }, at(200));
    assert!(contributor.renewal(&other, 0.5, at(returned - 1)).is_none());
    // The wall clock was set forward.
    let early = Moment { wall_ms: u64::MAX / 2, ..at(returned - 1) };
    assert!(!contributor.keep(early));
    assert!(contributor.keep(at(returned)));
    assert!(RETURN >= LEASE + GRANT);
}

/// Guards against granted tokens that are used after the quota leader has stopped counting them, also where only the wall
/// clock went on, and against responses that are counted twice.
#[test]
fn granted_tokens_expire() {
    let (tenant, leader): (Arc<str>, Arc<str>) = ("t".into(), "n0".into());
    let mut purse = Purse::default();
    let number = purse.request(&tenant, &leader, at(0)).number;
    let response = TokenResponse { number, process: 1, id: 1, tokens: 2, wait_ms: 0 };
    purse.complete(&leader, &response, true, at(300));
    purse.complete(&leader, &response, true, at(300));
    let end = GRANT.as_millis() as u64;
    assert!(purse.take(at(end - 1)).is_some());
    let suspended = Moment { wall_ms: at(end).wall_ms, ..at(301) };
    assert!(purse.take(suspended).is_none());
    assert!(purse.take(at(301)).is_none());
}
