//! Failure detection: suspicion after a failed probe, the declaration as failed, and its
//! refutation.
//!
//! The time until a suspected member is declared failed shrinks with the number of distinct
//! accusers. Several members soon miss a failed one, while lost datagrams seldom mislead several
//! members about the same one. An instance that holds a suspicion for long probes the member
//! itself, so that a missed refutation does not keep the suspicion alive.

use {
    crate::{
        Action, State,
        probe::ProbeKind,
        state::{StepContext, update_of},
        view::{Entry, Suspicion},
    },
    agate_core::Mono,
    agate_wire::{Name, Peer, Status, Update},
    std::slice,
};

/// Periods without any acknowledgement after which an instance assumes that the fault is its own.
/// It covers the failed probes of a few failed members in a row.
const ISOLATED_PERIODS: u32 = 4;

/// How an update reached this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// From the member that it is about.
    Direct,
    /// Piggybacked on a probe or an acknowledgement.
    Gossip,
    /// In a transferred view.
    Transfer,
}

impl State {
    /// Applies an update that `from` made or passed on.
    pub(crate) fn apply_update(
        &mut self,
        u: Update,
        from: &Name,
        via: UpdateSource,
        ctx: &mut StepContext<'_>,
    ) {
        if u.name == self.settings.peer.name {
            self.apply_own(u, from, ctx);
            return;
        }
        match u.status {
            Status::Alive => self.apply_alive(u, via, ctx),
            _ if via != UpdateSource::Direct && !self.view.is_live(from) => {}
            Status::Suspect => self.apply_suspect(u, from, ctx),
            Status::Dead => self.apply_dead(u, from, via, ctx),
            Status::Left => self.apply_left(u, ctx),
        }
    }

    fn apply_own(&mut self, u: Update, from: &Name, ctx: &mut StepContext<'_>) {
        let newer = u.incarnation > self.incarnation;
        let accused = u.status != Status::Alive && u.incarnation == self.incarnation;
        if self.leaving.is_some() || !(newer || accused) {
            return;
        }
        self.counts.refutations += 1;
        self.raise_incarnation(u.incarnation, ctx.now);
        let declared = matches!(u.status, Status::Dead | Status::Left);
        if declared && (self.view.is_live(from) || self.mostly_failed()) {
            self.revoke_declarations(ctx);
        }
    }

    /// Returns whether this instance has declared more members failed than it holds live. Then it
    /// was probably itself cut off.
    fn mostly_failed(&self) -> bool {
        let declared =
            self.view.iter().filter(|(_, e)| e.status == Status::Dead && e.declared_here);
        declared.count() > self.view.live()
    }

    /// Raises the incarnation above `seen` and queues an update for the scope.
    pub(crate) fn raise_incarnation(&mut self, seen: u64, now: Mono) {
        self.incarnation = seen + 1;
        let alive = self.own_update(Status::Alive);
        self.update_queue.push(alive, now);
    }

    /// Reverts the suspicions and failure declarations that this instance made while others had
    /// declared it failed.
    fn revoke_declarations(&mut self, ctx: &mut StepContext<'_>) {
        self.update_queue.drop_accusations();
        let revoked =
            |e: &Entry| e.status == Status::Suspect || e.status == Status::Dead && e.declared_here;
        let names = self.view.iter().filter(|(_, e)| revoked(e)).map(|(n, _)| n.clone());
        for n in names.collect::<Vec<_>>() {
            self.change(&n, Status::Alive, ctx);
        }
        self.joined = false;
    }

    fn apply_alive(&mut self, u: Update, via: UpdateSource, ctx: &mut StepContext<'_>) {
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
        self.reuse_strings(&mut place);
        if via == UpdateSource::Direct {
            self.fail_previous(&u.name, &place, ctx);
        }
        let mut e = Entry::alive(u.incarnation, place, ctx.now);
        e.acked = last_ack(self.view.get(&u.name));
        let mut update = update_of(&u.name, &e);
        update.place = Some(e.place.clone());
        // Members that send a whole view have already passed on its updates.
        if via != UpdateSource::Transfer {
            self.update_queue.push(update, ctx.now);
        }
        if self.view.get(&u.name).is_none() {
            self.add_to_round(&u.name, ctx);
        }
        self.view.insert(u.name.clone(), e);
        ctx.out.push(changed(&u.name, u.incarnation, Status::Alive));
    }

