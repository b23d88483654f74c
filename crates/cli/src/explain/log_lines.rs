//! Reads instances' log lines and prints those of one request, or the number of lines by cause.
//!
//! Any text may precede the JSON object of a line, such as a time and the name of an instance.

use {
    eyre::{Result, WrapErr},
    indexmap::IndexMap,
    serde_json::{Map, Value},
    std::{
        fs::File,
        io::{BufRead, BufReader, stdin},
        path::Path,
        process::ExitCode,
    },
};

/// Fields that [`LogLine::format_step`] prints in a fixed place or omits; the rest follow as
/// `name=value`.
const STANDARD_FIELDS: [&str; 5] = ["at", "level", "event", "text", "request"];

/// One structured log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Text before the JSON object, which usually names the origin of the line.
    pub source: String,
    /// Fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it contains no JSON object.
    pub fn parse(text: &str) -> Option<Self> {
        let (source, object) = text.split_at(text.find('{')?);
        let fields = serde_json::from_str(object.trim_end()).ok()?;
        Some(Self { source: source.trim().to_owned(), fields })
    }

    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn at(&self) -> i64 {
        self.fields.get("at").and_then(Value::as_i64).unwrap_or_default()
    }

    /// Formats the line as one step of a request; `start` is the time of the first step, in
    /// milliseconds.
    pub fn format_step(&self, start: i64) -> String {
        let rest = self.fields.iter().filter(|(n, _)| !STANDARD_FIELDS.contains(&n.as_str()));
        let rest: Vec<String> = rest.map(|(n, v)| format!("{n}={}", bare_text(v))).collect();
        let (event, text) = (self.text("event"), self.text("text"));
        format!(
            "{:>6} ms  {}  {event}: {text} ({})",
            self.at() - start,
            self.source,
            rest.join(", ")
        )
    }
}

fn bare_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Returns the lines of `request`, sorted by time.
pub fn filter_request(lines: impl IntoIterator<Item = LogLine>, request: &str) -> Vec<LogLine> {
    let mut out: Vec<LogLine> =
        lines.into_iter().filter(|l| l.text("request") == request).collect();
    out.sort_by_key(LogLine::at);
    out
}

/// Counts lines by event and cause, most frequent first.
pub fn count_causes(lines: impl IntoIterator<Item = LogLine>) -> Vec<(String, u64)> {
    let mut counts: IndexMap<String, u64> = IndexMap::new();
    for line in lines {
        let (event, cause) = (line.text("event"), line.text("cause"));
        let name = if cause.is_empty() { event.to_owned() } else { format!("{event}: {cause}") };
        *counts.entry(name).or_default() += 1;
    }
    let mut out: Vec<(String, u64)> = counts.into_iter().collect();
    out.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    out
}

/// Reads `files`, `-` for standard input, and prints the lines of `request`, or the counts of all
/// causes without one. The exit code is a failure if no line matches.
///
/// Errors: a file cannot be read.
pub fn run(request: Option<&str>, files: &[impl AsRef<Path>]) -> Result<ExitCode> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file.as_ref())?);
    }
    let Some(request) = request else {
        count_causes(lines).iter().for_each(|(name, n)| println!("{n:>8}  {name}"));
        return Ok(ExitCode::SUCCESS);
    };
    let found = filter_request(lines, request);
    let Some(first) = found.first().map(LogLine::at) else {
        eprintln!("no log line for request {request}");
        return Ok(ExitCode::FAILURE);
    };
    found.iter().for_each(|line| println!("{}", line.format_step(first)));
    Ok(ExitCode::SUCCESS)
}

fn read(file: &Path) -> Result<Vec<LogLine>> {
    let text = || format!("reading the log {}", file.display());
    let lines: Box<dyn BufRead> = match file.to_str() {
        Some("-") => Box::new(stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file).wrap_err_with(text)?)),
    };
    let mut out = Vec::new();
    for line in lines.split(b'\n') {
        let line = line.wrap_err_with(text)?;
        out.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(out)
}
