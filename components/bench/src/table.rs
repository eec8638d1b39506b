//! Markdown tables on standard output.

/// Prints the title and the header of a table.
pub fn header(title: &str, columns: &[&str]) {
    println!("\n### {title}\n");
    row(columns);
    row(&vec!["---"; columns.len()]);
}

/// Prints a row.
pub fn row(cells: &[impl AsRef<str>]) {
    let cells: Vec<&str> = cells.iter().map(AsRef::as_ref).collect();
    println!("| {} |", cells.join(" | "));
}

/// Says whether a bound is met.
pub fn met_or_missed(met: bool) -> String {
    if met { "met" } else { "MISSED" }.to_owned()
}

/// Formats a share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
