//! Explains the outcome of a request by correlating the log lines of several nodes.
//!
//! The lines of the request itself record the decisions; earlier lines in the same logs record the state that each
//! node had when it decided.

mod cause;
mod line;

pub use line::{Event, Line, parse};

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Lines of the request and of the node state behind its decisions, ordered by time.
    pub timeline: Vec<Line>,
    /// Causes of the outcome, one sentence each.
    pub causes: Vec<String>,
}

/// Explains the request with this id; `None` if no line mentions it.
pub fn explain(lines: &[Line], id: &str) -> Option<Explanation> {
    let mut own: Vec<&Line> =
        lines.iter().filter(|line| line.event.request_id() == Some(id)).collect();
    if own.is_empty() {
        return None;
    }
    own.sort_by_key(|line| sort_key(line));
    let mut findings = cause::Findings::default();
    for line in &own {
        cause::analyze(lines, line, &mut findings);
    }
    let mut timeline: Vec<Line> = own.into_iter().cloned().chain(findings.evidence).collect();
    timeline.sort_by_key(sort_key);
    timeline.dedup();
    Some(Explanation { timeline, causes: findings.causes })
}

/// Sort key: time; within a millisecond, the final line of the entry node follows those of the upstreams' nodes.
fn sort_key(line: &Line) -> (u64, bool) {
    let is_final =
        matches!(line.event, Event::Refused { .. } | Event::Failed { .. } | Event::Unrouted { .. });
    (line.at_ms, is_final)
}
