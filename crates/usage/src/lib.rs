//! Usage counters, their replication, and windows sealed and reported once.
