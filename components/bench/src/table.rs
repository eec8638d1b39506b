//! Tables in Markdown.

/// Prints the head of a table.
pub fn head(title: &str, columns: &[&str]) {
    println!("\n### {title}\n");
    row(columns);
    row(&vec!["---"; columns.len()]);
}

/// Prints a row.
pub fn row(cells: &[impl AsRef<str>]) {
    let cells: Vec<&str> = cells.iter().map(AsRef::as_ref).collect();
    println!("| {} |", cells.join(" | "));
}

/// `met` or `missed`.
pub fn verdict(met: bool) -> String {
    if met { "met" } else { "MISSED" }.to_owned()
}

/// A share in per cent.
pub fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
