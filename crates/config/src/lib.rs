//! The operators' document: schema, verification, sections in the store, and the snapshot in force.
//!
//! [`doc`] is the schema as operators write it, in sections that belong to different teams.

pub mod doc;