    /// Reuses the strings of the own place for a member of the same scope, which saves memory.
    fn reuse_strings(&self, place: &mut agate_wire::Place) {
        let own = &self.settings.peer.place;
        if place.zone == own.zone {
            place.zone = own.zone.clone();
        }
        if place.region == own.region {
            place.region = own.region.clone();
        }
    }

    /// Declares another member failed if a new one uses its address.
    fn fail_previous(&mut self, name: &Name, place: &agate_wire::Place, ctx: &mut StepContext<'_>) {
        let same =
            |(n, e): &(&Name, &Entry)| e.live() && *n != name && e.place.address == place.address;
        let replaced = self.view.iter().find(same).map(|(n, _)| n.clone());
        if let Some(n) = replaced {
            self.declare_failed(&n, ctx);
        }
    }

    fn add_to_round(&mut self, name: &Name, ctx: &mut StepContext<'_>) {
        let at = rand::RngExt::random_range(&mut *ctx.rng, 0..=self.round.len());
        self.round.insert(at, name.clone());
    }

    fn apply_suspect(&mut self, u: Update, from: &Name, ctx: &mut StepContext<'_>) {
        let accusers = if u.accusers.is_empty() { slice::from_ref(from) } else { &u.accusers };
        self.accuse(&u.name, u.incarnation, accusers, ctx);
    }

    /// Adds accusers of a live member, and queues an update if any of them is new.
    fn accuse(
        &mut self,
        name: &Name,
        incarnation: u64,
        accusers: &[Name],
        ctx: &mut StepContext<'_>,
    ) {
        let most = self.settings.accusers + 1;
        let Some(e) = self.view.get(name).filter(|e| e.live()) else { return };
        if incarnation < e.incarnation {
            return;
        }
        if e.status == Status::Alive || incarnation > e.incarnation {
            let e = self.view.set_status(name, Status::Suspect, ctx.now);
            e.incarnation = incarnation;
            e.suspicion = Some(Suspicion { since: ctx.now, accusers: Vec::new(), probed: false });
            ctx.out.push(changed(name, incarnation, Status::Suspect));
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
            // The update lists all accusers, since it replaces earlier ones in the queues of other
            // members.
            let accusation = update_of(name, e);
            self.update_queue.push(accusation, ctx.now);
        }
    }

    fn apply_dead(&mut self, u: Update, from: &Name, via: UpdateSource, ctx: &mut StepContext<'_>) {
        let Some(e) = self.view.get(&u.name) else { return };
        if !e.live() || u.incarnation < e.incarnation {
            return;
        }
        let answered = e.acked.is_some_and(|a| ctx.now < a + self.settings.period * 2);
        if answered || via == UpdateSource::Transfer {
            self.accuse(&u.name, u.incarnation, slice::from_ref(from), ctx);
            return;
        }
        let e = self.change(&u.name, Status::Dead, ctx);
        e.incarnation = u.incarnation;
        e.declared_here = false;
        let update = Update { accusers: Vec::new(), place: None, ..u };
        self.update_queue.push(update, ctx.now);
    }

    fn apply_left(&mut self, u: Update, ctx: &mut StepContext<'_>) {
        let Some(e) = self.view.get(&u.name) else { return };
        if e.status == Status::Left || u.incarnation < e.incarnation {
            return;
        }
        self.change(&u.name, Status::Left, ctx).incarnation = u.incarnation;
        self.seeds.retain(|p| p.name != u.name);
        self.update_queue.push(Update { accusers: Vec::new(), place: None, ..u }, ctx.now);
    }

    fn change(&mut self, name: &Name, status: Status, ctx: &mut StepContext<'_>) -> &mut Entry {
        let e = self.view.set_status(name, status, ctx.now);
        ctx.out.push(changed(name, e.incarnation, status));
        e
    }

