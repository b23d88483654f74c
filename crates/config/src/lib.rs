//! The configuration document: schema, verification, storage in sections, distribution, and
//! snapshots.
//!
//! Operators write a document in sections that belong to different teams; [`doc`] is its schema.
//! [`mod@parse`] reads it from YAML, [`mod@verify`] checks all cross-references, [`place`] finds
//! the lines of problems, and [`snapshot`] compiles a verified document into the dense tables that
//! requests read. The verifier shares no code with the compiler, so a bug in one of them shows up
//! in the other.
//!
//! In the store the document is a set of content-addressed chunks ([`section`]) under one [`head`]
//! that is replaced by compare-and-swap ([`publish`]). A level of [`index`] chunks between them
//! keeps the head short. [`spread`] is the state machine by which each instance learns of a new
//! head, [`follow`] runs it over the store and the peers, and [`freshness`] decides whether the
//! installed configuration is recent enough to serve requests that need a key.

pub mod compact;
pub mod doc;
pub mod follow;
pub mod freshness;
pub mod hash;
pub mod head;
pub mod index;
pub mod parse;
pub mod place;
pub mod publish;
pub mod section;
pub mod snapshot;
pub mod spread;
pub mod verify;

pub use {
    doc::Document,
    head::Head,
    parse::{Problem, parse},
    place::check,
    publish::{apply, load},
    section::Section,
    verify::verify,
};
