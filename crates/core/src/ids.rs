//! Dense identifiers of the entities that one process knows.
//!
//! An identifier is an index into a table of this process: it is assigned by an
//! [`Interner`](crate::Interner), never reused while the process lives, and never sent to another
//! process. Messages and records in the store carry names instead.

/// Index of an organisation.
pub type OrgId = u32;
/// Index of a model.
pub type ModelId = u32;
/// Index of an endpoint.
pub type EndpointId = u32;
/// Index of a pool of endpoints.
pub type PoolId = u32;
/// Index of an availability zone.
pub type ZoneId = u32;
/// Index of a route in one configuration snapshot.
pub type RouteId = u32;

/// Number of an accepted configuration; it only grows.
pub type Generation = u64;
/// Fencing token of a lease; it only grows for one lease name.
pub type FenceToken = u64;
