//! Callbacks that connect the planner with the rest of the instance.

use {
    super::{Figures, Reason},
    crate::{order::OrderOutcome, stage::EngineDemand},
    agate_view::table::Name,
};

type KnownDemandFn = dyn Fn(&Name) -> Option<EngineDemand> + Send + Sync;
type FiguresFn = dyn Fn(&Name, &Figures) + Send + Sync;
type OrderedFn = dyn Fn(Reason, OrderOutcome) + Send + Sync;

/// Callbacks by which the endpoints follow the demand.
pub struct CapacityCalls {
    /// Returns the engine capacity that callers of all instances demand of a service; `None` while
    /// it is unknown.
    pub demand: Box<KnownDemandFn>,
    /// Called with the figures of each service after a round.
    pub on_figures: Box<FiguresFn>,
    /// Called with the reason and the outcome of each order.
    pub on_order: Box<OrderedFn>,
}
