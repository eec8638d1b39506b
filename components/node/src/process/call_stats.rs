//! Outcomes of the calls of the last hour by rule, for the report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rules::CallRule;
use serde::Serialize;
use verdict::Reason;

const MINUTE_SECS: u64 = 60;
const KEPT_MINUTES: u64 = 60;

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered.
    Answered,
    /// Answered with an upstream's error.
    Failed,
    /// Refused.
    Refused(Reason),
}

/// Call counts of one rule.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RuleCounts {
    /// Who requested the rule.
    #[serde(rename = "asker")]
    pub requester: String,
    /// Class set by the rule.
    pub class: String,
    /// Answered calls.
    pub answered: u64,
    /// Calls answered with an upstream's error.
    pub failed: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Times of the first and the last refusal, in seconds since the Unix epoch.
    #[serde(rename = "between")]
    pub refusal_times: Option<(u64, u64)>,
}

#[derive(Debug, Clone, Default)]
struct Minute {
    index: u64,
    rows: BTreeMap<String, RuleCounts>,
}

/// Call counts of the last hour, by minute.
#[derive(Debug, Clone, Default)]
pub struct CallStats {
    minutes: VecDeque<Minute>,
}

impl CallStats {
    /// Counts a call; `unix_time` is the time since the Unix epoch.
    pub fn count(&mut self, rule: &CallRule, outcome: CallOutcome, unix_time: Duration) {
        let index = unix_time.as_secs() / MINUTE_SECS;
        self.drop_old(index);
        if self.minutes.back().is_none_or(|minute| minute.index != index) {
            self.minutes.push_back(Minute { index, ..Minute::default() });
        }
        let Some(minute) = self.minutes.back_mut() else { return };
        let row = minute.rows.entry(rule_name(rule)).or_insert_with(|| RuleCounts {
            requester: rule.requester.clone(),
            class: rule.class.to_string(),
            ..RuleCounts::default()
        });
        row.count(outcome, unix_time.as_secs());
    }

    /// Call counts of the last hour by rule name.
    pub fn rows(&self, unix_time: Duration) -> BTreeMap<String, RuleCounts> {
        let oldest = (unix_time.as_secs() / MINUTE_SECS).saturating_sub(KEPT_MINUTES);
        let mut all: BTreeMap<String, RuleCounts> = BTreeMap::new();
        for minute in self.minutes.iter().filter(|minute| minute.index > oldest) {
            for (name, row) in &minute.rows {
                all.entry(name.clone()).or_default().merge(row);
            }
        }
        all
    }

    fn drop_old(&mut self, index: u64) {
        while self.minutes.front().is_some_and(|minute| minute.index + KEPT_MINUTES <= index) {
            self.minutes.pop_front();
        }
    }
}

impl RuleCounts {
    /// Number of refusals for any reason.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    fn count(&mut self, outcome: CallOutcome, at: u64) {
        match outcome {
            CallOutcome::Answered => self.answered += 1,
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::Refused(reason) => {
                *self.refused.entry(reason.as_str()).or_default() += 1;
                let first = self.refusal_times.map_or(at, |(first, _)| first);
                self.refusal_times = Some((first, at));
            }
        }
    }

    fn merge(&mut self, other: &Self) {
        self.requester.clone_from(&other.requester);
        self.class.clone_from(&other.class);
        self.answered += other.answered;
        self.failed += other.failed;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason).or_default() += count;
        }
        self.refusal_times = match (self.refusal_times, other.refusal_times) {
            (Some((first, _)), Some((_, last))) => Some((first, last)),
            (earlier, later) => earlier.or(later),
        };
    }
}

/// Name of a rule in reports and metrics.
pub fn rule_name(rule: &CallRule) -> String {
    format!("{} {}", rule.method.as_ref().map_or("*", |method| method.as_str()), rule.path)
}
