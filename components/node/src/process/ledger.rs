//! What became of the calls of the last hour, rule by rule, for the report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rules::CallRule;
use serde::Serialize;
use verdict::Reason;

const MINUTE: u64 = 60;
const KEPT: u64 = 60;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Answered,
    /// With an upstream's error.
    Failed,
    /// With a refusal.
    Refused(Reason),
}

/// Counts of one rule.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// Who asked for the rule.
    pub asker: String,
    /// Class that the rule gives.
    pub class: String,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that ended with an upstream's error.
    pub failed: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Seconds since the epoch of the first and the last refusal.
    pub between: Option<(u64, u64)>,
}

#[derive(Debug, Clone, Default)]
struct Minute {
    number: u64,
    rows: BTreeMap<String, Row>,
}

/// The last hour by the minute.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    minutes: VecDeque<Minute>,
}

impl Ledger {
    /// Counts the end of a call; `wall` is the time of day since the epoch.
    pub fn count(&mut self, rule: &CallRule, ended: Ended, wall: Duration) {
        let number = wall.as_secs() / MINUTE;
        self.forget(number);
        if self.minutes.back().is_none_or(|minute| minute.number != number) {
            self.minutes.push_back(Minute { number, ..Minute::default() });
        }
        let Some(minute) = self.minutes.back_mut() else { return };
        let row = minute.rows.entry(name(rule)).or_insert_with(|| Row {
            asker: rule.asker.clone(),
            class: rule.class.to_string(),
            ..Row::default()
        });
        row.count(ended, wall.as_secs());
    }

    /// Counts of the last hour.
    pub fn rows(&self, wall: Duration) -> BTreeMap<String, Row> {
        let oldest = (wall.as_secs() / MINUTE).saturating_sub(KEPT);
        let mut all: BTreeMap<String, Row> = BTreeMap::new();
        for minute in self.minutes.iter().filter(|minute| minute.number > oldest) {
            for (name, row) in &minute.rows {
                all.entry(name.clone()).or_default().add(row);
            }
        }
        all
    }

    fn forget(&mut self, number: u64) {
        while self.minutes.front().is_some_and(|minute| minute.number + KEPT <= number) {
            self.minutes.pop_front();
        }
    }
}

impl Row {
    /// Refusals of all reasons.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    fn count(&mut self, ended: Ended, at: u64) {
        match ended {
            Ended::Answered => self.answered += 1,
            Ended::Failed => self.failed += 1,
            Ended::Refused(reason) => {
                *self.refused.entry(reason.as_str()).or_default() += 1;
                let first = self.between.map_or(at, |(first, _)| first);
                self.between = Some((first, at));
            }
        }
    }

    fn add(&mut self, other: &Self) {
        self.asker.clone_from(&other.asker);
        self.class.clone_from(&other.class);
        self.answered += other.answered;
        self.failed += other.failed;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason).or_default() += count;
        }
        self.between = match (self.between, other.between) {
            (Some((first, _)), Some((_, last))) => Some((first, last)),
            (one, other) => one.or(other),
        };
    }
}

/// Name of a rule in reports.
pub fn name(rule: &CallRule) -> String {
    format!("{} {}", rule.method.as_ref().map_or("*", |method| method.as_str()), rule.path)
}
