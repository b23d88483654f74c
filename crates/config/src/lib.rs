//! The operators' document: schema, verification, sections in the store, and the snapshot in force.
//!
//! [`doc`] is the schema as operators write it, in sections that belong to different teams.
//! [`mod@parse`] reads it from YAML, [`mod@verify`] checks every cross reference, [`place`] finds
//! the lines of faults, and [`snapshot`] compiles a verified document into the dense tables that
//! requests read. The verifier shares no code with the compiler, so a fault in one shows in the
//! other.
//!
//! In the store the document is a set of content-addressed chunks ([`section`]) under one [`head`]
//! that is replaced by compare-and-swap ([`publish`]); [`index`] chunks between them keep the head
//! short. [`spread`] decides how each instance learns a new head and [`follow`] carries that out, and
//! [`freshness`] says whether the configuration in force may still decide on keyed work.

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
