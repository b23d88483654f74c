//! Parsing of the document from YAML.
//!
//! The input is limited in bytes, nodes and nesting before any value is built, so a malicious or
//! damaged text costs a bounded amount of memory. Unknown and duplicate keys are refused.

use {crate::doc::Document, std::fmt};

/// Maximum size of a text, in bytes.
pub const MAX_TEXT: usize = 32 << 20;
/// Maximum number of YAML nodes in one text.
const MAX_NODES: usize = 4_000_000;
/// Maximum nesting depth of one text.
const MAX_DEPTH: usize = 32;

/// One problem of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Location of the problem: line and column if known, and the path of keys.
    pub place: String,
    /// Description of the problem.
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

/// Parses a document. Its cross-references are not checked.
///
/// # Errors
///
/// The problem, if the text is too large, is not valid YAML, or does not match the schema.
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
