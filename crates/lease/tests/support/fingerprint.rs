//! Fingerprint of a simulation state, with times, tokens, revisions and numbers made relative.
//!
//! Two simulations with the same fingerprint behave the same. A time in the past or an age beyond
//! the lease makes no difference, however long ago it was.

use {
    super::{NetworkCall, Simulation},
    agate_core::Mono,
    agate_lease::{
        machine::{CallResult, Observed, State},
        record::{self, LeaseRecord},
    },
    agate_store::{Call, StoreResponse},
};

struct Relative<'a> {
    w: &'a Simulation,
    token: u64,
    out: Vec<u64>,
}

pub fn fingerprint(w: &Simulation) -> Vec<u64> {
    let token = w.machines.iter().map(|m| m.max_token).chain([w.last_acted.0]).max().unwrap();
    let mut r = Relative { w, token: token + 1, out: Vec::new() };
    let owner = w.machines.iter().position(|m| m.settings.holder == w.last_acted.1);
    r.out.extend([r.token - w.last_acted.0, owner.map_or(9, |o| o as u64)]);
    for (who, m) in w.machines.iter().enumerate() {
        r.machine(who, m);
        w.network.iter().filter(|n| n.who == who).for_each(|n| r.net(n));
    }
    let key = "lease/x".to_owned();
    if let Ok(StoreResponse::Value(Some(v))) = w.model.clone().apply(&Call::Get { key }, w.now) {
        r.record(v.revision, &record::decode("lease/x", &v.value).unwrap());
    }
    r.out
}

impl Relative<'_> {
    fn machine(&mut self, who: usize, m: &State) {
        let s = &m.settings;
        self.out.extend([100, u64::from(m.is_candidate), u64::from(m.releasing)]);
        self.out.extend([
            self.token - m.max_token,
            self.token - m.ended_token,
            self.ahead(m.next_call),
        ]);
        if let Some(t) = &m.term {
            self.out.extend([101, self.token - t.token, self.revision(t.revision)]);
            self.out.push(self.ahead(t.ends_at));
        }
        match &m.observed {
            Observed::Unknown => self.out.push(102),
            Observed::Absent => self.out.push(103),
            Observed::Present { revision, body, since } => {
                self.out.extend([104, self.age(*since, s.ttl)]);
                self.record(*revision, body);
            }
        }
        if let Some(f) = &m.pending_call {
            self.out.extend([105, self.call(who, f.id), self.age(f.sent, s.ttl)]);
            if let Some(b) = &f.body {
                self.body(b);
            }
        }
        for u in &m.unknown_writes {
            self.out.extend([106, self.call(who, u.id), self.age(u.sent, s.ttl)]);
            self.body(&u.body);
        }
    }

    fn net(&mut self, n: &NetworkCall) {
        self.out.extend([107, n.who as u64, self.call(n.who, n.id)]);
        match &n.request {
            Some(Call::Swap { expect, value: Some(v), .. }) => {
                self.record(*expect, &record::decode("lease/x", v).unwrap());
            }
            _ => self.out.push(108),
        }
        match &n.response {
            Some(CallResult::Record(Some(f))) => self.record(f.revision, &f.body),
            Some(CallResult::Written(r)) => self.out.extend([109, self.revision(*r)]),
            Some(other) => self.out.extend([110, u64::from(*other == CallResult::Record(None))]),
            None => self.out.push(111),
        }
    }

    fn record(&mut self, revision: u64, body: &LeaseRecord) {
        self.out.extend([112, self.revision(revision)]);
        self.body(body);
    }

    fn body(&mut self, b: &LeaseRecord) {
        let owner = self.w.machines.iter().position(|m| m.settings.holder == b.holder);
        let beats = owner.map_or(0, |o| self.w.machines[o].last_write - b.write_number);
        self.out.extend([
            owner.map_or(9, |o| o as u64),
            self.token.saturating_sub(b.token),
            beats.min(9),
        ]);
    }

    fn revision(&self, r: u64) -> u64 {
        if r == 0 { 99 } else { (self.w.model.revision() - r).min(9) }
    }

    fn call(&self, who: usize, id: u64) -> u64 {
        (self.w.machines[who].last_call - id).min(9)
    }

    fn ahead(&self, at: Mono) -> u64 {
        at.saturating_sub(self.w.now).as_secs()
    }

    fn age(&self, at: Mono, most: Mono) -> u64 {
        self.w.now.saturating_sub(at).min(most).as_secs()
    }
}
