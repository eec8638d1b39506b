//! The report: what the system did in the last hour, and why, in 40 columns or as one light page.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::ledger::Row;

/// Everything that a report tells.
pub struct Report {
    /// The node that tells.
    pub node: String,
    /// Version in force and who published it.
    pub version: String,
    /// Calls by rule.
    pub rows: BTreeMap<String, Row>,
    /// Requests in quarantine.
    pub quarantined: Vec<String>,
    /// Nodes whose upstream takes no new work, and nodes that are gone.
    pub leaving: Vec<String>,
    /// Failure domains whose nodes are not all at the version.
    pub lagging: Vec<String>,
    /// The log can't be read.
    pub unlogged: bool,
}

const WIDTH: usize = 40;
const DAY: u64 = 86_400;

impl Report {
    /// The lines of the report, none longer than 40 columns.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("{} last hour", self.node), format!("rules {}", self.version)];
        let shed: Vec<_> =
            self.rows.iter().filter(|(_, row)| row.refusals() > 0 || row.failed > 0).collect();
        if shed.is_empty() {
            lines.push("nothing was refused".to_owned());
        }
        for (name, row) in shed {
            lines.extend(refusals(name, row));
        }
        lines.extend(list("in quarantine", &self.quarantined));
        lines.extend(list("leaving or gone", &self.leaving));
        lines.extend(list("version lags in", &self.lagging));
        if self.unlogged {
            lines.push("the log can't be read: publishing waits".to_owned());
        }
        let quiet = self.rows.iter().filter(|(_, row)| row.refusals() == 0 && row.failed == 0);
        for (name, row) in quiet {
            lines.push(format!("{name:.24} {} ok", row.answered));
        }
        lines.iter().map(|line| line.chars().take(WIDTH).collect()).collect()
    }

    /// The report as a page that needs no scripts.
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

fn refusals(name: &str, row: &Row) -> Vec<String> {
    let all = row.answered + row.failed + row.refusals();
    let mut lines = vec![format!("{name} ({})", row.class)];
    lines.push(format!("  {} of {all} answered", row.answered));
    if row.failed > 0 {
        lines.push(format!("  {} failed further down", row.failed));
    }
    for (reason, count) in &row.refused {
        lines.push(format!("  {count} {reason}"));
    }
    if let Some((first, last)) = row.between {
        lines.push(format!("  from {} to {} UTC", clock(first), clock(last)));
    }
    lines.push(format!("  rule asked for by {}", row.asker));
    lines.extend(advice(row).map(|advice| format!("  -> {advice}")));
    lines
}

/// What an operator can do about the most frequent reason.
fn advice(row: &Row) -> Option<&'static str> {
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

fn list(title: &str, entries: &[String]) -> Vec<String> {
    if entries.is_empty() {
        return Vec::new();
    }
    let lines = entries.iter().map(|entry| format!("  {entry}"));
    std::iter::once(format!("{title}:")).chain(lines).collect()
}

fn clock(seconds: u64) -> String {
    let day = seconds % DAY;
    format!("{:02}:{:02}", day / 3_600, day / 60 % 60)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
