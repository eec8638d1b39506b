//! Single faults that would let a tenant exceed its quota if one mechanism were missing; each test names the mechanism.
//! All nodes are in one failure domain, so that one quota leader holds everything, and demand is 8 times the quota.

mod fleet;

use fleet::{Fleet, Tenant};

const RATE: f64 = 120.0;

fn fleet(seed: u64, nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, nodes, 1);
    let all = (0..nodes).collect();
    fleet.tenants.push(Tenant::new("t", RATE, 0.0, all));
    fleet.run(8.0);
    fleet
}

/// From full buckets, everything at once, at all nodes.
fn surge(fleet: &mut Fleet, seconds: f64) {
    fleet.tenants[0].demand = 8.0 * RATE;
    fleet.run(seconds);
}

fn pause(fleet: &mut Fleet, seconds: f64) {
    fleet.tenants[0].demand = 0.0;
    fleet.run(seconds);
}

fn cut_off(fleet: &mut Fleet, names: impl Fn(usize) -> bool) {
    for process in &mut fleet.processes {
        process.group = u32::from(names(process.name));
    }
}

/// Nothing is lost while nothing fails: what the bound allows apart from the part that covers faults is served.
#[test]
fn a_healthy_fleet_serves_the_whole_quota() {
    let mut fleet = fleet(1, 10);
    surge(&mut fleet, 20.0);
    let highest = fleet.tenants[0].highest;
    println!("{highest:.3} of the bound");
    assert!((0.9..=1.0).contains(&highest), "{highest}");
}

/// Guards against leases that are counted from when a renewal arrives: late ones would hold shares that were leased to
/// the next quota leader.
#[test]
fn late_renewals_hold_no_shares() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, 10);
        // Half of the requests arrive at the first quota leader.
        fleet.tenants[0].at = [vec![0; 9], (1..10).collect()].concat();
        (fleet.repeated, fleet.lateness) = (1.0, 12.0);
        for _ in 0..3 {
            fleet.late = 1.0;
            fleet.run(3.0);
            cut_off(&mut fleet, |name| name == 0);
            fleet.late = 0.0;
            fleet.run(4.0);
            surge(&mut fleet, 9.0);
            cut_off(&mut fleet, |_| false);
            pause(&mut fleet, 10.0);
        }
    }
}

/// Guards against leases, and granted tokens, that a process takes for valid after a suspension, in which only its wall
/// clock went on.
#[test]
fn a_suspended_leader_holds_no_shares_when_it_resumes() {
    for seed in 0..10 {
        let mut fleet = fleet(seed, 10);
        fleet.suspend(0, 8.0);
        fleet.run(4.0);
        surge(&mut fleet, 8.0);
    }
}

/// Guards against tokens that are used after a suspension.
#[test]
fn a_suspended_node_holds_no_tokens_when_it_resumes() {
    for seed in 0..10 {
        let mut fleet = fleet(seed, 10);
        fleet.tenants[0].at = (1..10).collect();
        surge(&mut fleet, 0.3);
        pause(&mut fleet, 0.0);
        (1..10).for_each(|node| fleet.suspend(node, 4.0));
        fleet.run(3.9);
        surge(&mut fleet, 6.0);
    }
}

/// Guards against nodes that forget a part of the others that is cut off for long, and both parts use everything.
#[test]
fn a_long_partition_does_not_double_the_quota() {
    for cut in [5, 7] {
        let mut fleet = fleet(cut as u64, 10);
        cut_off(&mut fleet, |name| name >= cut);
        fleet.run(60.0);
        surge(&mut fleet, 10.0);
        pause(&mut fleet, 700.0);
        surge(&mut fleet, 10.0);
    }
}

/// Guards against processes that start in a part that is cut off, and take it for everything: restarted ones, which know
/// only the nodes of their part, and new ones, which the other part does not know of.
#[test]
fn processes_that_start_in_a_partition_do_not_add_to_the_quota() {
    for restarted in [false, true] {
        let mut fleet = fleet(u64::from(restarted), 10);
        cut_off(&mut fleet, |name| name >= 5);
        fleet.run(40.0);
        // One process stays; what no process of a part remembers is lost (docs/design/quotas.md).
        for name in 6..10 {
            for process in fleet.processes.iter_mut().filter(|process| process.name == name) {
                process.alive &= !restarted;
            }
            let place = fleet.start(if restarted { name } else { name + 10 });
            fleet.processes[place].group = 1;
            fleet.tenants[0].at.push(name + 10);
        }
        fleet.run(40.0);
        surge(&mut fleet, 10.0);
    }
}

/// Guards against several processes of one name that all contribute a share.
#[test]
fn duplicated_processes_contribute_one_share() {
    for seed in 0..5 {
        let mut fleet = fleet(seed, 10);
        for name in 4..10 {
            fleet.start(name);
        }
        fleet.run(10.0);
        surge(&mut fleet, 10.0);
    }
}

/// Guards against shares that return too early as a wall clock was set forward.
#[test]
fn wall_clocks_that_are_set_forward_return_no_share_early() {
    for seed in 0..10 {
        let mut fleet = fleet(seed, 10);
        surge(&mut fleet, 0.5);
        for _ in 0..5 {
            cut_off(&mut fleet, |name| name == 0);
            (1..10).for_each(|place| fleet.shift_wall_clock(place, 3.0));
            fleet.run(3.0);
            cut_off(&mut fleet, |_| false);
            fleet.run(3.0);
        }
    }
}

/// Guards against responses that are counted each time they arrive, and grants that are returned each time.
#[test]
fn repeated_messages_have_no_effect() {
    for seed in 0..5 {
        let mut fleet = fleet(seed, 10);
        (fleet.repeated, fleet.late) = (1.0, 0.2);
        surge(&mut fleet, 15.0);
    }
}

/// Guards against buckets that keep or refill tokens of a higher limit: binding 3 s and a window after the change.
#[test]
fn a_lowered_limit_binds_in_time() {
    for seed in 0..10 {
        let mut fleet = fleet(seed, 10);
        surge(&mut fleet, 10.0);
        fleet.set_rate(0, RATE / 8.0);
        fleet.run(15.0);
        fleet.set_rate(0, 0.0);
        fleet.run(10.0);
        let permitted = fleet.tenants[0].permitted;
        fleet.run(5.0);
        assert_eq!(fleet.tenants[0].permitted, permitted);
    }
}
