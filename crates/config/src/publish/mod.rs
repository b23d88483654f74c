//! Reading and changing the configuration in the store.
//!
//! [`apply()`] verifies the whole document that a change leads to, writes the chunks that the store
//! lacks, and then replaces the head by compare-and-swap: before that last step nothing is in
//! force, after it everything is. A change that another author made to another section meanwhile is
//! taken in and verified again; a change to the same section refuses the apply. Each apply carries
//! a unique token, so a lost answer is resolved by reading the head and its history.
//!
//! Every so often an apply deletes what the heads that are kept do not refer to ([`mod@collect`]).
//!
//! Nothing here repeats a call for its own sake: the store's client is the one retry layer.

mod apply;
pub mod collect;
mod read;

pub use {
    apply::{Applied, Edit, apply, revert},
    collect::collect,
    read::{archived, load, newest},
};

use {
    crate::{head::BadRecord, parse::Problem, section::Section},
    agate_core::Generation,
    agate_store::port,
};

/// Why the configuration was not read or changed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The store did not carry out a call; no change is in force.
    #[error("configuration: {0}")]
    Store(#[from] port::Error),
    /// The store's answer to the decisive write was lost and its effect could not be learnt;
    /// applying again with the same token resolves it.
    #[error("configuration: the change may or may not be in force: {0}")]
    Unresolved(port::Error),
    /// A record in the store was refused.
    #[error("configuration: {0}")]
    Record(#[from] BadRecord),
    /// The resulting document has faults.
    #[error("configuration: {} faults, first {}", .0.len(), .0[0])]
    Refused(Vec<Problem>),
    /// Another author changed the same section.
    #[error(
        "section {} was changed by {author} in generation {generation}: {comment}",
        section.name()
    )]
    Raced {
        /// Section that both changed.
        section: Section,
        /// Author of the other change.
        author: String,
        /// Generation that holds the other change.
        generation: Generation,
        /// The other author's reason.
        comment: String,
    },
    /// Other authors' changes kept coming first.
    #[error("configuration: {0} other changes came first")]
    Contended(u32),
    /// The generation to start from or to return to is not in the history.
    #[error("generation {0} is not in the history")]
    NoGeneration(Generation),
}

/// Result of reading or changing the configuration.
pub type Result<T> = std::result::Result<T, Error>;
