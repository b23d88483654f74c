//! Settings of the membership protocol.

use {
    agate_wire::{Name, Peer, Place},
    std::{sync::Arc, time::Duration},
};

/// Members of which an instance holds a full view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Those in its availability zone.
    #[default]
    Zone,
    /// Those in its region; for deployments of a few dozen instances.
    Region,
}

impl Scope {
    /// Name of the scope that `place` belongs to.
    pub fn name(self, place: &Place) -> &Arc<str> {
        match self {
            Scope::Zone => &place.zone,
            Scope::Region => &place.region,
        }
    }
}

/// Settings of one instance's membership; all instances share all but `peer`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub peer: Peer,
    /// Members of which it holds a full view.
    pub scope: Scope,
    /// Time between two ticks.
    pub tick: Duration,
    /// Time between two probes of members, and the time that one may take.
    pub period: Duration,
    /// Time after which an unanswered probe is sent again.
    pub resend: Duration,
    /// Times that one probe is sent.
    pub sends: u8,
    /// Time after which other members are asked to probe.
    pub indirect: Duration,
    /// Members that are asked to probe.
    pub helpers: usize,
    /// Time from suspicion to verdict with all accusers.
    pub suspect_min: Duration,
    /// Time from suspicion to verdict with one accuser.
    pub suspect_max: Duration,
    /// Accusers, besides the first, that shorten the time to the least.
    pub accusers: usize,
    /// Longest time without any acknowledgement during which verdicts are withheld.
    pub isolation: Duration,
    /// Time between two probes of failed or listed members.
    pub reconnect: Duration,
    /// Time for which a failed or left member is remembered.
    pub retention: Duration,
    /// Time for which views must differ before one is transferred.
    pub disagreement: Duration,
    /// Time between two probes of contacts in other scopes.
    pub contact_period: Duration,
    /// Time that a probe of a contact may take.
    pub contact_timeout: Duration,
    /// Contacts kept in each other scope.
    pub contact_slots: usize,
}

impl Settings {
    /// Returns the defaults for an instance.
    pub fn new(name: impl Into<Name>, place: Place) -> Self {
        Self {
            peer: Peer { name: name.into(), place },
            scope: Scope::Zone,
            tick: Duration::from_millis(50),
            period: Duration::from_millis(500),
            resend: Duration::from_millis(50),
            sends: 3,
            indirect: Duration::from_millis(150),
            helpers: 3,
            suspect_min: Duration::from_secs(2),
            suspect_max: Duration::from_secs(8),
            accusers: 3,
            isolation: Duration::from_secs(30),
            reconnect: Duration::from_secs(2),
            retention: Duration::from_secs(600),
            disagreement: Duration::from_secs(3),
            contact_period: Duration::from_secs(2),
            contact_timeout: Duration::from_secs(1),
            contact_slots: 2,
        }
    }
}
