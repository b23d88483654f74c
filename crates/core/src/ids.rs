//! Dense integer identifiers, local to a process.
//!
//! An identifier is an index into a table of this process. An [`Interner`](crate::Interner)
//! assigns it; it is not reused while the process runs and is not sent to other processes.
//! Messages and stored records carry names instead.

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

/// Number of an accepted configuration; it increases with each one.
pub type Generation = u64;
/// Fencing token of a lease; it increases with each holder of the same lease name.
pub type FenceToken = u64;
