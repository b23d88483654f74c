//! Compact serialization of rows: each name is stored once, and rows refer to names by index.
//!
//! Used through `#[serde(with = "crate::pack")]`.

use {
    crate::figures::{Figures, Row, RowKey, Window},
    indexmap::IndexSet,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
    std::sync::Arc,
};

#[derive(Serialize, Deserialize)]
struct Packed {
    names: Vec<Arc<str>>,
    rows: Vec<PackedRow>,
}

#[derive(Serialize, Deserialize)]
struct PackedRow {
    window: Window,
    org: u32,
    model: u32,
    figures: Figures,
}

/// Serializes rows in compact form.
pub fn serialize<S: Serializer>(rows: &[Row], s: S) -> Result<S::Ok, S::Error> {
    let mut names: IndexSet<Arc<str>> = IndexSet::new();
    let mut index = |name: &Arc<str>| names.insert_full(name.clone()).0 as u32;
    let rows = rows.iter().map(|r| PackedRow {
        window: r.key.window,
        org: index(&r.key.org),
        model: index(&r.key.model),
        figures: r.figures,
    });
    let rows = rows.collect();
    Packed { names: names.into_iter().collect(), rows }.serialize(s)
}

/// Deserializes rows.
///
/// # Errors
///
/// Fails if an index has no name.
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<Row>, D::Error> {
    let Packed { names, rows } = Packed::deserialize(d)?;
    let name = |i: u32| {
        names.get(i as usize).cloned().ok_or_else(|| D::Error::custom("name index out of range"))
    };
    let unpack = |r: PackedRow| {
        let key = RowKey { window: r.window, org: name(r.org)?, model: name(r.model)? };
        Ok(Row { key, figures: r.figures })
    };
    rows.into_iter().map(unpack).collect()
}
