//! From a failed probe through suspicion to a verdict, and its refutation.
//!
//! The time to a verdict shrinks with the number of distinct accusers: a failed member is soon
//! missed by several, while lost datagrams seldom mislead several members about the same one. A
//! suspicion that lasts for long is checked by a probe of one's own, so that a member which missed
//! the refutation does not hold on to it.

use {
    crate::{
        Action, State,
        probe::Aim,
        state::{Turn, statement},
        view::{Entry, Suspicion},
    },
    agate_core::Mono,
    agate_wire::{Name, Peer, Status, Update},
    std::slice,
};

/// Periods without any acknowledgement after which an instance takes the fault for its own; enough
/// for the probes of a few failed members in a row.
const ISOLATED_PERIODS: u32 = 4;

/// How a statement reached this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Via {
    /// From the member that it is about.
    Direct,
    /// With a probe or an acknowledgement.
    Gossip,
    /// In a transferred view.
    Transfer,
}

impl State {
    /// Takes a statement that `from` made or passed on.
    pub(crate) fn learn(&mut self, u: Update, from: &Name, via: Via, t: &mut Turn<'_>) {
        if u.name == self.settings.peer.name {
            self.learn_about_self(u, from, t);
            return;
        }
        match u.status {
            Status::Alive => self.learn_alive(u, via, t),
            _ if via != Via::Direct && !self.view.is_live(from) => {}
            Status::Suspect => self.learn_suspect(u, from, t),
            Status::Dead => self.learn_dead(u, from, via, t),
            Status::Left => self.learn_left(u, t),
        }
    }

    fn learn_about_self(&mut self, u: Update, from: &Name, t: &mut Turn<'_>) {
        let outlived = u.incarnation > self.incarnation;
        let accused = u.status != Status::Alive && u.incarnation == self.incarnation;
        if self.leaving.is_some() || !(outlived || accused) {
            return;
        }
        self.counts.refutations += 1;
        self.raise_incarnation(u.incarnation, t.now);
        let given_up = matches!(u.status, Status::Dead | Status::Left);
        if given_up && (self.view.is_live(from) || self.verdicts_prevail()) {
            self.revoke_verdicts(t);
        }
    }

    /// Whether this instance has given up more members than it holds live, which tells of its own
    /// separation rather than of theirs.
    fn verdicts_prevail(&self) -> bool {
        let given_up = self.view.iter().filter(|(_, e)| e.status == Status::Dead && e.own);
        given_up.count() > self.view.live()
    }

    /// Continues above `seen` and tells the scope.
    pub(crate) fn raise_incarnation(&mut self, seen: u64, now: Mono) {
        self.incarnation = seen + 1;
        let alive = self.own_statement(Status::Alive);
        self.rumours.push(alive, now);
    }

    /// Takes back what this instance concluded while others had given it up.
    fn revoke_verdicts(&mut self, t: &mut Turn<'_>) {
        self.rumours.drop_accusations();
        let revoked = |e: &Entry| e.status == Status::Suspect || e.status == Status::Dead && e.own;
        let names = self.view.iter().filter(|(_, e)| revoked(e)).map(|(n, _)| n.clone());
        for n in names.collect::<Vec<_>>() {
            self.change(&n, Status::Alive, t);
        }
        self.joined = false;
    }

    fn learn_alive(&mut self, u: Update, via: Via, t: &mut Turn<'_>) {
        let known = self.view.get(&u.name);
        if known.is_some_and(|e| e.incarnation >= u.incarnation) {
            return;
        }
        let place = u.place.clone().or_else(|| known.map(|e| e.place.clone()));
        let Some(mut place) = place else { return };
        let scope = self.settings.scope;
        if scope.name(&place) != scope.name(&self.settings.peer.place) {
            return;
        }
        self.share_names(&mut place);
        if via == Via::Direct {
            self.replace_at(&u.name, &place, t);
        }
        let mut e = Entry::alive(u.incarnation, place, t.now);
        e.acked = known_ack(self.view.get(&u.name));
        let mut rumour = statement(&u.name, &e);
        rumour.place = Some(e.place.clone());
        // The sender of a whole view has passed its news on already.
        if via != Via::Transfer {
            self.rumours.push(rumour, t.now);
        }
        if self.view.get(&u.name).is_none() {
            self.join_round(&u.name, t);
        }
        self.view.insert(u.name.clone(), e);
        t.out.push(changed(&u.name, u.incarnation, Status::Alive));
    }

