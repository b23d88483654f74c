//! Reading the document from YAML.
//!
//! Input is bounded in bytes, nodes and nesting before a value is built, so a hostile or damaged
//! text costs a bounded amount of memory. Unknown and duplicate keys are refused.

use {crate::doc::Document, std::fmt};

/// Largest text that is read, in bytes.
pub const MAX_TEXT: usize = 32 << 20;
/// Most YAML nodes in one text.
const MAX_NODES: usize = 4_000_000;
/// Deepest nesting in one text.
const MAX_DEPTH: usize = 32;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Where the fault is: line and column if known, and the path of keys.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl Problem {
    pub(crate) fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self { place: place.into(), message: message.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// Reads a document; its cross references are not checked.
pub fn parse(text: &str) -> Result<Document, Vec<Problem>> {
    if text.len() > MAX_TEXT {
        let message = format!("{} bytes, at most {MAX_TEXT} are read", text.len());
        return Err(vec![Problem::new("document", message)]);
    }
    serde_saphyr::from_str_with_options(text, options()).map_err(|e| vec![problem(&e)])
}

pub(crate) fn options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: MAX_NODES,
            max_events: 2 * MAX_NODES,
            max_depth: MAX_DEPTH,
            max_documents: 1,
        },
        emit_comments: false,
        strict_booleans: true,
        with_snippet: false,
    }
}

fn problem(error: &serde_saphyr::Error) -> Problem {
    let place = match error.location() {
        Some(l) => format!("line {}, column {}", l.line(), l.column()),
        None => "document".into(),
    };
    Problem::new(place, error.without_snippet().to_string())
}
