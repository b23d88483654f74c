//! Reading and changing the configuration in the store.
//!
//! [`apply()`] verifies the whole document that results from a change, writes the chunks that the
//! store lacks, and then replaces the head by compare-and-swap. That last step makes all of the
//! change current at once. If another author changed another section meanwhile, the apply includes
//! that change and verifies again. If another author changed the same section, it is refused. Each
//! apply carries a unique token, so that a lost response can be resolved by reading the head and
//! its history.
//!
//! Every [`collect::COLLECT_INTERVAL`] generations, an apply deletes records that no retained head refers to
//! ([`mod@collect`]).
//!
//! This module does not retry failed calls: the store's client does.

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

/// Errors of reading or changing the configuration.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// A store call failed. The change is not current.
    #[error("configuration: {0}")]
    Store(#[from] port::Error),
    /// The response to the replacement of the head was lost, and its outcome could not be read.
    /// Applying again with the same token resolves it.
    #[error("configuration: the change may or may not be in force: {0}")]
    Unresolved(port::Error),
    /// A record in the store was refused.
    #[error("configuration: {0}")]
    Record(#[from] BadRecord),
    /// The resulting document has problems.
    #[error("configuration: {} problems, first {}", .0.len(), .0[0])]
    Refused(Vec<Problem>),
    /// Another author changed the same section.
    #[error(
        "section {} was changed by {author} in generation {generation}: {comment}",
        section.name()
    )]
    Conflict {
        /// Section that both authors changed.
        section: Section,
        /// Author of the other change.
        author: String,
        /// Generation of the other change.
        generation: Generation,
        /// Comment of the other change.
        comment: String,
    },
    /// Concurrent changes preceded each attempt. The field is the number of attempts.
    #[error("configuration: gave up after {0} attempts, since concurrent changes came first")]
    Contended(u32),
    /// The generation to start from or to revert to is not in the history.
    #[error("generation {0} is not in the history")]
    NoGeneration(Generation),
}

/// Result of reading or changing the configuration.
pub type Result<T> = std::result::Result<T, Error>;
