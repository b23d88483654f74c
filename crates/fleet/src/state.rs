//! State of the control of one pool.

use {
    crate::{
        Endpoint, Fit, Grant, Intent, Kind, Life, Mix, Name, Need, Record, Settings, What,
        intent::name_hash,
    },
    agate_core::{FenceToken, Forecast, Mono},
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, time::Duration},
};

/// An intention and how far it has got under the present holder.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub intent: Intent,
    /// Number of the first write that holds it; zero if it was found in the store.
    pub stamp: u64,
    /// When it was made or found.
    pub since: Mono,
    /// When it was last sent.
    pub sent: Option<Mono>,
    /// Whether the platform may have been told of it.
    pub told: bool,
    /// Whether the platform took it.
    pub taken: bool,
    /// Whether the endpoint to release has no request left.
    pub idle: bool,
}

impl Pending {
    pub fn new(intent: Intent, stamp: u64, now: Mono) -> Self {
        let told = stamp == 0;
        Self { intent, stamp, since: now, sent: None, told, taken: false, idle: false }
    }

    /// Name of the endpoint to release, if it is a release.
    pub fn released(&self) -> Option<&Name> {
        match &self.intent.what {
            What::Release { endpoint } => Some(endpoint),
            What::Order { .. } => None,
        }
    }
}

/// Writing of the record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Writing {
    pub dirty: bool,
    /// Number of the next write.
    pub next: u64,
    pub running: Option<u64>,
    /// Number of the last write that is known to have taken effect.
    pub durable: u64,
    pub written: Option<Mono>,
}

/// A kind that is not ordered in an availability zone for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pub until: Mono,
    pub delay: Duration,
}

/// Endpoints of one kind in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Serving and staying.
    pub live: usize,
    /// Ordered and not serving yet.
    pub coming: usize,
    /// Those of the serving ones that the configuration declares.
    pub fixed: usize,
}

/// State of the control of one pool.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) forecast: Forecast<2>,
    /// Needs of the last while, for releases.
    pub(crate) needs: VecDeque<(Mono, Need)>,
    pub(crate) endpoints: IndexMap<Name, Endpoint>,
    pub(crate) listed: bool,
    pub(crate) grant: Option<Grant>,
    pub(crate) since: Mono,
    /// Fencing token of the last grant.
    pub(crate) fence: Option<FenceToken>,
    pub(crate) pending: Vec<Pending>,
    pub(crate) known: IndexSet<u32>,
    pub(crate) sequence: u32,
    pub(crate) record: Writing,
    pub(crate) refused: IndexMap<(Name, Kind), Backoff>,
    pub(crate) planned: Option<Mono>,
    /// Need that the last plan could not serve.
    pub(crate) short: Need,
}

impl State {
    /// Starts without authority.
    pub fn new(settings: Settings) -> Self {
        let (fast, slow) = settings.lags;
        Self {
            settings,
            forecast: Forecast::new(fast, slow),
            needs: VecDeque::new(),
            endpoints: IndexMap::new(),
            listed: false,
            grant: None,
            since: Mono::ZERO,
            fence: None,
            pending: Vec::new(),
            known: IndexSet::new(),
            sequence: 0,
            record: Writing { dirty: false, next: 1, running: None, durable: 0, written: None },
            refused: IndexMap::new(),
            planned: None,
            short: Need::default(),
        }
    }

    /// Takes over changed settings; what was ordered stays.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Endpoints that are to get no new work because they will be released.
    pub fn draining(&self) -> impl Iterator<Item = &Name> {
        self.pending.iter().filter_map(Pending::released)
    }

    /// Endpoints ordered and not listed yet.
    pub fn ordered(&self) -> usize {
        let left = self.pending.iter().map(|p| match p.intent.what {
            What::Order { left, .. } => left as usize,
            What::Release { .. } => 0,
        });
        left.sum()
    }

    /// Need that the last plan gave up for the budget or the maximum.
    pub fn short(&self) -> Need {
        self.short
    }

