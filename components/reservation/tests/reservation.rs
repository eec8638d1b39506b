//! A key runs at most once, in any order of events.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::collections::HashMap;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use reservation::{Action, Claim, Claims, Holder, Key, KeyRecords, Outcome};
use units::{Clock, Incarnation, ManualClock};

const WINDOW: Duration = Duration::from_secs(600);

fn holder(index: u64, incarnation: u64) -> Holder {
    Holder { node: format!("n{index}").parse().unwrap(), incarnation: Incarnation(incarnation) }
}

fn plain(index: u64) -> Key {
    Key::Plain(format!("k{index}"))
}

#[gtest]
fn a_ticket_is_parsed_back_and_expires() -> googletest::Result<()> {
    let ticket =
        Key::Ticket { holder: holder(1, 7), issued_at: Duration::from_millis(5_000), nonce: 9 };
    expect_that!(ticket.to_string().parse::<Key>(), ok(eq(&ticket)));
    expect_that!(ticket.is_expired(WINDOW, Duration::from_secs(605)), eq(false));
    expect_that!(ticket.is_expired(WINDOW, Duration::from_secs(606)), eq(true));
    expect_that!("tk1:n:x".parse::<Key>(), err(anything()));
    expect_that!("order 7".parse::<Key>(), err(anything()));
    expect_that!("order-7".parse::<Key>(), ok(eq(&Key::Plain("order-7".to_owned()))));
    Ok(())
}

#[gtest]
fn a_resend_waits_for_the_first_run_and_gets_its_answer() {
    let now = ManualClock::new().now();
    let mut records: KeyRecords<&str> = KeyRecords::new(WINDOW);
    expect_that!(records.admit(&plain(1)), eq(&Action::NotHeld));
    records.hold(&plain(1), now);
    expect_that!(records.admit(&plain(1)), eq(&Action::Run));
    expect_that!(records.admit(&plain(1)), eq(&Action::Wait));
    records.hold(&plain(1), now);
    records.finish(&plain(1), Outcome::Answered("answer"), now);
    expect_that!(records.admit(&plain(1)), eq(&Action::Replay("answer")));
}

#[gtest]
fn a_key_that_did_not_run_may_run_later_and_one_with_unknown_outcome_may_not() {
    let now = ManualClock::new().now();
    let mut records: KeyRecords<&str> = KeyRecords::new(WINDOW);
    records.hold(&plain(1), now);
    records.admit(&plain(1));
    records.finish(&plain(1), Outcome::NotRun, now);
    expect_that!(records.admit(&plain(1)), eq(&Action::Run));
    records.finish(&plain(1), Outcome::Unknown, now);
    records.hold(&plain(1), now);
    expect_that!(records.admit(&plain(1)), eq(&Action::Unknown));
}

#[gtest]
fn a_running_key_is_never_removed() {
    let clock = ManualClock::new();
    let mut records: KeyRecords<&str> = KeyRecords::new(WINDOW);
    records.hold(&plain(1), clock.now());
    records.hold(&plain(2), clock.now());
    records.admit(&plain(1));
    clock.advance(WINDOW * 2);
    records.tick(clock.now());
    expect_that!(records.admit(&plain(1)), eq(&Action::Wait));
    expect_that!(records.admit(&plain(2)), eq(&Action::NotHeld));
}

/// One step of the simulated system.
#[derive(Debug, Clone)]
enum Step {
    /// A request with a key arrives at a node, which appends a claim to the log; the log's answer may be lost.
    Arrive { node: usize, key: u64 },
    /// A node reads the log to its end and starts the waiting keys whose claim it won.
    Read { node: usize },
    /// A run ends.
    End { node: usize, key: u64, outcome: u8 },
    /// A node is killed and restarts with empty state.
    Restart { node: usize },
    /// A request with a key is sent to its holder according to the log.
    Resend { key: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..3, 0_u64..3).prop_map(|(node, key)| Step::Arrive { node, key }),
        4 => (0_usize..3).prop_map(|node| Step::Read { node }),
        3 => (0_usize..3, 0_u64..3, 0_u8..4).prop_map(|(node, key, outcome)| Step::End { node, key, outcome }),
        1 => (0_usize..3).prop_map(|node| Step::Restart { node }),
        2 => (0_u64..3).prop_map(|key| Step::Resend { key }),
    ]
}

