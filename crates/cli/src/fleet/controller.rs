//! Controls the endpoints of one pool while its lease is held: runs the pure controller and
//! executes its actions on the platform and the store.
//!
//! The lease is checked again immediately before every write, order and release.

use {
    super::{
        Fleet,
        metrics::FleetMetrics,
        pool,
        round::{RoundRequest, RoundState, handle},
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
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of candidates for each pool's lease.
const CANDIDATES: usize = 3;
/// Maximum lifetime of an order: the platform executes it within this time or never.
const ORDER_LIFE: Duration = Duration::from_secs(5);
/// Maximum age of the list of endpoints that plans are based on.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

pub(super) struct PoolController {
    fleet: Arc<Fleet>,
    pool: String,
    lease: Lease,
    state: State,
    rounds: RoundState,
    /// Fencing token of the current term.
    fence: Option<FenceToken>,
    revision: Revision,
    /// Content of the last attempted write.
    last_written: Vec<u8>,
}

impl PoolController {
    pub fn open(fleet: Arc<Fleet>, name: String) -> Option<Self> {
        let settings = pool::settings(&fleet.served.document(), &name, &fleet.region)?;
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
            rounds: RoundState::default(),
            fence: None,
            revision: 0,
            last_written: Vec::new(),
        })
    }

    /// Runs until the pool no longer takes orders or the instance stops.
    pub async fn run(mut self) {
        loop {
            let document = self.fleet.served.document();
            let Some(settings) = pool::settings(&document, &self.pool, &self.fleet.region) else {
                break;
            };
            if self.fleet.stopping.is_cancelled() {
                break;
            }
            self.state.set_settings(settings);
            self.update_candidacy();
            match self.lease.may_act() {
                Some(fence) => self.run_round(fence).await,
                None => self.end_term(),
            }
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => {}
                () = self.fleet.stopping.cancelled() => {}
            }
        }
        self.lease.release().await;
        self.fleet.leases.lock().expect("no panic while locked").shift_remove(&self.pool);
    }

    fn update_candidacy(&self) {
        let live = self.fleet.mesh.live();
        let names = live.iter().map(|m| &*m.name).chain([&*self.fleet.name]);
        let lease = format!("fleet/{}/{}", self.fleet.region, self.pool);
        let wanted = candidates(&lease, names, CANDIDATES).contains(&&*self.fleet.name);
        self.lease.set_candidate(wanted);
    }

    fn end_term(&mut self) {
        if self.fence.take().is_some() {
            let _ = step(&mut self.state, Input::Lost, self.fleet.proxy_state.now());
        }
    }

    async fn run_round(&mut self, fence: FenceToken) {
        if self.fence != Some(fence) && !self.take_over(fence).await {
            return;
        }
        let drains: Vec<String> = self.state.draining().map(|n| n.to_string()).collect();
        let request = RoundRequest { pool: self.pool.clone(), drains };
        let (proxy_state, served) = (&self.fleet.proxy_state, &self.fleet.served);
        let own = handle(proxy_state, served, &request);
        let found = self.rounds.poll(&self.fleet.mesh, own, &request, proxy_state.now()).await;
        for name in found.idle {
            self.apply_input(Input::Idle(name.as_str().into())).await;
        }
        if let Some([deadline, long]) = found.rate {
            self.apply_input(Input::Observed { deadline, long }).await;
        }
        let (listed, read) = self.fleet.served.listed();
        let now = self.fleet.proxy_state.now();
        if read.is_some_and(|at| now < at + MAX_LIST_AGE) {
            let document = self.fleet.served.document();
            let list = pool::endpoints(&document, &self.pool, &self.fleet.region, &listed);
            self.apply_input(Input::Listed(list)).await;
            self.apply_input(Input::Tick).await;
        }
        self.fleet
            .metrics
            .ordered
            .with_label_values(&[&self.pool])
            .set(self.state.ordered() as i64);
    }

    /// Starts a term with the record of the last holder; false if that failed.
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
        let now = self.fleet.proxy_state.now();
        // The lease is checked before every action, so the controller needs no end of authority.
        let grant = Grant { fence, until: Duration::MAX, first_order: now + wait };
        self.revision = found.as_ref().map_or(0, |r| r.revision);
        self.fence = Some(fence);
        self.rounds = RoundState::default();
        let _ = step(&mut self.state, Input::Granted(grant, record), now);
        true
    }

    fn key(&self) -> String {
        format!("fleet/{}/{}", self.fleet.region, self.pool)
    }

    /// Passes an input to the controller and executes the resulting actions.
    async fn apply_input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in step(&mut self.state, input, self.fleet.proxy_state.now()) {
                // A term that has ended executes no more actions.
                if self.fence.is_none() || self.lease.may_act() != self.fence {
                    self.end_term();
                    return;
                }
                inputs.push(self.execute(action).await);
            }
        }
    }

    async fn execute(&mut self, action: Action) -> Input {
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
                Input::Responded(
                    token.clone(),
                    record_outcome("order", result, &self.fleet.metrics),
                )
            }
            Action::Release { endpoint, token } => {
                let release = Release { endpoint: &endpoint, token: &token };
                let result = platform::release(&http, &release).await;
                Input::Responded(
                    token.clone(),
                    record_outcome("release", result, &self.fleet.metrics),
                )
            }
        }
    }

    async fn write(&mut self, number: u64, bytes: Vec<u8>) -> Input {
        let last = std::mem::replace(&mut self.last_written, bytes.clone());
        let store = self.fleet.store.clone();
        match store.swap(Purpose::Record, self.key(), self.revision, bytes).await {
            Ok(Ok(revision)) => {
                self.revision = revision;
                Input::Recorded(number)
            }
            Ok(Err(found)) => {
                // If the stored record is this holder's previous write, that write succeeded after
                // all and the new content is written again. Any other record was written by a later
                // lease holder.
                match found {
                    Some(r) if r.value == last => self.revision = r.revision,
                    _ => {
                        log::warn!("{}: another holder wrote the record", self.key());
                        self.end_term();
                    }
                }
                Input::RecordFailed
            }
            Err(e) => {
                log::warn!("{e}");
                Input::RecordFailed
            }
        }
    }
}

fn record_outcome(call: &str, result: Result<(), Error>, metrics: &FleetMetrics) -> Outcome {
    let (outcome, label) = match &result {
        Ok(()) => (Outcome::Accepted, "taken"),
        Err(Error::Refused { .. }) => (Outcome::Refused, "refused"),
        Err(Error::Unknown { .. }) => (Outcome::Unknown, "unknown"),
    };
    if let Err(e) = result {
        log::info!("{e}");
    }
    metrics.calls.with_label_values(&[call, label]).inc();
    outcome
}
