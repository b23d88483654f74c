//! Markdown tables of results.

use std::{fmt, time::Duration};

/// Formats a duration in seconds.
pub fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

/// Formats a duration in milliseconds.
pub fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}

/// Formats a share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Table of results.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    head: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table without rows.
    pub fn new(title: impl Into<String>, head: &[&'static str]) -> Self {
        Self { title: title.into(), head: head.to_vec(), rows: Vec::new() }
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// Panics if the row is not as long as the head.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        let cells: Vec<_> = cells.into_iter().collect();
        assert_eq!(cells.len(), self.head.len(), "a row fills the columns");
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