    /// Shares the strings of the own place with that of a member of the same scope.
    fn share_names(&self, place: &mut agate_wire::Place) {
        let own = &self.settings.peer.place;
        if place.zone == own.zone {
            place.zone = own.zone.clone();
        }
        if place.region == own.region {
            place.region = own.region.clone();
        }
    }

    /// Gives up another member at an address that a new one has just been met at.
    fn replace_at(&mut self, name: &Name, place: &agate_wire::Place, t: &mut Turn<'_>) {
        let same =
            |(n, e): &(&Name, &Entry)| e.live() && *n != name && e.place.address == place.address;
        let replaced = self.view.iter().find(same).map(|(n, _)| n.clone());
        if let Some(n) = replaced {
            self.give_up(&n, t);
        }
    }

    fn join_round(&mut self, name: &Name, t: &mut Turn<'_>) {
        let at = rand::RngExt::random_range(&mut *t.rng, 0..=self.round.len());
        self.round.insert(at, name.clone());
    }

    fn learn_suspect(&mut self, u: Update, from: &Name, t: &mut Turn<'_>) {
        let accusers = if u.accusers.is_empty() { slice::from_ref(from) } else { &u.accusers };
        self.accuse(&u.name, u.incarnation, accusers, t);
    }

    /// Adds accusers of a live member and passes the accusation on if it is news.
    fn accuse(&mut self, name: &Name, incarnation: u64, accusers: &[Name], t: &mut Turn<'_>) {
        let most = self.settings.accusers + 1;
        let Some(e) = self.view.get(name).filter(|e| e.live()) else { return };
        if incarnation < e.incarnation {
            return;
        }
        if e.status == Status::Alive || incarnation > e.incarnation {
            let e = self.view.set(name, Status::Suspect, t.now);
            e.incarnation = incarnation;
            e.suspicion = Some(Suspicion { since: t.now, accusers: Vec::new(), probed: false });
            t.out.push(changed(name, incarnation, Status::Suspect));
        }
        let e = self.view.get_mut(name).expect("the member is in the view");
        let s = e.suspicion.as_mut().expect("a suspected member has its accusers");
        let before = s.accusers.len();
        for a in accusers {
            if s.accusers.len() < most && !s.accusers.contains(a) {
                s.accusers.push(a.clone());
            }
        }
        if s.accusers.len() > before {
            // All accusers go along, since the newest statement replaces earlier ones on its way.
            let accusation = statement(name, e);
            self.rumours.push(accusation, t.now);
        }
    }

    fn learn_dead(&mut self, u: Update, from: &Name, via: Via, t: &mut Turn<'_>) {
        let Some(e) = self.view.get(&u.name) else { return };
        if !e.live() || u.incarnation < e.incarnation {
            return;
        }
        let answered = e.acked.is_some_and(|a| t.now < a + self.settings.period * 2);
        if answered || via == Via::Transfer {
            self.accuse(&u.name, u.incarnation, slice::from_ref(from), t);
            return;
        }
        let e = self.change(&u.name, Status::Dead, t);
        e.incarnation = u.incarnation;
        e.own = false;
        let verdict = Update { accusers: Vec::new(), place: None, ..u };
        self.rumours.push(verdict, t.now);
    }

    fn learn_left(&mut self, u: Update, t: &mut Turn<'_>) {
        let Some(e) = self.view.get(&u.name) else { return };
        if e.status == Status::Left || u.incarnation < e.incarnation {
            return;
        }
        self.change(&u.name, Status::Left, t).incarnation = u.incarnation;
        self.seeds.retain(|p| p.name != u.name);
        self.rumours.push(Update { accusers: Vec::new(), place: None, ..u }, t.now);
    }

