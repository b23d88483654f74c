//! Settings of the membership protocol.

use {
    agate_wire::{Name, Peer, Place},
    std::{sync::Arc, time::Duration},
};

/// The set of members of which an instance holds a full view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// The members in its availability zone.
    #[default]
    Zone,
    /// The members in its region, for deployments of a few dozen instances.
    Region,
}

impl Scope {
    /// Returns the name of the scope that `place` belongs to.
    pub fn name(self, place: &Place) -> &Arc<str> {
        match self {
            Scope::Zone => &place.zone,
            Scope::Region => &place.region,
        }
    }
}

/// Settings of one instance's membership. All instances of a fleet share all of them but `peer`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name and place of this instance.
    pub peer: Peer,
    /// Members of which the instance holds a full view.
    pub scope: Scope,
    /// Interval of [`Input::Tick`](crate::Input::Tick).
    pub tick: Duration,
    /// Interval between probes of members, and the timeout of one.
    pub period: Duration,
    /// Time after which an unacknowledged probe is sent again.
    pub resend: Duration,
    /// Maximum number of times that one probe is sent.
    pub sends: u8,
    /// Time without an acknowledgement after which helpers are asked to probe the member.
    pub indirect: Duration,
    /// Number of helpers asked to probe a member.
    pub helpers: usize,
    /// Time from suspicion to the declaration as failed, with all accusers.
    pub suspect_min: Duration,
    /// Time from suspicion to the declaration as failed, with one accuser.
    pub suspect_max: Duration,
    /// Accusers, besides the first one, that reduce the time to `suspect_min`.
    pub accusers: usize,
    /// Longest time without any acknowledgement during which an instance raises no suspicion and
    /// declares no member failed.
    pub isolation: Duration,
    /// Interval between probes of failed or listed instances.
    pub reconnect: Duration,
    /// Time for which a failed or left member is kept in the view.
    pub retention: Duration,
    /// Time for which views must differ before one is transferred.
    pub disagreement: Duration,
    /// Interval between probes of contacts in other scopes.
    pub contact_period: Duration,
    /// Timeout of a probe of a contact.
    pub contact_timeout: Duration,
    /// Maximum number of contacts in each other scope.
    pub contact_slots: usize,
}

impl Settings {
    /// Returns the default settings for an instance.
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
