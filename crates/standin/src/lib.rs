//! Stand-ins of the outside systems: platform, model engine and plain service.
