//! Report on the last hour for operators: what was refused and why, as text of 40 columns or as an HTML page.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::call_stats::RuleCounts;

/// Content of a report.
pub struct Report {
    /// Reporting node.
    pub node: String,
    /// Version in force and its publisher.
    pub version: String,
    /// Call counts by rule.
    pub rows: BTreeMap<String, RuleCounts>,
    /// Requests in quarantine.
    pub quarantined: Vec<String>,
    /// Nodes whose upstream accepts no new work, and nodes that are gone.
    pub leaving: Vec<String>,
    /// Failure domains with nodes behind the version in force.
    pub lagging: Vec<String>,
    /// Whether the last read of the log failed.
    pub log_down: bool,
}

const LINE_COLUMNS: usize = 40;
const DAY_SECS: u64 = 86_400;

impl Report {
    /// Lines of the report, cut to 40 columns.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("{} last hour", self.node), format!("rules {}", self.version)];
        let failing: Vec<_> =
            self.rows.iter().filter(|(_, row)| row.refusals() > 0 || row.failed > 0).collect();
        if failing.is_empty() {
            lines.push("nothing was refused".to_owned());
        }
        for (name, row) in failing {
            lines.extend(rule_lines(name, row));
        }
        lines.extend(section("in quarantine", &self.quarantined));
        lines.extend(section("leaving or gone", &self.leaving));
        lines.extend(section("version lags in", &self.lagging));
        if self.log_down {
            lines.push("the log can't be read: publishing waits".to_owned());
        }
        let healthy = self.rows.iter().filter(|(_, row)| row.refusals() == 0 && row.failed == 0);
        for (name, row) in healthy {
            lines.push(format!("{name:.24} {} ok", row.answered));
        }
        lines.iter().map(|line| line.chars().take(LINE_COLUMNS).collect()).collect()
    }

    /// The report as an HTML page without scripts.
    pub fn page(&self) -> String {
        let mut body = String::new();
        for line in self.lines() {
            let tag = if line.starts_with(' ') { "p class=d" } else { "p" };
            // Writing to a string can't fail.
            let _ = writeln!(body, "<{tag}>{}</p>", escape(line.trim_start()));
        }
        format!(
            "<!doctype html><html lang=en><meta charset=utf-8>\
             <meta name=viewport content=\"width=device-width, initial-scale=1\"><title>almondknot</title>\
             <style>body{{font:16px sans-serif;margin:12px;max-width:40em}}p{{margin:4px 0;overflow-wrap:anywhere}}\
             .d{{margin-left:1em;color:#333}}</style>\n{body}</html>\n"
        )
    }
}

fn rule_lines(name: &str, row: &RuleCounts) -> Vec<String> {
    let all = row.answered + row.failed + row.refusals();
    let mut lines = vec![format!("{name} ({})", row.class)];
    lines.push(format!("  {} of {all} answered", row.answered));
    if row.failed > 0 {
        lines.push(format!("  {} failed further down", row.failed));
    }
    for (reason, count) in &row.refused {
        lines.push(format!("  {count} {reason}"));
    }
    if let Some((first, last)) = row.refusal_times {
        lines.push(format!("  from {} to {} UTC", time_of_day(first), time_of_day(last)));
    }
    lines.push(format!("  rule asked for by {}", row.requester));
    lines.extend(advice(row).map(|advice| format!("  -> {advice}")));
    lines
}

/// Suggested action against the most frequent reason of refusals.
fn advice(row: &RuleCounts) -> Option<&'static str> {
    let (reason, _) = row.refused.iter().max_by_key(|(_, count)| **count)?;
    Some(match *reason {
        "overloaded" | "shed-early" => "add upstreams, or lower its class",
        "no-upstream" | "unreachable" => "start its upstreams",
        "deadline" => "look for a slow upstream",
        "quarantined" => "mend what the request breaks",
        "log-unavailable" => "the log is down: use tickets",
        "too-large" => "raise `body`, if it is meant so",
        _ => return None,
    })
}

fn section(title: &str, entries: &[String]) -> Vec<String> {
    if entries.is_empty() {
        return Vec::new();
    }
    let lines = entries.iter().map(|entry| format!("  {entry}"));
    std::iter::once(format!("{title}:")).chain(lines).collect()
}

fn time_of_day(seconds: u64) -> String {
    let second_of_day = seconds % DAY_SECS;
    format!("{:02}:{:02}", second_of_day / 3_600, second_of_day / 60 % 60)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