    fn change(&mut self, name: &Name, status: Status, t: &mut Turn<'_>) -> &mut Entry {
        let e = self.view.set(name, status, t.now);
        t.out.push(changed(name, e.incarnation, status));
        e
    }

    /// Nobody acknowledged a probe of this member.
    pub(crate) fn probe_failed(&mut self, name: &Name, t: &mut Turn<'_>) {
        self.counts.failures += 1;
        if self.isolated(t.now) {
            self.counts.withheld += 1;
            return;
        }
        let Some(e) = self.view.get(name) else { return };
        let incarnation = e.incarnation;
        let accuser = self.settings.peer.name.clone();
        self.accuse(name, incarnation, &[accuser], t);
    }

    /// Whether the fault is likely this instance's own: nobody acknowledges its probes.
    pub(crate) fn isolated(&self, now: Mono) -> bool {
        let silence = now.saturating_sub(self.timers.acked);
        let others = self.view.live() + self.contacts.len();
        others > 1
            && silence > self.settings.period * ISOLATED_PERIODS
            && silence < self.settings.isolation
    }

    /// Gives a verdict on members that were suspected for long enough.
    pub(crate) fn check_suspicions(&mut self, t: &mut Turn<'_>) {
        if self.view.suspects() == 0 || self.isolated(t.now) {
            return;
        }
        self.probe_suspects(t);
        let due = |e: &Entry| e.suspicion.as_ref().is_some_and(|s| self.is_due(s, t.now));
        let names: Vec<Name> =
            self.view.iter().filter(|(_, e)| due(e)).map(|(n, _)| n.clone()).collect();
        for n in names {
            self.give_up(&n, t);
        }
    }

    fn probe_suspects(&mut self, t: &mut Turn<'_>) {
        let wait = self.settings.suspect_max / 2;
        let late = |s: &Suspicion| !s.probed && t.now >= s.since + wait;
        let unproven = |e: &Entry| e.suspicion.as_ref().is_some_and(late);
        let late = self.view.iter().filter(|(_, e)| unproven(e));
        let peers = late.map(|(n, e)| Peer { name: n.clone(), place: e.place.clone() });
        for p in peers.collect::<Vec<_>>() {
            let s = self.view.get_mut(&p.name).and_then(|e| e.suspicion.as_mut());
            s.expect("the member is suspected").probed = true;
            self.start_probe(p, Aim::Member, t);
        }
    }

    fn is_due(&self, s: &Suspicion, now: Mono) -> bool {
        let Self { settings, view, .. } = self;
        // With few members there are fewer possible accusers besides the first.
        let needed = settings.accusers.min(view.live().saturating_sub(1));
        let extra = s.accusers.len().saturating_sub(1).min(needed);
        let span = settings.suspect_max - settings.suspect_min;
        let share = ((extra + 1) as f64).ln() / ((needed + 1) as f64).ln().max(f64::MIN_POSITIVE);
        let share = if needed == 0 { 1.0 } else { share.min(1.0) };
        now >= s.since + settings.suspect_max - span.mul_f64(share)
    }

    /// Declares a live member failed.
    fn give_up(&mut self, name: &Name, t: &mut Turn<'_>) {
        self.counts.verdicts += 1;
        log::debug!(step = "verdict", peer:% = name; "declared a member failed");
        let e = self.change(name, Status::Dead, t);
        e.own = true;
        let verdict = statement(name, e);
        self.rumours.push(verdict, t.now);
    }

    /// Starts the time of all suspicions anew.
    pub(crate) fn restart_suspicions(&mut self, now: Mono) {
        let names: Vec<Name> = self.view.iter().map(|(n, _)| n.clone()).collect();
        for n in names {
            if let Some(s) = self.view.get_mut(&n).and_then(|e| e.suspicion.as_mut()) {
                s.since = now;
            }
        }
    }
}

fn known_ack(e: Option<&Entry>) -> Option<Mono> {
    e.and_then(|e| e.acked)
}

fn changed(name: &Name, incarnation: u64, status: Status) -> Action {
    Action::Changed { name: name.clone(), incarnation, status }
}
