//! Studies that compare the production policies with baselines.

use {
    crate::{
        results::Status,
        setup::Setup,
        simulation::run,
        workload::{Source, draw},
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

/// Requests per second that one saturated engine completes when `dossiers` is the fraction of
/// dossiers and none of them repeats.
pub fn engine_rate(dossiers: f64) -> f64 {
    const RUN_TIME: Duration = Duration::from_secs(120);
    let source = Source { org: 0, rate: 20.0, dossiers, library: 0 };
    let mut requests = draw(&[source], (Mono::ZERO, RUN_TIME), 1, 1);
    // Without priorities, so that the completed requests have the same mix as the offered ones.
    requests.iter_mut().for_each(|r| r.urgent = false);
    let setup = Setup { engines: 1, entries: 1, order: None, ..Setup::default() };
    let results = run(setup, &requests, Duration::ZERO);
    let done = results.statuses.iter().filter(|r| matches!(r, Status::Done { .. })).count();
    done as f64 / RUN_TIME.as_secs_f64()
}
