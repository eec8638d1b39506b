//! Text report of an experiment, 40 columns wide.

use std::fmt::Write;

use crate::outcome::Summary;

/// Formats the report of an experiment.
pub fn report(summaries: &[Summary]) -> String {
    let mut out = String::new();
    for summary in summaries {
        // Writing to a string can't fail.
        let _ = write_mix(&mut out, summary);
    }
    out
}

fn write_mix(out: &mut String, summary: &Summary) -> std::fmt::Result {
    let share = 100.0 * summary.succeeded as f64 / summary.requests.max(1) as f64;
    writeln!(out, "{:.40}", summary.name)?;
    writeln!(out, "  whole    {:>8} of {:>8} {share:>5.1}%", summary.succeeded, summary.requests)?;
    if summary.sent > summary.requests {
        writeln!(out, "  sent     {:>8} times", summary.sent)?;
    }
    let [p50, _, p99, max] = summary.latency_us.map(|micros| micros as f64 / 1e3);
    writeln!(out, "  ms p50 {p50:.1}  p99 {p99:.1}  max {max:.0}")?;
    if summary.mismatched > 0 {
        writeln!(out, "  CROSSED  {:>8} answers", summary.mismatched)?;
    }
    for (reason, count) in &summary.failed {
        writeln!(out, "  {reason:<18.18} {count:>8}")?;
    }
    Ok(())
}
