//! Membership of instances: probes, suspicion, leaving, and the UDP adapter.
