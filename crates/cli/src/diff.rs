//! Compares two documents, flattened to one line per value.

use {agate_config::Document, indexmap::IndexMap, serde_json::Value};

/// Returns one line for each value that differs: `-` for the old one and `+` for the new one,
/// sorted by path.
pub fn lines(old: &Document, new: &Document) -> Vec<String> {
    let (old, new) = (flatten(old), flatten(new));
    let mut out = Vec::new();
    for (path, value) in &old {
        if new.get(path) != Some(value) {
            out.push(format!("- {path}: {value}"));
        }
    }
    for (path, value) in &new {
        if old.get(path) != Some(value) {
            out.push(format!("+ {path}: {value}"));
        }
    }
    // Keeps both lines of a value together, the old one first.
    out.sort_by(|a, b| (a[2..].split(':').next(), b).cmp(&(b[2..].split(':').next(), a)));
    out
}

fn flatten(document: &Document) -> IndexMap<String, String> {
    let value = serde_json::to_value(document).expect("documents serialise");
    let mut out = IndexMap::new();
    walk("", &value, &mut out);
    out
}

fn walk(path: &str, value: &Value, out: &mut IndexMap<String, String>) {
    let join =
        |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| walk(&join(k), v, out)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            list.iter().enumerate().for_each(|(i, v)| walk(&join(&i.to_string()), v, out));
        }
        other => {
            out.insert(path.to_owned(), other.to_string());
        }
    }
}
