//! Simulations of the policies in virtual time: workloads, baselines, results and plots.
//!
//! A study runs the production functions (`agate_admit`, `agate_route`, `agate_fleet`) and
//! baselines with a simple model of engines, and returns tables. The results depend only on the
//! seed, so that short versions of the studies under `tests/` can check the targets.
//!
//! [`engine`] models continuous batching with a prefix cache, [`workload`] draws requests,
//! [`simulation`] runs the entry instances and engines of a [`setup`], [`study`] contains the
//! measurements, and [`table`] and [`plot`] format their results.

pub mod baseline;
pub mod cache;
pub mod engine;
pub mod plot;
pub mod results;
pub mod setup;
pub mod simulation;
pub mod study;
pub mod table;
pub mod workload;
