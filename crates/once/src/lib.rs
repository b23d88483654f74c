//! At most one run of a non-idempotent call, by claims in the store.
