//! Rate limits that upstreams announce in their answers.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::notice::{Notice, ReceivedNotice};
use mesh::decide::queue::{Decision, Queue, SlotRequest};
use mesh::decide::rate_limit::{Announced, Answer, RateLimit};
use units::Rate;

const MS: Duration = Duration::from_millis(1);
/// Requests per second that the slots allow in these tests.
const CAPACITY: f64 = 100.0;

/// The rate in use.
fn rate(state: &RateLimit, now: Instant) -> Option<Rate> {
    state.rate_and_tokens(now).map(|(rate, _)| rate)
}

fn answer(announced: Announced, sent_at: Instant) -> Answer {
    Answer { announced, sent_at, ran: true }
}

fn limit(rate: f64) -> Announced {
    Announced::Limit(Rate(rate))
}

/// A limit announced at `now` by an answer to a request sent just before.
fn limited(rate: f64, now: Instant) -> RateLimit {
    let mut state = RateLimit::default();
    state.record_answer(answer(limit(rate), now - MS), CAPACITY, now);
    state
}

/// Times at which requests are sent in `duration` if there always is one to send.
fn sends(state: &mut RateLimit, start: Instant, duration: Duration) -> Vec<Instant> {
    let steps = (0..duration.as_millis() as u32).map(|step| start + step * MS);
    steps.filter(|at| state.try_take(*at)).collect()
}

/// Guards against an upstream getting more than half as much again as it announced, and five requests, in 4 s.
#[gtest]
fn no_window_has_more_requests_than_the_rule_allows() {
    const WINDOW: Duration = Duration::from_secs(4);
    let start = Instant::now();
    for rate in [0.0, 0.1, 0.25, 0.5, 1.0, 3.0, 13.2, 60.0] {
        let sent = sends(&mut limited(rate, start), start, Duration::from_secs(20));
        for from in &sent {
            let count = sent.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
            expect_that!(count as f64, le(rate * 4.0 * 1.5 + 5.0), "at {rate} a second");
        }
        expect_that!(sent.len() as f64, ge(rate * 20.0 * 0.95 - 1.0), "at {rate} a second");
    }
}

/// Guards against a limit of zero that never ends because no request is sent whose answer could tell.
#[gtest]
fn a_limit_of_zero_lets_a_request_through_every_few_seconds() {
    let start = Instant::now();
    let sent = sends(&mut limited(0.0, start), start, Duration::from_secs(20));
    expect_that!(sent.len(), all!(ge(5), le(10)));
}

/// Guards against answers that were overtaken: only a request that was sent after the limit was known tells its end.
#[gtest]
fn an_answer_to_an_earlier_request_does_not_raise_or_end_the_limit() {
    let start = Instant::now();
    let mut state = limited(10.0, start);
    for announced in [Announced::Unlimited, limit(50.0)] {
        state.record_answer(answer(announced, start - 300 * MS), CAPACITY, start + 5 * MS);
        expect_that!(rate(&state, start), some(eq(Rate(10.0))));
    }
    state.record_answer(answer(limit(4.0), start - 300 * MS), CAPACITY, start + 10 * MS);
    expect_that!(state.announced(), some(eq(Rate(4.0))), "a lower limit counts at once");
    state.record_answer(answer(limit(6.0), start + 11 * MS), CAPACITY, start + 50 * MS);
    expect_that!(state.announced(), some(eq(Rate(6.0))));
}

/// Guards against all nodes sending at full rate as soon as one answer lacks the limit.
#[gtest]
fn a_single_answer_without_the_limit_does_not_end_it() {
    let start = Instant::now();
    let mut state = limited(10.0, start);
    let later = start + 200 * MS;
    state.record_answer(answer(Announced::Unlimited, later), CAPACITY, later + 100 * MS);
    expect_that!(state.announced(), some(eq(Rate(10.0))));
    expect_that!(rate(&state, start), some(eq(Rate(20.0))));
    let refused = Answer { ran: false, ..answer(Announced::Unlimited, later + 200 * MS) };
    state.record_answer(refused, CAPACITY, later + 200 * MS);
    expect_that!(rate(&state, start), some(eq(Rate(20.0))));
    state.record_answer(answer(limit(10.0), later), CAPACITY, later + 250 * MS);
    expect_that!(rate(&state, start), some(eq(Rate(10.0))));
}

