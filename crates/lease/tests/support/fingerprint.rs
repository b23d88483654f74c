//! What of a world decides its future, with times, tokens, revisions and numbers made relative.
//!
//! Two worlds with the same fingerprint go on alike: a time that is over, or an age beyond the
//! lease, makes no difference however long ago it was.

use {
    super::{Net, World},
    agate_core::Mono,
    agate_lease::{
        machine::{Answer, State, View},
        record::{self, Body},
    },
    agate_store::{Call, Reply},
};

struct Relative<'a> {
    w: &'a World,
    token: u64,
    out: Vec<u64>,
}

pub fn fingerprint(w: &World) -> Vec<u64> {
    let token = w.machines.iter().map(|m| m.greatest).chain([w.acted.0]).max().unwrap();
    let mut r = Relative { w, token: token + 1, out: Vec::new() };
    let owner = w.machines.iter().position(|m| m.settings.holder == w.acted.1);
    r.out.extend([r.token - w.acted.0, owner.map_or(9, |o| o as u64)]);
    for (who, m) in w.machines.iter().enumerate() {
        r.machine(who, m);
        w.nets.iter().filter(|n| n.who == who).for_each(|n| r.net(n));
    }
    let key = "lease/x".to_owned();
    if let Ok(Reply::Value(Some(v))) = w.model.clone().apply(&Call::Get { key }, w.now) {
        r.record(v.revision, &record::decode("lease/x", &v.value).unwrap());
    }
    r.out
}

impl Relative<'_> {
    fn machine(&mut self, who: usize, m: &State) {
        let s = &m.settings;
        self.out.extend([100, u64::from(m.wants), u64::from(m.releasing)]);
        self.out.extend([self.token - m.greatest, self.token - m.ended, self.ahead(m.next)]);
        if let Some(t) = &m.term {
            self.out.extend([101, self.token - t.token, self.revision(t.revision)]);
            self.out.push(self.ahead(t.until));
        }
        match &m.view {
            View::Unknown => self.out.push(102),
            View::Absent => self.out.push(103),
            View::Present { revision, body, since } => {
                self.out.extend([104, self.age(*since, s.ttl)]);
                self.record(*revision, body);
            }
        }
        if let Some(f) = &m.flight {
            self.out.extend([105, self.call(who, f.id), self.age(f.sent, s.ttl)]);
            if let Some(b) = &f.body {
                self.body(b);
            }
        }
        for u in &m.unknown {
            self.out.extend([106, self.call(who, u.id), self.age(u.sent, s.ttl)]);
            self.body(&u.body);
        }
    }

    fn net(&mut self, n: &Net) {
        self.out.extend([107, n.who as u64, self.call(n.who, n.id)]);
        match &n.request {
            Some(Call::Swap { expect, value: Some(v), .. }) => {
                self.record(*expect, &record::decode("lease/x", v).unwrap());
            }
            _ => self.out.push(108),
        }
        match &n.reply {
            Some(Answer::Record(Some(f))) => self.record(f.revision, &f.body),
            Some(Answer::Written(r)) => self.out.extend([109, self.revision(*r)]),
            Some(other) => self.out.extend([110, u64::from(*other == Answer::Record(None))]),
            None => self.out.push(111),
        }
    }

    fn record(&mut self, revision: u64, body: &Body) {
        self.out.extend([112, self.revision(revision)]);
        self.body(body);
    }

    fn body(&mut self, b: &Body) {
        let owner = self.w.machines.iter().position(|m| m.settings.holder == b.holder);
        let beats = owner.map_or(0, |o| self.w.machines[o].beats - b.beat);
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
        (self.w.machines[who].calls - id).min(9)
    }

    fn ahead(&self, at: Mono) -> u64 {
        at.saturating_sub(self.w.now).as_secs()
    }

    fn age(&self, at: Mono, most: Mono) -> u64 {
        self.w.now.saturating_sub(at).min(most).as_secs()
    }
}