    /// Handles a probe of a member that neither the member nor a helper acknowledged.
    pub(crate) fn probe_failed(&mut self, name: &Name, ctx: &mut StepContext<'_>) {
        self.counts.failures += 1;
        if self.isolated(ctx.now) {
            self.counts.withheld += 1;
            return;
        }
        let Some(e) = self.view.get(name) else { return };
        let incarnation = e.incarnation;
        let accuser = self.settings.peer.name.clone();
        self.accuse(name, incarnation, &[accuser], ctx);
    }

    /// Returns whether this instance is probably cut off itself, since no probe of its own was
    /// acknowledged for [`ISOLATED_PERIODS`]. After `isolation` it no longer assumes so.
    pub(crate) fn isolated(&self, now: Mono) -> bool {
        let silence = now.saturating_sub(self.timers.last_ack);
        let others = self.view.live() + self.contacts.len();
        others > 1
            && silence > self.settings.period * ISOLATED_PERIODS
            && silence < self.settings.isolation
    }

    /// Declares members failed whose suspicion has timed out.
    pub(crate) fn check_suspicions(&mut self, ctx: &mut StepContext<'_>) {
        if self.view.suspects() == 0 || self.isolated(ctx.now) {
            return;
        }
        self.probe_suspects(ctx);
        let due = |e: &Entry| e.suspicion.as_ref().is_some_and(|s| self.timed_out(s, ctx.now));
        let names: Vec<Name> =
            self.view.iter().filter(|(_, e)| due(e)).map(|(n, _)| n.clone()).collect();
        for n in names {
            self.declare_failed(&n, ctx);
        }
    }

    fn probe_suspects(&mut self, ctx: &mut StepContext<'_>) {
        let wait = self.settings.suspect_max / 2;
        let overdue = |s: &Suspicion| !s.probed && ctx.now >= s.since + wait;
        let unchecked = |e: &Entry| e.suspicion.as_ref().is_some_and(overdue);
        let suspects = self.view.iter().filter(|(_, e)| unchecked(e));
        let peers = suspects.map(|(n, e)| Peer { name: n.clone(), place: e.place.clone() });
        for p in peers.collect::<Vec<_>>() {
            let s = self.view.get_mut(&p.name).and_then(|e| e.suspicion.as_mut());
            s.expect("the member is suspected").probed = true;
            self.start_probe(p, ProbeKind::Member, ctx);
        }
    }

    fn timed_out(&self, s: &Suspicion, now: Mono) -> bool {
        let Self { settings, view, .. } = self;
        // A small scope has fewer possible accusers besides the first one.
        let needed = settings.accusers.min(view.live().saturating_sub(1));
        let extra = s.accusers.len().saturating_sub(1).min(needed);
        let span = settings.suspect_max - settings.suspect_min;
        let fraction =
            ((extra + 1) as f64).ln() / ((needed + 1) as f64).ln().max(f64::MIN_POSITIVE);
        let fraction = if needed == 0 { 1.0 } else { fraction.min(1.0) };
        now >= s.since + settings.suspect_max - span.mul_f64(fraction)
    }

    /// Declares a live member failed and queues an update.
    fn declare_failed(&mut self, name: &Name, ctx: &mut StepContext<'_>) {
        self.counts.declared_failed += 1;
        log::debug!(step = "verdict", peer:% = name; "declared a member failed");
        let e = self.change(name, Status::Dead, ctx);
        e.declared_here = true;
        let update = update_of(name, e);
        self.update_queue.push(update, ctx.now);
    }

    /// Restarts the timeouts of all suspicions.
    pub(crate) fn restart_suspicions(&mut self, now: Mono) {
        let names: Vec<Name> = self.view.iter().map(|(n, _)| n.clone()).collect();
        for n in names {
            if let Some(s) = self.view.get_mut(&n).and_then(|e| e.suspicion.as_mut()) {
                s.since = now;
            }
        }
    }
}

fn last_ack(e: Option<&Entry>) -> Option<Mono> {
    e.and_then(|e| e.acked)
}

fn changed(name: &Name, incarnation: u64, status: Status) -> Action {
    Action::Changed { name: name.clone(), incarnation, status }
}
