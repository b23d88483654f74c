//! The measurements.

use {
    crate::{
        figures::Record,
        setup::Setup,
        workload::{Source, draw},
        world::run,
    },
    agate_core::Mono,
    std::time::Duration,
};

pub mod affinity;
pub mod budget;
pub mod deadline;
pub mod fairness;
pub mod fleet;
pub mod overload;
pub mod retry;
pub mod split;

/// Requests a second that one saturated engine answers, for a share of dossiers that are each
/// read once.
pub fn engine_rate(dossiers: f64) -> f64 {
    const LENGTH: Duration = Duration::from_secs(120);
    let source = Source { org: 0, rate: 20.0, dossiers, library: 0 };
    let mut requests = draw(&[source], (Mono::ZERO, LENGTH), 1, 1);
    // Without priorities, so that the answered ones have the mix of the offered ones.
    requests.iter_mut().for_each(|r| r.urgent = false);
    let setup = Setup { engines: 1, entries: 1, order: None, ..Setup::default() };
    let figures = run(setup, &requests, Duration::ZERO);
    let done = figures.records.iter().filter(|r| matches!(r, Record::Done { .. })).count();
    done as f64 / LENGTH.as_secs_f64()
}
