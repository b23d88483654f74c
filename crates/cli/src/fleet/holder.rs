//! Holder of the lease of one pool: runs the pure controller over the platform and the store.
//!
//! Authority is asked for again at the last step before every write, order and release.

use {
    super::{
        Fleet,
        meter::Meter,
        pool,
        round::{Ask, Rounds, answer},
    },
    agate_core::FenceToken,
    agate_fleet::{Action, Grant, Input, Kind, Outcome, Record, State, decode, step},
    agate_lease::{Lease, Settings as LeaseSettings, rank::candidates},
    agate_native::fleet::{self as platform, Error, Order, Release},
    agate_store::{Purpose, Revision},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Candidates of each pool's lease.
const CANDIDATES: usize = 3;
/// Longest life of an order: the platform carries it out within this time or never.
const ORDER_LIFE: Duration = Duration::from_secs(5);
/// Age at which the list of endpoints is too old to plan by.
const LIST_AGE: Duration = Duration::from_secs(10);

pub(super) struct Holder {
    fleet: Arc<Fleet>,
    pool: String,
    lease: Lease,
    state: State,
    rounds: Rounds,
    /// Token under which the controller runs.
    fence: Option<FenceToken>,
    revision: Revision,
    /// Last content written or tried.
    written: Vec<u8>,
}

impl Holder {
    pub fn open(fleet: Arc<Fleet>, name: String) -> Option<Self> {
        let settings = pool::settings(&fleet.serving.document(), &name, &fleet.region)?;
        let lease_name = format!("fleet/{}/{name}", fleet.region);
        let holder = format!("{}@{:016x}", fleet.name, rand::random::<u64>());
        let lease = Lease::spawn(fleet.store.clone(), LeaseSettings::new(lease_name, holder));
        let mut leases = fleet.leases.lock().expect("no panic while locked");
        leases.insert(name.clone(), lease.clone());
        drop(leases);
        Some(Self {
            state: State::new(settings),
            fleet,
            pool: name,
            lease,
            rounds: Rounds::default(),
            fence: None,
            revision: 0,
            written: Vec::new(),
        })
    }

    /// Runs until the pool takes no more orders or the instance stops.
    pub async fn run(mut self) {
        loop {
            let document = self.fleet.serving.document();
            let Some(settings) = pool::settings(&document, &self.pool, &self.fleet.region) else {
                break;
            };
            if self.fleet.stopping.is_cancelled() {
                break;
            }
            self.state.set_settings(settings);
            self.stand();
            match self.lease.may_act() {
                Some(fence) => self.round(fence).await,
                None => self.lose(),
            }
            tokio::select! {
                () = sleep(ROUND) => {}
                () = self.fleet.stopping.cancelled() => {}
            }
        }
        self.lease.release().await;
        self.fleet.leases.lock().expect("no panic while locked").shift_remove(&self.pool);
    }

    fn stand(&self) {
        let live = self.fleet.mesh.live();
        let names = live.iter().map(|m| &*m.name).chain([&*self.fleet.name]);
        let lease = format!("fleet/{}/{}", self.fleet.region, self.pool);
        let wanted = candidates(&lease, names, CANDIDATES).contains(&&*self.fleet.name);
        self.lease.set_wanted(wanted);
    }

    fn lose(&mut self) {
        if self.fence.take().is_some() {
            let _ = step(&mut self.state, Input::Lost, self.fleet.gate.now());
        }
    }

    async fn round(&mut self, fence: FenceToken) {
        if self.fence != Some(fence) && !self.take_over(fence).await {
            return;
        }
        let drains: Vec<String> = self.state.draining().map(|n| n.to_string()).collect();
        let ask = Ask { pool: self.pool.clone(), drains };
        let (gate, serving) = (&self.fleet.gate, &self.fleet.serving);
        let own = answer(gate, serving, &ask);
        let found = self.rounds.ask(&self.fleet.mesh, own, &ask, gate.now()).await;
        for name in found.idle {
            self.feed(Input::Idle(name.as_str().into())).await;
        }
        if let Some([deadline, long]) = found.rate {
            self.feed(Input::Observed { deadline, long }).await;
        }
        let (listed, read) = self.fleet.serving.listed();
        let now = self.fleet.gate.now();
        if read.is_some_and(|at| now < at + LIST_AGE) {
            let document = self.fleet.serving.document();
            let list = pool::endpoints(&document, &self.pool, &self.fleet.region, &listed);
            self.feed(Input::Listed(list)).await;
            self.feed(Input::Tick).await;
        }
        self.fleet.meter.ordered.with_label_values(&[&self.pool]).set(self.state.ordered() as i64);
    }

    /// Begins a term with the record of the last holder.
    async fn take_over(&mut self, fence: FenceToken) -> bool {
        let found = match self.fleet.store.get(Purpose::Record, self.key()).await {
            Ok(found) => found,
            Err(e) => {
                log::warn!("{e}");
                return false;
            }
        };
        let record = match &found {
            None => Record::default(),
            Some(r) => match decode(&r.value) {
                Ok(record) => record,
                Err(e) => {
                    log::error!("{}: {e}", self.key());
                    return false;
                }
            },
        };
        let Some(wait) = self.lease.first_order_in(ORDER_LIFE) else { return false };
        let now = self.fleet.gate.now();
        // The lease itself is asked before every act, so the controller needs no end.
        let grant = Grant { fence, until: Duration::MAX, first_order: now + wait };
        self.revision = found.as_ref().map_or(0, |r| r.revision);
        self.fence = Some(fence);
        self.rounds = Rounds::default();
        let _ = step(&mut self.state, Input::Granted(grant, record), now);
        true
    }

    fn key(&self) -> String {
        format!("fleet/{}/{}", self.fleet.region, self.pool)
    }

    /// Feeds an input and carries out what follows.
    async fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in step(&mut self.state, input, self.fleet.gate.now()) {
                // A term that ended meanwhile carries out nothing more.
                if self.fence.is_none() || self.lease.may_act() != self.fence {
                    self.lose();
                    return;
                }
                inputs.push(self.carry_out(action).await);
            }
        }
    }

    async fn carry_out(&mut self, action: Action) -> Input {
        let http = self.fleet.http.clone();
        match action {
            Action::Write { number, bytes } => self.write(number, bytes).await,
            Action::Order { zone, kind, count, token } => {
                let kind = match kind {
                    Kind::Standard => platform::Kind::Standard,
                    Kind::Cheap => platform::Kind::Cheap,
                };
                let (zone, pool) = (&*zone, &*self.pool);
                let order = Order { zone, pool, kind, count, token: &token };
                let result = platform::order(&http, &order).await;
                Input::Answered(token.clone(), outcome("order", result, &self.fleet.meter))
            }
            Action::Release { endpoint, token } => {
                let release = Release { endpoint: &endpoint, token: &token };
                let result = platform::release(&http, &release).await;
                Input::Answered(token.clone(), outcome("release", result, &self.fleet.meter))
            }
        }
    }

    async fn write(&mut self, number: u64, bytes: Vec<u8>) -> Input {
        let last = std::mem::replace(&mut self.written, bytes.clone());
        let store = self.fleet.store.clone();
        match store.swap(Purpose::Record, self.key(), self.revision, bytes).await {
            Ok(Ok(revision)) => {
                self.revision = revision;
                Input::Recorded(number)
            }
            Ok(Err(found)) => {
                // A record that this holder tried to write took effect after all; it is written
                // again. Any other was written by someone who held the lease later.
                match found {
                    Some(r) if r.value == last => self.revision = r.revision,
                    _ => {
                        log::warn!("{}: another holder wrote the record", self.key());
                        self.lose();
                    }
                }
                Input::Unrecorded
            }
            Err(e) => {
                log::warn!("{e}");
                Input::Unrecorded
            }
        }
    }
}

fn outcome(call: &str, result: Result<(), Error>, meter: &Meter) -> Outcome {
    let (outcome, label) = match &result {
        Ok(()) => (Outcome::Taken, "taken"),
        Err(Error::Refused { .. }) => (Outcome::Refused, "refused"),
        Err(Error::Unknown { .. }) => (Outcome::Unknown, "unknown"),
    };
    if let Err(e) = result {
        log::info!("{e}");
    }
    meter.calls.with_label_values(&[call, label]).inc();
    outcome
}
