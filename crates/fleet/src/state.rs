//! State of the controller of one pool.

use {
    crate::{
        Endpoint, EndpointState, Grant, Intent, Inventory, Kind, Mix, Name, Need, Op, Record,
        Settings, intent::name_hash,
    },
    agate_core::{FenceToken, Forecast, Mono},
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, time::Duration},
};

/// An intent and its progress under the current lease holder.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub intent: Intent,
    /// Number of the first write that contains it; zero if it was read from the store.
    pub write_number: u64,
    /// When it was created or read from the store.
    pub created_at: Mono,
    /// When this holder last sent it.
    pub last_sent: Option<Mono>,
    /// Whether this or an earlier holder may have sent it.
    pub maybe_sent: bool,
    /// Whether the platform accepted it.
    pub accepted: bool,
    /// Whether the endpoint to release has no request left.
    pub idle: bool,
}

impl Pending {
    pub fn new(intent: Intent, write_number: u64, now: Mono) -> Self {
        let maybe_sent = write_number == 0;
        Self {
            intent,
            write_number,
            created_at: now,
            last_sent: None,
            maybe_sent,
            accepted: false,
            idle: false,
        }
    }

    /// Name of the endpoint to release; `None` for an order.
    pub fn release_target(&self) -> Option<&Name> {
        match &self.intent.op {
            Op::Release { endpoint } => Some(endpoint),
            Op::Order { .. } => None,
        }
    }
}

/// Progress of writing the record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteState {
    /// Whether the record changed since the last write began.
    pub dirty: bool,
    /// Number of the next write.
    pub next: u64,
    /// Number of the write in progress.
    pub in_flight: Option<u64>,
    /// Number of the last write that was confirmed.
    pub durable: u64,
    /// When the last write began.
    pub last_write: Option<Mono>,
}

/// Time during which a kind is not ordered in an availability zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pub until: Mono,
    pub delay: Duration,
}

/// Numbers of endpoints of one kind in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Serving and not about to leave.
    pub live: usize,
    /// Ordered and not serving yet.
    pub starting: usize,
    /// Those of the serving ones that the configuration declares.
    pub declared: usize,
}

/// State of the controller of one pool; see [`step`](crate::step()).
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) forecast: Forecast<2>,
    /// Needs planned within the last hold time; releases use their maximum.
    pub(crate) recent_needs: VecDeque<(Mono, Need)>,
    pub(crate) endpoints: IndexMap<Name, Endpoint>,
    /// Whether the endpoints were listed since the last grant.
    pub(crate) listed: bool,
    pub(crate) grant: Option<Grant>,
    /// When the last grant was received.
    pub(crate) granted_at: Mono,
    /// Fencing token of the last grant.
    pub(crate) fence: Option<FenceToken>,
    pub(crate) pending: Vec<Pending>,
    /// Hashes of the names of the endpoints last listed.
    pub(crate) known_names: IndexSet<u32>,
    /// Sequence number of the next intent.
    pub(crate) sequence: u32,
    pub(crate) record: WriteState,
    pub(crate) backoffs: IndexMap<(Name, Kind), Backoff>,
    pub(crate) last_plan: Option<Mono>,
    /// Need that the last plan could not meet.
    pub(crate) unserved: Need,
}

impl State {
    /// Returns a state without authority, forecast or endpoints.
    pub fn new(settings: Settings) -> Self {
        let (fast, slow) = settings.time_constants;
        Self {
            settings,
            forecast: Forecast::new(fast, slow),
            recent_needs: VecDeque::new(),
            endpoints: IndexMap::new(),
            listed: false,
            grant: None,
            granted_at: Mono::ZERO,
            fence: None,
            pending: Vec::new(),
            known_names: IndexSet::new(),
            sequence: 0,
            record: WriteState {
                dirty: false,
                next: 1,
                in_flight: None,
                durable: 0,
                last_write: None,
            },
            backoffs: IndexMap::new(),
            last_plan: None,
            unserved: Need::default(),
        }
    }

    /// Replaces the settings; pending orders and releases stay.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Names of the endpoints that will be released and must get no new requests.
    pub fn draining(&self) -> impl Iterator<Item = &Name> {
        self.pending.iter().filter_map(Pending::release_target)
    }

    /// Number of endpoints that are ordered and not listed yet.
    pub fn ordered(&self) -> usize {
        let left = self.pending.iter().map(|p| match p.intent.op {
            Op::Order { left, .. } => left as usize,
            Op::Release { .. } => 0,
        });
        left.sum()
    }

    /// Need that the last plan did not meet because of the budget or the maximum.
    pub fn unserved(&self) -> Need {
        self.unserved
    }

