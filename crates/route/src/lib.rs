//! Choice of endpoint: prefix affinity, predicted delay, health, retries.
