//! Limits on what the callers of an instance hold, from its settings.

use {
    agate_transport::memory_budget::MemoryLimits,
    nix::sys::resource::{Resource, getrlimit},
};

/// Share of the memory for what callers send, as a divisor. Half of the memory is left for the instance
/// itself, and the rest for responses.
const CALLER_DIVISOR: usize = 4;
/// Descriptors that are kept for files.
const FILES: usize = 200;
/// Least number of connections of callers.
const MIN_CONNECTIONS: usize = 16;
/// Descriptors of a process whose limit cannot be read.
const UNKNOWN_DESCRIPTORS: u64 = 1_024;

/// Limits of an instance with `memory` MB, none if that is `None`. It may open `descriptors`, or as many as
/// its process.
pub fn limits(memory: Option<u32>, descriptors: Option<u32>) -> MemoryLimits {
    let Some(memory) = memory else { return MemoryLimits::default() };
    let descriptors = match descriptors {
        Some(n) => u64::from(n),
        None => getrlimit(Resource::RLIMIT_NOFILE).map_or(UNKNOWN_DESCRIPTORS, |l| l.0),
    };
    // A request takes a connection of its caller and one to an endpoint.
    let connections = usize::try_from(descriptors).unwrap_or(usize::MAX).saturating_sub(FILES) / 2;
    MemoryLimits {
        bytes: memory as usize * 1_000_000 / CALLER_DIVISOR,
        connections: connections.max(MIN_CONNECTIONS),
    }
}
