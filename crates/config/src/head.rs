//! The one record that names the configuration in force.
//!
//! The head lists the chunks of every section, so replacing it by compare-and-swap puts a whole
//! document in force at once and gives all changes one order. Each head names its parent, an
//! immutable copy under [`history_key`].

use {
    crate::{
        doc::{Document, SCHEMA},
        section::{self, ChunkId, Section},
    },
    agate_core::{Generation, Wall},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Version of the head record that this build reads and writes.
pub const VERSION: u32 = 1;
/// Key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Key of a chunk.
pub fn chunk_key(id: &str) -> String {
    format!("config/chunk/{id}")
}

/// Key of the immutable copy of a head that has been replaced.
pub fn history_key(generation: Generation) -> String {
    format!("config/history/{generation}")
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version of this record.
    pub version: u32,
    /// Number of the configuration.
    pub generation: Generation,
    /// Chunks of each section, in order.
    pub chunks: IndexMap<Section, Vec<ChunkId>>,
    /// Who applied it.
    pub author: String,
    /// Key of the head that it replaced.
    pub parent: Option<String>,
    /// Identity of the apply, unique to it.
    pub token: String,
    /// When it was applied.
    pub time: Wall,
    /// Why it was applied.
    pub comment: String,
}

/// A record that was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRecord {
    /// The record was written by a build with another format.
    #[error("record {key}: version {version} is unknown, expected {VERSION}")]
    Version {
        /// Key of the record.
        key: String,
        /// Version found.
        version: u32,
    },
    /// The record is damaged.
    #[error("record {key}: {cause}")]
    Corrupt {
        /// Key of the record.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// A record that the head refers to is absent.
    #[error("record {key} is absent")]
    Absent {
        /// Key of the record.
        key: String,
    },
}

impl BadRecord {
    fn corrupt(key: impl Into<String>, cause: impl ToString) -> Self {
        Self::Corrupt { key: key.into(), cause: cause.to_string() }
    }
}

impl Head {
    /// Decodes a head that was read from `key`.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Head, BadRecord> {
        /// The one field that every version has.
        #[derive(Deserialize)]
        struct Tag {
            version: u32,
        }
        let tag: Tag = serde_json::from_slice(bytes).map_err(|e| BadRecord::corrupt(key, e))?;
        if tag.version != VERSION {
            return Err(BadRecord::Version { key: key.into(), version: tag.version });
        }
        let head: Head = serde_json::from_slice(bytes).map_err(|e| BadRecord::corrupt(key, e))?;
        if head.generation == 0 {
            return Err(BadRecord::corrupt(key, "generation zero"));
        }
        Ok(head)
    }

    /// Encodes the head.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head has only string keys")
    }

    /// Chunks of one section.
    pub fn section(&self, section: Section) -> &[ChunkId] {
        self.chunks.get(&section).map(Vec::as_slice).unwrap_or_default()
    }

    /// Chunks of all sections that `have` does not hold.
    pub fn missing(&self, have: impl Fn(&str) -> bool) -> Vec<ChunkId> {
        self.chunks.values().flatten().filter(|id| !have(id)).cloned().collect()
    }

    /// Puts the document together from its chunks; `get` returns the bytes of one.
    pub fn assemble<'a>(
        &self,
        get: impl Fn(&str) -> Option<&'a [u8]>,
    ) -> Result<Document, BadRecord> {
        let mut doc = Document { schema: SCHEMA, ..Document::default() };
        for (section, ids) in &self.chunks {
            for id in ids {
                let key = chunk_key(id);
                let Some(bytes) = get(id) else { return Err(BadRecord::Absent { key }) };
                check_chunk(id, bytes)?;
                section::join(&mut doc, *section, bytes).map_err(|e| BadRecord::corrupt(key, e))?;
            }
        }
        Ok(doc)
    }
}

/// Refuses bytes that are not those of the chunk `id`.
pub fn check_chunk(id: &str, bytes: &[u8]) -> Result<(), BadRecord> {
    if section::chunk_id(bytes) == id {
        return Ok(());
    }
    Err(BadRecord::corrupt(chunk_key(id), "its content does not match its digest"))
}