struct Node {
    holder: Holder,
    records: KeyRecords<u32>,
    claims: Claims,
    log_position: usize,
    waiting: Vec<u64>,
}

impl Node {
    fn new(index: u64, incarnation: u64) -> Self {
        Self {
            holder: holder(index, incarnation),
            records: KeyRecords::new(WINDOW),
            claims: Claims::new(),
            log_position: 0,
            waiting: Vec::new(),
        }
    }
}

/// Number of runs that started and may have had an effect, by key.
type Runs = HashMap<u64, u32>;

fn try_run(node: &mut Node, key: u64, runs: &mut Runs, now: std::time::Instant) {
    if node.claims.holder(&format!("k{key}")) == Some(&node.holder) {
        node.records.hold(&plain(key), now);
        if node.records.admit(&plain(key)) == Action::Run {
            *runs.entry(key).or_default() += 1;
        }
    }
}

/// Simulates steps; `await_claim` is whether a node reads its claim back from the log before it runs a key.
fn simulate(steps: &[Step], await_claim: bool) -> Runs {
    let now = ManualClock::new().now();
    let mut nodes: Vec<Node> = (0..3).map(|index| Node::new(index, 1)).collect();
    let (mut log, mut runs): (Vec<Claim>, Runs) = (Vec::new(), HashMap::new());
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Arrive { node, key } => {
                let node = &mut nodes[*node];
                log.push(Claim {
                    holder: node.holder.clone(),
                    batch: number as u64,
                    keys: vec![format!("k{key}")],
                });
                node.waiting.push(*key);
                if !await_claim {
                    node.records.hold(&plain(*key), now);
                    if node.records.admit(&plain(*key)) == Action::Run {
                        *runs.entry(*key).or_default() += 1;
                    }
                }
            }
            Step::Read { node } if await_claim => {
                let node = &mut nodes[*node];
                log[node.log_position..].iter().for_each(|claim| node.claims.apply(claim));
                node.log_position = log.len();
                for key in std::mem::take(&mut node.waiting) {
                    try_run(node, key, &mut runs, now);
                }
            }
            Step::Read { .. } => {}
            Step::End { node, key, outcome } => {
                let node = &mut nodes[*node];
                match node.records.admit(&plain(*key)) {
                    Action::Wait => {}
                    Action::Run => {
                        node.records.finish(&plain(*key), Outcome::NotRun, now);
                        continue;
                    }
                    _ => continue,
                }
                let outcome =
                    [Outcome::NotRun, Outcome::Answered(1), Outcome::Ran, Outcome::Unknown]
                        [usize::from(*outcome)]
                    .clone();
                if outcome == Outcome::NotRun {
                    *runs.get_mut(key).unwrap() -= 1;
                }
                node.records.finish(&plain(*key), outcome, now);
            }
            Step::Restart { node } => {
                let incarnation = nodes[*node].holder.incarnation.0 + 1;
                nodes[*node] = Node::new(*node as u64, incarnation);
            }
            Step::Resend { key } => {
                for node in nodes.iter_mut() {
                    try_run(node, *key, &mut runs, now);
                }
            }
        }
    }
    runs
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5_000, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 0..60)) {
        let runs = simulate(&steps, true);
        prop_assert!(runs.values().all(|runs| *runs <= 1), "{:?}", runs);
    }
}

/// A node that runs a key before it has read its claim back may run one that another node claimed first.
#[gtest]
fn without_reading_the_claim_back_a_key_runs_twice() {
    let steps = [Step::Arrive { node: 0, key: 1 }, Step::Arrive { node: 1, key: 1 }];
    expect_that!(simulate(&steps, false)[&1], eq(2));
    expect_that!(simulate(&steps, true).get(&1), none());
}
