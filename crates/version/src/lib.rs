//! Software version of the endpoints that serve a stream.
//!
//! The events of two versions do not fit together, and endpoints do not check this: a stream that
//! broke off may go on only at the version that began it. The caller may take it up at any instance,
//! with the identifier of the request that brought its first event.
//!
//! - [`split`]: the version that a new stream of a service begins at, from a hash of that identifier;
//!   equal on all instances that know the same endpoints.
//! - [`history`]: the splits of a service in the recent past, as versions come and go.
//! - [`record`]: those splits in the store, for instances that start.
//! - [`detours`]: versions whose streams may begin at others for now.
//! - [`begun`]: versions of streams that began lately.
//! - [`homes`]: instances that remember them for others while the split changes.
//! - [`known_streams`]: what instances tell each other of those.
//! - [`resumption`]: where a stream that is taken up may go on.
//! - [`versions`]: all services of an instance.
//!
//! Invariant: a stream that is taken up goes on at the version that began it, or is refused while
//! the version cannot be told.

pub mod begun;
pub mod detours;
pub mod history;
pub mod homes;
pub mod known_streams;
pub mod metrics;
pub mod record;
pub mod resumption;
pub mod split;
pub mod versions;

pub use {resumption::Resumption, split::Split, versions::Versions};

/// Hash of the identifier of the request that brought the first event of a stream.
pub type StreamId = u64;
