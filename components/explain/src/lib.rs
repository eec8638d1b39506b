//! What became of a request and why, put together from the log lines of several nodes.
//!
//! The lines of the request give the decisions; the lines before them in the same logs give what each node believed
//! when it decided.

mod cause;
mod line;

pub use line::{Event, Line, parse};

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Story {
    /// Its lines and those that tell what was believed, in the order of their time of day.
    pub steps: Vec<Line>,
    /// Why it ended as it did, one sentence each.
    pub causes: Vec<String>,
}

/// Tells the story of the request with this id; none if no line speaks of it.
pub fn story(lines: &[Line], id: &str) -> Option<Story> {
    let mut own: Vec<&Line> = lines.iter().filter(|line| line.event.id() == Some(id)).collect();
    if own.is_empty() {
        return None;
    }
    own.sort_by_key(|line| order(line));
    let mut told = cause::Told::default();
    for line in &own {
        cause::tell(lines, line, &mut told);
    }
    let mut steps: Vec<Line> = own.into_iter().cloned().chain(told.beliefs).collect();
    steps.sort_by_key(order);
    steps.dedup();
    Some(Story { steps, causes: told.causes })
}

/// Guards decide before the entry does, also where both did in the same millisecond.
fn order(line: &Line) -> (u64, bool) {
    let ends =
        matches!(line.event, Event::Refused { .. } | Event::Failed { .. } | Event::Unrouted { .. });
    (line.at, ends)
}