    /// Intents that are not completed, as the record holds them.
    pub fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.pending.iter().map(|p| &p.intent)
    }

    pub(crate) fn record(&self) -> Record {
        Record { intents: self.intents().cloned().collect(), known: self.known_names.clone() }
    }

    /// Marks the record as changed; returns the number of the write that will contain the change.
    pub(crate) fn mark_dirty(&mut self) -> u64 {
        self.record.dirty = true;
        self.record.next
    }

    /// Adds an intent to the record.
    pub(crate) fn add_intent(&mut self, op: Op, grant: &Grant, now: Mono) {
        let intent = Intent { fence: grant.fence, sequence: self.sequence, op };
        self.sequence += 1;
        let write_number = self.mark_dirty();
        log::debug!(step = "plan", peer:% = self.settings.pool; "{:?}", intent.op);
        self.pending.push(Pending::new(intent, write_number, now));
    }

    /// Numbers of endpoints by availability zone and kind, without those being released.
    pub(crate) fn counts_by_zone(&self) -> IndexMap<Name, [Counts; 2]> {
        let zones = self.settings.zones.iter().cloned();
        let mut out: IndexMap<_, _> = zones.map(|z| (z, <[Counts; 2]>::default())).collect();
        let draining: IndexSet<&Name> = self.draining().collect();
        for e in self.endpoints.values().filter(|e| !draining.contains(&e.name)) {
            let counts = &mut out.entry(e.zone.clone()).or_default()[e.kind as usize];
            match e.state {
                EndpointState::Live => {
                    counts.live += 1;
                    counts.declared += usize::from(e.declared);
                }
                EndpointState::Ordered => counts.starting += 1,
                EndpointState::Leaving => {}
            }
        }
        for p in &self.pending {
            if let Op::Order { zone, kind, left, .. } = &p.intent.op {
                out.entry(zone.clone()).or_default()[*kind as usize].starting += *left as usize;
            }
        }
        out
    }

    /// Replaces the list of endpoints. Names that are new count as arrivals of ordered endpoints.
    pub(crate) fn apply_list(&mut self, list: Vec<Endpoint>, now: Mono) {
        self.listed = true;
        let endpoints = list.into_iter().map(|e| (e.name.clone(), e)).collect();
        let old = std::mem::replace(&mut self.endpoints, endpoints);
        let hashes: IndexSet<u32> = self.endpoints.keys().map(|n| name_hash(n)).collect();
        for i in 0..self.endpoints.len() {
            let e = self.endpoints[i].clone();
            if !e.declared && !self.known_names.contains(&name_hash(&e.name)) {
                self.on_arrival(&e);
            }
            let newly_leaving = old.get(&e.name).is_none_or(|o| o.state != EndpointState::Leaving);
            if e.kind == Kind::Cheap && e.state == EndpointState::Leaving && newly_leaving {
                self.back_off(&e.zone, e.kind, now);
            }
        }
        if hashes != self.known_names {
            self.known_names = hashes;
            self.mark_dirty();
        }
        let before = self.pending.len();
        let endpoints = &self.endpoints;
        self.pending.retain(|p| match &p.intent.op {
            Op::Release { endpoint } => endpoints.contains_key(endpoint),
            Op::Order { left, .. } => *left > 0,
        });
        if self.pending.len() != before {
            self.mark_dirty();
        }
    }

    /// Assigns a new endpoint to the oldest order that it can belong to.
    fn on_arrival(&mut self, e: &Endpoint) {
        for p in &mut self.pending {
            if let Op::Order { zone, kind, left, .. } = &mut p.intent.op
                && *left > 0
                && (&*zone, *kind) == (&e.zone, e.kind)
            {
                *left -= 1;
                // An arrival shows that the platform provides the kind again.
                self.backoffs.swap_remove(&(e.zone.clone(), e.kind));
                return;
            }
        }
    }

    /// Suspends orders of a kind in an availability zone; the time doubles with each refusal.
    pub(crate) fn back_off(&mut self, zone: &Name, kind: Kind, now: Mono) {
        let (min, max) = self.settings.backoff;
        let key = (zone.clone(), kind);
        let delay = match self.backoffs.get(&key) {
            Some(b) if now < b.until => return,
            Some(b) => (b.delay * 2).min(max),
            None => min,
        };
        self.backoffs.insert(key, Backoff { until: now + delay, delay });
    }

    /// Availability zones in which a kind may be ordered now.
    pub(crate) fn available_zones(&self, kind: Kind, now: Mono) -> Vec<Name> {
        let available = |z: &&Name| {
            let backoff = self.backoffs.get(&((*z).clone(), kind));
            backoff.is_none_or(|b| now >= b.until)
        };
        self.settings.zones.iter().filter(available).cloned().collect()
    }

    /// Largest need within the last hold time, with slack added.
    pub(crate) fn peak_need(&self) -> Need {
        let slack = 1.0 + self.settings.slack;
        let max =
            |of: fn(&Need) -> f64| self.recent_needs.iter().map(|(_, n)| of(n)).fold(0.0, f64::max);
        Need { deadline: max(|n| n.deadline) * slack, long: max(|n| n.long) * slack }
    }

    /// Endpoints that are about to leave and cost until then.
    fn leaving(&self) -> Mix {
        let draining: IndexSet<&Name> = self.draining().collect();
        let leaving =
            |e: &&Endpoint| e.state == EndpointState::Leaving || draining.contains(&e.name);
        let of = |kind| self.endpoints.values().filter(leaving).filter(|e| e.kind == kind).count();
        Mix { standard: of(Kind::Standard), cheap: of(Kind::Cheap) }
    }

    /// Present and leaving endpoints, as a plan uses them.
    pub(crate) fn inventory(
        &self,
        counts_by_zone: &IndexMap<Name, [Counts; 2]>,
        now: Mono,
    ) -> Inventory {
        let all = |t: &Counts| t.live + t.starting;
        let sum = |of: &dyn Fn(&Counts) -> usize| Mix {
            standard: counts_by_zone.values().map(|t| of(&t[Kind::Standard as usize])).sum(),
            cheap: counts_by_zone.values().map(|t| of(&t[Kind::Cheap as usize])).sum(),
        };
        let peak = counts_by_zone.values().map(|t| all(&t[Kind::Cheap as usize])).max();
        Inventory {
            present: sum(&all),
            free: sum(&|t: &Counts| t.declared),
            leaving: self.leaving(),
            peak: peak.unwrap_or(0),
            zones: self.available_zones(Kind::Cheap, now).len(),
        }
    }
}