#[gtest]
fn the_limit_ends_after_some_answers_without_it() {
    let start = Instant::now();
    for rate in [0.0, 1.0, 10.0] {
        let mut state = limited(rate, start);
        let mut now = start;
        while state.announced().is_some() {
            let wait = state.wait(1.0, now);
            now += wait + 100 * MS;
            state.try_take(now);
            state.record_answer(answer(Announced::Unlimited, now - 50 * MS), CAPACITY, now);
        }
        expect_that!(now - start, le(Duration::from_secs(5)), "from {rate} a second");
    }
}

#[gtest]
fn an_invalid_value_changes_nothing() {
    let start = Instant::now();
    let mut state = limited(10.0, start);
    state.record_answer(answer(Announced::Invalid, start + MS), CAPACITY, start + 2 * MS);
    expect_that!(rate(&state, start), some(eq(Rate(10.0))));
    let mut unknown = RateLimit::default();
    unknown.record_answer(answer(Announced::Invalid, start), CAPACITY, start);
    expect_that!(unknown.announced(), none());
    expect_that!(unknown.usable_slots(40), eq(40));
}

fn request(priority: u8, now: Instant) -> SlotRequest {
    SlotRequest { priority, target_time: now, deadline: now + 2_000 * MS, max_wait: 1_000 * MS }
}

/// Guards against a node that was killed sending all it has before the first answer repeats the limit.
#[gtest]
fn until_the_first_answer_only_some_slots_are_used() {
    let now = Instant::now();
    let mut queue: Queue<u32> = Queue::new();
    queue.set_slots(40);
    let decisions = (0..20).map(|number| queue.acquire(request(0, now), now, || number));
    let running = decisions.filter(|decision| *decision == Decision::Run).count();
    expect_that!(running, eq(9), "a quarter of 38");
    queue.record_answer(answer(Announced::Unlimited, now), now + MS);
    let granted = std::iter::from_fn(|| queue.grant_next(now + MS)).count();
    expect_that!(granted, eq(11));
}

/// Guards against urgent requests being refused for a limit while less urgent ones are sent.
#[gtest]
fn a_rate_limit_serves_urgent_requests_first() {
    let now = Instant::now();
    let mut queue = Queue::new();
    queue.set_slots(40);
    queue.record_answer(answer(limit(10.0), now), now);
    for priority in [2, 0, 1] {
        let decision = queue.acquire(request(priority, now), now, || priority);
        expect_that!(decision, matches_pattern!(Decision::Wait(_)));
    }
    let hasty = SlotRequest { max_wait: 150 * MS, ..request(2, now) };
    let refused = Decision::Refuse { wait: 400 * MS, rate_limited: true };
    expect_that!(queue.acquire(hasty, now, || 9), eq(refused));
    expect_that!(queue.grant_next(now + 50 * MS), none());
    let order: Vec<_> =
        (1..=3).map(|number| queue.grant_next(now + number * 100 * MS + MS)).collect();
    expect_that!(order, eq(&vec![Some(0), Some(1), Some(2)]));
}

/// Guards against nodes that misread what another tells of its upstream.
#[gtest]
fn a_notice_reads_as_it_was_written_and_ages() {
    let now = Instant::now();
    let leaving = Some(Duration::from_millis(1_200));
    for (rate_limit, leaving) in
        [(None, leaving), (Some(Rate(0.25)), None), (Some(Rate(0.0)), leaving)]
    {
        let notice = Notice { incarnation: u64::MAX, rate_limit, leaving };
        expect_that!(notice.to_string().parse::<Notice>(), ok(eq(&notice)));
        let aged = ReceivedNotice::new(notice, now).aged(now + 300 * MS);
        expect_that!(aged.leaving, eq(leaving.map(|age| age + 300 * MS)));
        expect_that!(aged.rate_limit, eq(rate_limit));
    }
    for text in ["", "1", "x;", "1;-1", "1;NaN", "1;2;x", "1;2;3;4"] {
        expect_that!(text.parse::<Notice>(), err(anything()), "{text}");
    }
}

/// Guards against a node that is not used although its tokens have returned, as it reports those of its last request.
#[gtest]
fn reported_tokens_are_those_of_now() {
    let now = Instant::now();
    let mut queue: Queue<u32> = Queue::new();
    queue.set_slots(40);
    queue.record_answer(answer(limit(10.0), now), now);
    expect_that!(queue.load(now).tokens, near(0.0, 1e-9));
    expect_that!(queue.load(now + 300 * MS).tokens, near(3.0, 1e-9));
    expect_that!(queue.load(now + 5_000 * MS).tokens, near(5.0, 1e-9));
}
