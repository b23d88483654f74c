//! Measurements in virtual time: workloads, baselines, figures and plots.
//!
//! A study drives the very functions that production runs (`agate_admit`, `agate_route`) over a
//! small model of engines, next to baselines, and returns tables. Everything is a function of the
//! seed, so a study doubles as a test: the fast versions under `tests/` hold the stated targets.
//!
//! [`engine`] models continuous batching with a prefix cache, [`workload`] draws requests,
//! [`world`] runs the entry instances and engines of a [`setup`] against each other, [`study`] holds the
//! measurements, [`table`] and [`plot`] present them.

pub mod baseline;
pub mod cache;
pub mod engine;
pub mod figures;
pub mod plot;
pub mod setup;
pub mod study;
pub mod table;
pub mod workload;
pub mod world;
