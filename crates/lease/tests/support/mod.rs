//! Several holders of one lease, the service's model, and the calls between them, under one clock.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod fingerprint;

use {
    agate_core::{FenceToken, Mono},
    agate_lease::{
        machine::{self, Action, Answer, Found, Input, Settings, State, View},
        record,
    },
    agate_store::{Call, Reply, model::Model},
    std::time::Duration,
};

/// A fault planted in the machine, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Plant {
    /// None: the machine as it is.
    Sound,
    /// The holder's deadline counts from the answer.
    DeadlineFromAnswer,
    /// The candidate's wait counts from its request.
    WaitFromRequest,
    /// The holder acts to the end of the lease, without a margin.
    NoMargin,
    /// Every term has the same token.
    SameToken,
}

/// A call under way: its request until applied, then its reply until delivered.
#[derive(Clone, Debug, Hash)]
pub struct Net {
    pub who: usize,
    pub id: u64,
    pub request: Option<Call>,
    pub reply: Option<Answer>,
}

#[derive(Clone, Hash)]
pub struct World {
    pub plant: Plant,
    pub now: Mono,
    pub rates: Vec<u32>,
    pub machines: Vec<State>,
    pub nets: Vec<Net>,
    pub model: Model,
    /// Greatest token that acted, and who acted with it.
    pub acted: (FenceToken, String),
    pub gains: u32,
}

pub fn settings(name: String, unit: Duration, times: [u32; 6]) -> Settings {
    let [ttl, margin, renew, poll, retry, timeout] = times.map(|t| unit * t);
    Settings { name: "x".into(), holder: name, ttl, margin, renew, poll, retry, timeout }
}

impl World {
    pub fn new(plant: Plant, rates: &[u32], make: impl Fn(String) -> Settings) -> Self {
        let machines = (0..rates.len()).map(|i| State::new(make(format!("h{i}")))).collect();
        Self {
            plant,
            now: Mono::ZERO,
            rates: rates.to_vec(),
            machines,
            nets: Vec::new(),
            model: Model::new(),
            acted: (0, String::new()),
            gains: 0,
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
        let answered = matches!(input, Input::Answer { .. });
        let sent = self.machines[who].flight.as_ref().map(|f| f.sent);
        let actions = machine::step(&mut self.machines[who], input, now);
        for action in actions {
            match action {
                Action::Read { id } => self.send(who, id, Call::Get { key: "lease/x".into() }),
                Action::Write { id, expect, mut body } => {
                    if self.plant == Plant::SameToken {
                        body.token = 1;
                    }
                    let (key, value) = ("lease/x".into(), Some(record::encode(&body)));
                    self.send(who, id, Call::Swap { key, expect, value, lease: None });
                }
                Action::Gained(_) => self.gains += 1,
                Action::Lost(_) => {}
            }
        }
        self.spoil(who, answered, sent);
    }

    /// Drops calls that were given up, but for writes that can still take effect.
    pub fn drop_stale(&mut self) {
        let key = "lease/x".to_owned();
        let Ok(Reply::Value(present)) = self.model.apply(&Call::Get { key }, self.now) else {
            return;
        };
        let revision = present.map_or(0, |r| r.revision);
        let machines = &self.machines;
        self.nets.retain(|n| {
            let flying = machines[n.who].flight.as_ref().is_some_and(|f| f.id == n.id);
            let open = matches!(n.request, Some(Call::Swap { expect, .. }) if expect == revision);
            flying || open
        });
    }

    /// Carries out the planted fault.
    fn spoil(&mut self, who: usize, answered: bool, sent: Option<Mono>) {
        let now = self.local(who);
        let s = &mut self.machines[who];
        let (ttl, margin) = (s.settings.ttl, s.settings.margin);
        match (self.plant, &mut s.term, &mut s.view) {
            (Plant::DeadlineFromAnswer, Some(t), _) if answered => t.until = now + ttl - margin,
            (Plant::NoMargin, Some(t), _) if answered => {
                t.until = sent.map_or(t.until, |s| t.until.max(s + ttl));
            }
            (Plant::WaitFromRequest, _, View::Present { since, .. }) if *since == now => {
                *since = sent.unwrap_or(now);
                s.next = s.next.min(*since + ttl);
            }
            (Plant::SameToken, _, _) => (s.greatest, s.ended) = (0, 0),
            _ => {}
        }
    }

    fn send(&mut self, who: usize, id: u64, call: Call) {
        self.nets.push(Net { who, id, request: Some(call), reply: None });
        // The network loses the oldest of too many calls of one machine.
        if self.nets.iter().filter(|n| n.who == who).count() > 2 {
            let oldest = self.nets.iter().position(|n| n.who == who).unwrap();
            self.nets.remove(oldest);
        }
    }

    /// Lets the request of call `i` take effect.
    pub fn apply(&mut self, i: usize) {
        let Some(call) = self.nets[i].request.take() else { return };
        let found = |r: agate_store::Record| Found {
            revision: r.revision,
            body: record::decode("lease/x", &r.value).unwrap(),
        };
        self.nets[i].reply = Some(match self.model.apply(&call, self.now).unwrap() {
            Reply::Swapped(r) => Answer::Written(r),
            Reply::Value(r) | Reply::Conflict(r) => Answer::Record(r.map(found)),
            other => panic!("{other:?}"),
        });
    }

    /// Ends call `i` with its reply, or with `answer` if it has none.
    pub fn deliver(&mut self, i: usize, answer: Answer) {
        let net = self.nets.remove(i);
        let answer = net.reply.unwrap_or(answer);
        self.step(net.who, Input::Answer { id: net.id, answer });
    }

    /// Tells the caller of call `i` that its outcome is unknown; a write stays on its way.
    pub fn lose(&mut self, i: usize) {
        let (who, id) = (self.nets[i].who, self.nets[i].id);
        if !self.nets[i].request.as_ref().is_some_and(Call::is_write) {
            self.nets.remove(i);
        }
        self.step(who, Input::Answer { id, answer: Answer::Unknown });
    }

    pub fn acting(&self) -> Vec<(usize, FenceToken)> {
        let act = |i: usize| machine::may_act(&self.machines[i], self.local(i)).map(|t| (i, t));
        (0..self.machines.len()).filter_map(act).collect()
    }

    /// At most one acts, and its token is its own and above all that acted before.
    pub fn check(&mut self) -> Result<(), String> {
        let acting = self.acting();
        if acting.len() > 1 {
            return Err(format!("several act: {acting:?}"));
        }
        let Some(&(who, token)) = acting.first() else { return Ok(()) };
        let holder = &self.machines[who].settings.holder;
        if token < self.acted.0 || (token == self.acted.0 && *holder != self.acted.1) {
            return Err(format!("token {token} of {holder} after {:?}", self.acted));
        }
        self.acted = (token, holder.clone());
        Ok(())
    }
}
