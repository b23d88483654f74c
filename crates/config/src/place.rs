//! Lines and columns of a document's entries.
//!
//! The verifier names an entry by its path of keys; operators look for a line. The text is read a
//! second time, only when there are faults, into an index from path to position.

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

/// Reads and verifies a document; each fault names its line and column where they are known.
pub fn check(text: &str) -> Result<Document, Vec<Problem>> {
    let doc = parse(text)?;
    let mut faults = verify(&doc);
    if faults.is_empty() {
        return Ok(doc);
    }
    let places = places(text);
    for fault in &mut faults {
        if let Some((line, column)) = find(&places, &fault.place) {
            fault.place = format!("line {line}, column {column}, {}", fault.place);
        }
    }
    Err(faults)
}

/// Line and column by path.
type Places = IndexMap<String, (u64, u64)>;

/// Position of the entry at `path`, or of the nearest one that encloses it.
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
        // The text was read before, so this is a fault here; the faults go without lines.
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

/// Shape of a document with the positions of keys and items.
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
