//! Verification of a whole document.
//!
//! Every fault is reported, not just the first, so an operator mends a section in one pass. The
//! checks read only the document; they resolve names themselves rather than through the compiler.

mod fleet;
mod orders;
mod orgs;
mod routes;
mod text;

use crate::{
    doc::{Document, SCHEMA},
    parse::Problem,
};

/// Bounds on counts and lengths, so that an accepted document fits the instances' memory.
pub mod bounds {
    use std::time::Duration;

    /// Most organisations.
    pub const ORGANISATIONS: usize = 20_000;
    /// Most keys of one organisation.
    pub const KEYS: usize = 64;
    /// Most models.
    pub const MODELS: usize = 256;
    /// Most versions of one model.
    pub const VERSIONS: usize = 64;
    /// Most shared prefixes of one model.
    pub const PREFIXES: usize = 16;
    /// Most availability zones.
    pub const ZONES: usize = 64;
    /// Most pools.
    pub const POOLS: usize = 256;
    /// Most endpoints declared by hand.
    pub const ENDPOINTS: usize = 20_000;
    /// Most budgets.
    pub const BUDGETS: usize = 20_000;
    /// Most routes.
    pub const ROUTES: usize = 1_024;
    /// Longest name, in bytes.
    pub const NAME: usize = 64;
    /// Longest path of a route, in bytes.
    pub const PATH: usize = 512;
    /// Longest shared prefix, in bytes.
    pub const PREFIX: usize = 2_048;
    /// Largest weight of an organisation.
    pub const WEIGHT: u32 = 1_000_000;
    /// Most concurrent requests of one endpoint.
    pub const SLOTS: u32 = 65_536;
    /// Most endpoints that may be ordered for a pool in a region.
    pub const ORDERED: usize = 4_000;
    /// Longest arrival lag or hold time of ordered endpoints.
    pub const LAG: Duration = Duration::from_secs(60 * 60);
    /// Most pieces of one pool.
    pub const PIECES: u32 = 64;
    /// Most engines of one piece.
    pub const PIECE: usize = 1_000;
    /// Most tokens that one request may generate.
    pub const OUTPUT: u32 = 1 << 20;
    /// Longest one-way delay between two availability zones.
    pub const DELAY: Duration = Duration::from_secs(10);
    /// Longest target or deadline.
    pub const DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
    /// Shortest budget period.
    pub const PERIOD_MIN: Duration = Duration::from_secs(1);
    /// Longest budget period.
    pub const PERIOD_MAX: Duration = Duration::from_secs(366 * 24 * 60 * 60);
}

/// Returns every fault of `doc`, in document order; empty if it may be put in force.
pub fn verify(doc: &Document) -> Vec<Problem> {
    let mut faults = Faults::default();
    if doc.schema != SCHEMA {
        faults.add("schema", format!("version {} is unknown, expected {SCHEMA}", doc.schema));
    }
    orgs::organisations(doc, &mut faults);
    orgs::models(doc, &mut faults);
    fleet::zones(doc, &mut faults);
    fleet::pools(doc, &mut faults);
    orders::orders(doc, &mut faults);
    fleet::endpoints(doc, &mut faults);
    orgs::budgets(doc, &mut faults);
    routes::routes(doc, &mut faults);
    faults.found
}

/// Faults found so far.
#[derive(Default)]
struct Faults {
    found: Vec<Problem>,
}

impl Faults {
    fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.found.push(Problem::new(place, message));
    }

    /// Adds a fault unless `holds`; the texts are built only on a fault.
    fn check(&mut self, holds: bool, place: impl Fn() -> String, message: impl Fn() -> String) {
        if !holds {
            self.add(place(), message());
        }
    }

    fn count(&mut self, place: &str, len: usize, most: usize) {
        self.check(len <= most, || place.into(), || format!("{len} entries, at most {most}"));
    }

    fn name(&mut self, section: &str, name: &str) {
        if let Err(e) = text::name(name) {
            self.add(format!("{section}.{name}"), e);
        }
    }
}
