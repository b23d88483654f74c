//! Markdown tables for results.

use std::{fmt, time::Duration};

/// Formats a duration in seconds, with two decimals.
pub fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

/// Formats a duration in milliseconds, with one decimal.
pub fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}

/// Formats a fraction as a percentage, with one decimal.
pub fn percent(fraction: f64) -> String {
    format!("{:.1}%", fraction * 100.0)
}

/// Table with a title; its `Display` form is Markdown.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    head: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table without rows; `head` are the column titles.
    pub fn new(title: impl Into<String>, head: &[&'static str]) -> Self {
        Self { title: title.into(), head: head.to_vec(), rows: Vec::new() }
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// If the number of cells is not that of the column titles.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        let cells: Vec<_> = cells.into_iter().collect();
        assert_eq!(cells.len(), self.head.len(), "a row must have a cell for each column");
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### {}\n\n| {} |", self.title, self.head.join(" | "))?;
        writeln!(f, "|{}", " --- |".repeat(self.head.len()))?;
        for row in &self.rows {
            writeln!(f, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}
