//! What log lines of instances say about one request, or about everything by cause.
//!
//! A line may have anything before its JSON object, such as a time and the name of an instance.

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

/// Fields that are told first or not at all.
const KNOWN: [&str; 5] = ["at", "level", "event", "text", "request"];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// What stood before the object: where the line comes from.
    pub source: String,
    /// Its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` if it holds no object.
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

    /// The line as one step of a request's way, `begun` being the time of the first one.
    pub fn step(&self, begun: i64) -> String {
        let rest = self.fields.iter().filter(|(n, _)| !KNOWN.contains(&n.as_str()));
        let rest: Vec<String> = rest.map(|(n, v)| format!("{n}={}", bare(v))).collect();
        let (event, text) = (self.text("event"), self.text("text"));
        format!(
            "{:>6} ms  {}  {event}: {text} ({})",
            self.at() - begun,
            self.source,
            rest.join(", ")
        )
    }
}

fn bare(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Lines that concern `request`, in the order of their times.
pub fn of_request(lines: impl IntoIterator<Item = Line>, request: &str) -> Vec<Line> {
    let mut out: Vec<Line> = lines.into_iter().filter(|l| l.text("request") == request).collect();
    out.sort_by_key(Line::at);
    out
}

/// Number of lines by event and cause, most first.
pub fn by_cause(lines: impl IntoIterator<Item = Line>) -> Vec<(String, u64)> {
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

/// Reads `files`, `-` for standard input, and prints what they say of `request`, or all causes.
///
/// Errors: a file cannot be read.
pub fn run(request: Option<&str>, files: &[impl AsRef<Path>]) -> Result<ExitCode> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file.as_ref())?);
    }
    let Some(request) = request else {
        by_cause(lines).iter().for_each(|(name, n)| println!("{n:>8}  {name}"));
        return Ok(ExitCode::SUCCESS);
    };
    let found = of_request(lines, request);
    let Some(first) = found.first().map(Line::at) else {
        eprintln!("no line concerns request {request}");
        return Ok(ExitCode::FAILURE);
    };
    found.iter().for_each(|line| println!("{}", line.step(first)));
    Ok(ExitCode::SUCCESS)
}

fn read(file: &Path) -> Result<Vec<Line>> {
    let text = || format!("reading the log {}", file.display());
    let lines: Box<dyn BufRead> = match file.to_str() {
        Some("-") => Box::new(stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file).wrap_err_with(text)?)),
    };
    let mut out = Vec::new();
    for line in lines.split(b'\n') {
        let line = line.wrap_err_with(text)?;
        out.extend(Line::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(out)
}