    /// The intentions as the record holds them.
    pub fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.pending.iter().map(|p| &p.intent)
    }

    pub(crate) fn record(&self) -> Record {
        Record { intents: self.intents().cloned().collect(), known: self.known.clone() }
    }

    /// Marks the record as changed; returns the number of the write that will hold the change.
    pub(crate) fn touch(&mut self) -> u64 {
        self.record.dirty = true;
        self.record.next
    }

    /// Adds an intention.
    pub(crate) fn intend(&mut self, what: What, grant: &Grant, now: Mono) {
        let intent = Intent { fence: grant.fence, sequence: self.sequence, what };
        self.sequence += 1;
        let stamp = self.touch();
        log::debug!(step = "plan", peer:% = self.settings.pool; "{:?}", intent.what);
        self.pending.push(Pending::new(intent, stamp, now));
    }

    /// Endpoints by availability zone and kind, those under release left out.
    pub(crate) fn tallies(&self) -> IndexMap<Name, [Tally; 2]> {
        let zones = self.settings.zones.iter().cloned();
        let mut out: IndexMap<_, _> = zones.map(|z| (z, <[Tally; 2]>::default())).collect();
        let gone: IndexSet<&Name> = self.draining().collect();
        for e in self.endpoints.values().filter(|e| !gone.contains(&e.name)) {
            let tally = &mut out.entry(e.zone.clone()).or_default()[e.kind as usize];
            match e.life {
                Life::Live => {
                    tally.live += 1;
                    tally.fixed += usize::from(e.fixed);
                }
                Life::Ordered => tally.coming += 1,
                Life::Leaving => {}
            }
        }
        for p in &self.pending {
            if let What::Order { zone, kind, left, .. } = &p.intent.what {
                out.entry(zone.clone()).or_default()[*kind as usize].coming += *left as usize;
            }
        }
        out
    }

    /// Takes over the list of endpoints; new names are what was ordered.
    pub(crate) fn take_list(&mut self, list: Vec<Endpoint>, now: Mono) {
        self.listed = true;
        let endpoints = list.into_iter().map(|e| (e.name.clone(), e)).collect();
        let old = std::mem::replace(&mut self.endpoints, endpoints);
        let hashes: IndexSet<u32> = self.endpoints.keys().map(|n| name_hash(n)).collect();
        for i in 0..self.endpoints.len() {
            let e = self.endpoints[i].clone();
            if !e.fixed && !self.known.contains(&name_hash(&e.name)) {
                self.arrived(&e);
            }
            let stayed = old.get(&e.name).is_none_or(|o| o.life != Life::Leaving);
            if e.kind == Kind::Cheap && e.life == Life::Leaving && stayed {
                self.refuse(&e.zone, e.kind, now);
            }
        }
        if hashes != self.known {
            self.known = hashes;
            self.touch();
        }
        let before = self.pending.len();
        let endpoints = &self.endpoints;
        self.pending.retain(|p| match &p.intent.what {
            What::Release { endpoint } => endpoints.contains_key(endpoint),
            What::Order { left, .. } => *left > 0,
        });
        if self.pending.len() != before {
            self.touch();
        }
    }

    /// Counts an endpoint towards the oldest order that it can belong to.
    fn arrived(&mut self, e: &Endpoint) {
        for p in &mut self.pending {
            if let What::Order { zone, kind, left, .. } = &mut p.intent.what
                && *left > 0
                && (&*zone, *kind) == (&e.zone, e.kind)
            {
                *left -= 1;
                // Arrival proves that the kind can be had again.
                self.refused.swap_remove(&(e.zone.clone(), e.kind));
                return;
            }
        }
    }

    /// Stops ordering a kind in an availability zone for a while, longer each time.
    pub(crate) fn refuse(&mut self, zone: &Name, kind: Kind, now: Mono) {
        let (least, most) = self.settings.backoff;
        let key = (zone.clone(), kind);
        let delay = match self.refused.get(&key) {
            Some(b) if now < b.until => return,
            Some(b) => (b.delay * 2).min(most),
            None => least,
        };
        self.refused.insert(key, Backoff { until: now + delay, delay });
    }

    /// Availability zones in which a kind may be ordered now.
    pub(crate) fn open_zones(&self, kind: Kind, now: Mono) -> Vec<Name> {
        let open = |z: &&Name| {
            let refused = self.refused.get(&((*z).clone(), kind));
            refused.is_none_or(|b| now >= b.until)
        };
        self.settings.zones.iter().filter(open).cloned().collect()
    }

    /// The greatest need of the last while, with slack.
    pub(crate) fn lasting_need(&self) -> Need {
        let slack = 1.0 + self.settings.slack;
        let max = |of: fn(&Need) -> f64| self.needs.iter().map(|(_, n)| of(n)).fold(0.0, f64::max);
        Need { deadline: max(|n| n.deadline) * slack, long: max(|n| n.long) * slack }
    }

    /// Endpoints that will go and still cost until then.
    fn going(&self) -> Mix {
        let gone: IndexSet<&Name> = self.draining().collect();
        let going = |e: &&Endpoint| e.life == Life::Leaving || gone.contains(&e.name);
        let of = |kind| self.endpoints.values().filter(going).filter(|e| e.kind == kind).count();
        Mix { standard: of(Kind::Standard), cheap: of(Kind::Cheap) }
    }

    /// What there is, for a plan.
    pub(crate) fn fit(&self, tallies: &IndexMap<Name, [Tally; 2]>, now: Mono) -> Fit {
        let all = |t: &Tally| t.live + t.coming;
        let sum = |of: &dyn Fn(&Tally) -> usize| Mix {
            standard: tallies.values().map(|t| of(&t[Kind::Standard as usize])).sum(),
            cheap: tallies.values().map(|t| of(&t[Kind::Cheap as usize])).sum(),
        };
        let peak = tallies.values().map(|t| all(&t[Kind::Cheap as usize])).max();
        Fit {
            least: sum(&all),
            free: sum(&|t: &Tally| t.fixed),
            going: self.going(),
            peak: peak.unwrap_or(0),
            zones: self.open_zones(Kind::Cheap, now).len(),
        }
    }
}
