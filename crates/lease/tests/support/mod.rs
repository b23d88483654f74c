//! Simulation of several holders of one lease, the model of the service and the calls between them,
//! under one clock.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod fingerprint;

use {
    agate_core::{FenceToken, Mono},
    agate_lease::{
        machine::{self, Action, CallResult, Input, Observed, Settings, State, StoredRecord},
        record,
    },
    agate_store::{Call, StoreResponse, model::Model},
    std::time::Duration,
};

/// Fault injected into the machine, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No fault.
    None,
    /// The holder's deadline counts from the response.
    DeadlineFromResponse,
    /// The candidate's wait counts from its request.
    WaitFromRequest,
    /// The holder acts until the end of the lease, without a margin.
    NoMargin,
    /// Every term has the same token.
    SameToken,
}

/// Pending call: its request until it is applied, then its result until it is delivered.
#[derive(Clone, Debug, Hash)]
pub struct NetworkCall {
    pub who: usize,
    pub id: u64,
    pub request: Option<Call>,
    pub response: Option<CallResult>,
}

#[derive(Clone, Hash)]
pub struct Simulation {
    pub fault: Fault,
    pub now: Mono,
    pub rates: Vec<u32>,
    pub machines: Vec<State>,
    pub network: Vec<NetworkCall>,
    pub model: Model,
    /// Greatest token that acted, and the holder that acted with it.
    pub last_acted: (FenceToken, String),
    pub terms_begun: u32,
}

pub fn settings(name: String, unit: Duration, times: [u32; 6]) -> Settings {
    let [ttl, margin, renew, poll, retry, timeout] = times.map(|t| unit * t);
    Settings { name: "x".into(), holder: name, ttl, margin, renew, poll, retry, timeout }
}

impl Simulation {
    pub fn new(fault: Fault, rates: &[u32], make: impl Fn(String) -> Settings) -> Self {
        let machines = (0..rates.len()).map(|i| State::new(make(format!("h{i}")))).collect();
        Self {
            fault,
            now: Mono::ZERO,
            rates: rates.to_vec(),
            machines,
            network: Vec::new(),
            model: Model::new(),
            last_acted: (0, String::new()),
            terms_begun: 0,
        }
    }

    /// Time on the clock of one machine, whose rate is in parts per thousand.
    pub fn local(&self, who: usize) -> Mono {
        self.now * self.rates[who] / 1000
    }

    pub fn due(&self, who: usize) -> bool {
        machine::next_wake(&self.machines[who]).is_some_and(|at| at <= self.local(who))
    }

    pub fn step(&mut self, who: usize, input: Input) {
        let now = self.local(who);
        let answered = matches!(input, Input::Completed { .. });
        let sent = self.machines[who].pending_call.as_ref().map(|f| f.sent);
        let actions = machine::step(&mut self.machines[who], input, now);
        for action in actions {
            match action {
                Action::Read { id } => self.send(who, id, Call::Get { key: "lease/x".into() }),
                Action::Write { id, expect, mut body } => {
                    if self.fault == Fault::SameToken {
                        body.token = 1;
                    }
                    let (key, value) = ("lease/x".into(), Some(record::encode(&body)));
                    self.send(who, id, Call::Swap { key, expect, value, lease: None });
                }
                Action::TermBegan(_) => self.terms_begun += 1,
                Action::TermEnded(_) => {}
            }
        }
        self.inject_fault(who, answered, sent);
    }

    /// Drops calls that have timed out, except writes that can still take effect.
    pub fn drop_stale(&mut self) {
        let key = "lease/x".to_owned();
        let Ok(StoreResponse::Value(present)) = self.model.apply(&Call::Get { key }, self.now)
        else {
            return;
        };
        let revision = present.map_or(0, |r| r.revision);
        let machines = &self.machines;
        self.network.retain(|n| {
            let pending = machines[n.who].pending_call.as_ref().is_some_and(|f| f.id == n.id);
            let open = matches!(n.request, Some(Call::Swap { expect, .. }) if expect == revision);
            pending || open
        });
    }

    /// Applies the injected fault.
    fn inject_fault(&mut self, who: usize, answered: bool, sent: Option<Mono>) {
        let now = self.local(who);
        let s = &mut self.machines[who];
        let (ttl, margin) = (s.settings.ttl, s.settings.margin);
        match (self.fault, &mut s.term, &mut s.observed) {
            (Fault::DeadlineFromResponse, Some(t), _) if answered => t.ends_at = now + ttl - margin,
            (Fault::NoMargin, Some(t), _) if answered => {
                t.ends_at = sent.map_or(t.ends_at, |s| t.ends_at.max(s + ttl));
            }
            (Fault::WaitFromRequest, _, Observed::Present { since, .. }) if *since == now => {
                *since = sent.unwrap_or(now);
                s.next_call = s.next_call.min(*since + ttl);
            }
            (Fault::SameToken, _, _) => (s.max_token, s.ended_token) = (0, 0),
            _ => {}
        }
    }

    fn send(&mut self, who: usize, id: u64, call: Call) {
        self.network.push(NetworkCall { who, id, request: Some(call), response: None });
        // The network loses the oldest call if one machine has too many.
        if self.network.iter().filter(|n| n.who == who).count() > 2 {
            let oldest = self.network.iter().position(|n| n.who == who).unwrap();
            self.network.remove(oldest);
        }
    }

    /// Applies the request of call `i`.
    pub fn apply_request(&mut self, i: usize) {
        let Some(call) = self.network[i].request.take() else { return };
        let found = |r: agate_store::Record| StoredRecord {
            revision: r.revision,
            body: record::decode("lease/x", &r.value).unwrap(),
        };
        self.network[i].response = Some(match self.model.apply(&call, self.now).unwrap() {
            StoreResponse::Swapped(r) => CallResult::Written(r),
            StoreResponse::Value(r) | StoreResponse::Conflict(r) => {
                CallResult::Record(r.map(found))
            }
            other => panic!("{other:?}"),
        });
    }

    /// Completes call `i` with its result, or with `fallback` if it has none.
    pub fn deliver(&mut self, i: usize, fallback: CallResult) {
        let net = self.network.remove(i);
        let result = net.response.unwrap_or(fallback);
        self.step(net.who, Input::Completed { id: net.id, result });
    }

    /// Reports an unknown result to the caller of call `i`; a write remains in the network.
    pub fn lose_result(&mut self, i: usize) {
        let (who, id) = (self.network[i].who, self.network[i].id);
        if !self.network[i].request.as_ref().is_some_and(Call::is_write) {
            self.network.remove(i);
        }
        self.step(who, Input::Completed { id, result: CallResult::Unknown });
    }

    pub fn acting(&self) -> Vec<(usize, FenceToken)> {
        let act = |i: usize| machine::may_act(&self.machines[i], self.local(i)).map(|t| (i, t));
        (0..self.machines.len()).filter_map(act).collect()
    }

    /// Checks that at most one instance acts, with its own token, and that this token is above all
    /// that acted before.
    pub fn check(&mut self) -> Result<(), String> {
        let acting = self.acting();
        if acting.len() > 1 {
            return Err(format!("several act: {acting:?}"));
        }
        let Some(&(who, token)) = acting.first() else { return Ok(()) };
        let holder = &self.machines[who].settings.holder;
        if token < self.last_acted.0 || (token == self.last_acted.0 && *holder != self.last_acted.1)
        {
            return Err(format!("token {token} of {holder} after {:?}", self.last_acted));
        }
        self.last_acted = (token, holder.clone());
        Ok(())
    }
}
