//! Identification of the sender of a request, and whether its key is still valid.

use {
    crate::{
        header,
        refusal::{Refused, Result},
    },
    agate_config::snapshot::{Current, KeyMatch, RouteEntry, Snapshot},
    agate_core::{OrgId, Refusal},
    agate_transport::proof::NotRunProof,
    http::HeaderMap,
};

/// Sender of a request.
#[derive(Clone, Debug)]
pub enum Caller {
    /// The route is open: it needs no key.
    Open,
    /// An organisation, identified by one of its keys.
    Keyed(KeyMatch),
}

impl Caller {
    /// Identifies the sender of a request on `route`.
    ///
    /// Errors: `KeyMissing` if the route needs a key and the request has none, `KeyInvalid` if the
    /// key is not in `snapshot`.
    pub fn identify(
        snapshot: &Snapshot,
        route: &RouteEntry,
        headers: &HeaderMap,
        proof: NotRunProof,
    ) -> Result<(Self, NotRunProof)> {
        if route.open {
            return Ok((Caller::Open, proof));
        }
        let Some(key) = header::find_key(headers) else {
            let text = "send a key as `Authorization: Bearer KEY` or `x-api-key: KEY`";
            return Err(Refused::not_run(Refusal::KeyMissing, text, proof));
        };
        match snapshot.find_key(key) {
            Some(found) => Ok((Caller::Keyed(found), proof)),
            None => {
                let text = "the key is not known or was withdrawn";
                Err(Refused::not_run(Refusal::KeyInvalid, text, proof))
            }
        }
    }

    /// Organisation of the sender; `None` on open routes.
    pub fn org(&self) -> Option<OrgId> {
        match self {
            Caller::Open => None,
            Caller::Keyed(found) => Some(found.org),
        }
    }

    /// Whether the sender's key is valid in the newest configuration.
    pub fn in_force(&self, current: &Current) -> bool {
        match self {
            Caller::Open => true,
            Caller::Keyed(found) => current.load().holds(found),
        }
    }
}
