//! Lines and columns of a document's entries.
//!
//! The verifier names an entry by its path of keys, but operators look for a line. If there are
//! problems, the text is parsed a second time into an index from path to position.

use {
    crate::{
        doc::Document,
        parse::{Problem, options, parse},
        verify::verify,
    },
    indexmap::IndexMap,
    serde::{
        Deserialize, Deserializer,
        de::{MapAccess, SeqAccess, Visitor},
    },
    serde_saphyr::{Location, Spanned},
    std::fmt,
};

/// Parses and verifies a document.
///
/// # Errors
///
/// All problems found. Each names its line and column if they are known.
pub fn check(text: &str) -> Result<Document, Vec<Problem>> {
    let doc = parse(text)?;
    let mut problems = verify(&doc);
    if problems.is_empty() {
        return Ok(doc);
    }
    let places = places(text);
    for problem in &mut problems {
        if let Some((line, column)) = find(&places, &problem.place) {
            problem.place = format!("line {line}, column {column}, {}", problem.place);
        }
    }
    Err(problems)
}

/// Line and column by path of keys.
type Places = IndexMap<String, (u64, u64)>;

/// Returns the position of the entry at `path`, or of the nearest enclosing entry.
fn find(places: &Places, path: &str) -> Option<(u64, u64)> {
    let mut path = path;
    loop {
        if let Some(place) = places.get(path) {
            return Some(*place);
        }
        path = &path[..path.rfind(['.', '['])?];
    }
}

fn places(text: &str) -> Places {
    let mut out = Places::new();
    match serde_saphyr::from_str_with_options(text, options()) {
        Ok(tree) => walk(&tree, "", &mut out),
        // The text was parsed before, so this is a bug here. The problems are reported without
        // lines.
        Err(e) => log::debug!("no index of the document's lines: {e}"),
    }
    out
}

fn walk(tree: &Tree, path: &str, out: &mut Places) {
    match tree {
        Tree::Leaf => {}
        Tree::Map(entries) => {
            for (key, value) in entries {
                let dot = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{dot}{}", key.value);
                out.insert(path.clone(), position(key.referenced));
                walk(value, &path, out);
            }
        }
        Tree::List(items) => {
            for (i, item) in items.iter().enumerate() {
                let path = format!("{path}[{i}]");
                out.insert(path.clone(), position(item.referenced));
                walk(&item.value, &path, out);
            }
        }
    }
}

fn position(at: Location) -> (u64, u64) {
    (at.line(), at.column())
}

/// Structure of a document with the positions of its keys and items.
enum Tree {
    Leaf,
    Map(Vec<(Spanned<String>, Tree)>),
    List(Vec<Spanned<Tree>>),
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML node")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Tree::Map(entries))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Tree::List(items))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_str<E>(self, _: &str) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }
}
