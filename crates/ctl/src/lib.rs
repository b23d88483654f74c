//! Control of the roles of a piece of engines: forecast, targets, orders, intentions.
//!
//! [`step`] is a pure function over a [`Piece`]. Invariants:
//!
//! - an order is returned only within the authority last granted, and not before its `first_order`;
//! - an engine has at most one order under way, and none follows one of unknown result before that
//!   one can no longer arrive and the engine's state was read again;
//! - the phase that allows an order is in the store before the order is returned, so a successor
//!   knows of every engine that may have been touched;
//! - the last serving engine of a role in an availability zone is never taken;
//! - at most a bounded share of the engines is away at once.

mod change;
mod forecast;
mod piece;
mod plan;
mod record;
mod settings;

pub use {
    agate_core::Grant,
    change::{Change, Phase},
    forecast::{Demand, Forecast},
    piece::{Action, Engine, Input, Outcome, Piece, Reading, Role, Verb, step},
    plan::{Split, choose_split, served_share},
    record::{MAX_CHANGES, MAX_RECORD, RecordError, Saved, decode, encode},
    settings::Settings,
};
