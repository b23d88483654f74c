//! Verification of a whole document.
//!
//! All problems are reported, not only the first, so that an operator can fix a section in one
//! pass. The checks read only the document. They resolve names without the compiler.

mod fleet;
mod orders;
mod orgs;
mod routes;
mod text;

use crate::{
    doc::{Document, SCHEMA},
    parse::Problem,
};

/// Limits of counts, lengths and durations, so that an accepted document fits into the memory of an
/// instance.
pub mod bounds {
    use std::time::Duration;

    /// Maximum number of organisations.
    pub const ORGANISATIONS: usize = 20_000;
    /// Maximum number of keys of one organisation.
    pub const KEYS: usize = 64;
    /// Maximum number of models.
    pub const MODELS: usize = 256;
    /// Maximum number of versions of one model.
    pub const VERSIONS: usize = 64;
    /// Maximum number of shared prefixes of one model.
    pub const PREFIXES: usize = 16;
    /// Maximum number of availability zones.
    pub const ZONES: usize = 64;
    /// Maximum number of pools.
    pub const POOLS: usize = 256;
    /// Maximum number of endpoints declared in the document.
    pub const ENDPOINTS: usize = 20_000;
    /// Maximum number of budgets.
    pub const BUDGETS: usize = 20_000;
    /// Maximum number of routes.
    pub const ROUTES: usize = 1_024;
    /// Maximum length of a name, in bytes.
    pub const NAME: usize = 64;
    /// Maximum length of a route's path, in bytes.
    pub const PATH: usize = 512;
    /// Maximum length of a shared prefix, in bytes.
    pub const PREFIX: usize = 2_048;
    /// Maximum weight of an organisation.
    pub const WEIGHT: u32 = 1_000_000;
    /// Maximum number of concurrent requests of one endpoint.
    pub const SLOTS: u32 = 65_536;
    /// Maximum number of endpoints in a region of a pool that takes orders.
    pub const ORDERED: usize = 4_000;
    /// Maximum arrival lag or hold time of ordered endpoints.
    pub const LAG: Duration = Duration::from_secs(60 * 60);
    /// Maximum number of pieces of one pool.
    pub const PIECES: u32 = 64;
    /// Maximum number of engines of one piece.
    pub const PIECE: usize = 1_000;
    /// Maximum number of tokens that one request may generate.
    pub const OUTPUT: u32 = 1 << 20;
    /// Maximum one-way delay between two availability zones.
    pub const DELAY: Duration = Duration::from_secs(10);
    /// Maximum of latency targets, deadlines and the times of role control.
    pub const DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
    /// Minimum budget period.
    pub const PERIOD_MIN: Duration = Duration::from_secs(1);
    /// Maximum budget period.
    pub const PERIOD_MAX: Duration = Duration::from_secs(366 * 24 * 60 * 60);
}

/// Returns all problems of `doc`, grouped by section. The document is accepted if there are none.
pub fn verify(doc: &Document) -> Vec<Problem> {
    let mut problems = Problems::default();
    if doc.schema != SCHEMA {
        problems.add("schema", format!("version {} is unknown, expected {SCHEMA}", doc.schema));
    }
    orgs::organisations(doc, &mut problems);
    orgs::models(doc, &mut problems);
    fleet::zones(doc, &mut problems);
    fleet::pools(doc, &mut problems);
    orders::orders(doc, &mut problems);
    fleet::endpoints(doc, &mut problems);
    orgs::budgets(doc, &mut problems);
    routes::routes(doc, &mut problems);
    problems.found
}

/// Problems found so far.
#[derive(Default)]
struct Problems {
    found: Vec<Problem>,
}

impl Problems {
    fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.found.push(Problem::new(place, message));
    }

    /// Adds a problem unless `holds`. The texts are built only if there is one.
    fn check(&mut self, holds: bool, place: impl Fn() -> String, message: impl Fn() -> String) {
        if !holds {
            self.add(place(), message());
        }
    }

    fn check_count(&mut self, place: &str, len: usize, most: usize) {
        self.check(len <= most, || place.into(), || format!("{len} entries, at most {most}"));
    }

    fn check_name(&mut self, section: &str, name: &str) {
        if let Err(e) = text::name(name) {
            self.add(format!("{section}.{name}"), e);
        }
    }
}
