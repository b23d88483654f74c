//! Paged transfer of a whole view, to a joining member or one whose view differs.

use {
    crate::{
        State,
        gossip::update_size,
        state::{StepContext, update_of},
        suspect::UpdateSource,
    },
    agate_core::Mono,
    agate_wire::{Body, Name, Status, Update},
    std::net::SocketAddr,
};

/// Maximum bytes of the members on one page.
const PAGE_BYTES: usize = 1_150;
/// Maximum number of requests for one page.
const MAX_ATTEMPTS: u8 = 6;

/// A running transfer of another member's view to this instance.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    from: Name,
    address: SocketAddr,
    after: Option<Name>,
    sent: Mono,
    attempts: u8,
}

impl State {
    /// Compares the own checksum with that of a member of the scope. If this instance has not
    /// joined yet, or the views differ for `disagreement`, it starts to transfer the other's view.
    pub(crate) fn compare_views(&mut self, from: &Name, checksum: u64, ctx: &mut StepContext<'_>) {
        if checksum == self.view.checksum() {
            self.timers.differs_since = None;
            self.joined = true;
            return;
        }
        let since = *self.timers.differs_since.get_or_insert(ctx.now);
        let due = !self.joined || ctx.now >= since + self.settings.disagreement;
        if due && self.transfer.is_none() && self.view.is_live(from) {
            self.start_transfer(from, ctx);
        }
    }

    fn start_transfer(&mut self, from: &Name, ctx: &mut StepContext<'_>) {
        let Some(e) = self.view.get(from) else { return };
        self.counts.transfers += 1;
        self.timers.differs_since = Some(ctx.now);
        let address = e.place.address;
        self.transfer =
            Some(Transfer { from: from.clone(), address, after: None, sent: ctx.now, attempts: 1 });
        self.send(address, Body::ViewRequest { after: None }, ctx);
    }

    /// Requests an overdue page again, or aborts the transfer after [`MAX_ATTEMPTS`] requests.
    pub(crate) fn check_transfer(&mut self, ctx: &mut StepContext<'_>) {
        let Some(x) = &mut self.transfer else { return };
        if ctx.now < x.sent + self.settings.period / 2 {
            return;
        }
        if x.attempts >= MAX_ATTEMPTS {
            self.transfer = None;
            return;
        }
        x.attempts += 1;
        x.sent = ctx.now;
        let (to, after) = (x.address, x.after.clone());
        self.send(to, Body::ViewRequest { after }, ctx);
    }

    /// Sends one page of the view to a member of the scope. Requests from other addresses than the
    /// member's are ignored.
    pub(crate) fn send_page(
        &mut self,
        from: &Name,
        source: SocketAddr,
        after: Option<Name>,
        ctx: &mut StepContext<'_>,
    ) {
        if self.view.get(from).is_none_or(|e| e.place.address != source) {
            return;
        }
        let mut members = Vec::new();
        let mut remaining = PAGE_BYTES;
        let mut more = false;
        for (n, e) in self.view.iter_after(after.as_ref()) {
            let u = Update { place: Some(e.place.clone()), ..update_of(n, e) };
            let size = update_size(&u);
            if size > remaining {
                more = true;
                break;
            }
            remaining -= size;
            members.push(u);
        }
        self.send(source, Body::View { members, more }, ctx);
    }

    /// Applies one page and requests the next.
    pub(crate) fn apply_page(
        &mut self,
        from: &Name,
        members: Vec<Update>,
        more: bool,
        ctx: &mut StepContext<'_>,
    ) {
        let Some(x) = self.transfer.as_mut().filter(|x| x.from == *from) else { return };
        let last = members.last().map(|u| u.name.clone());
        let stale = last.is_some() && last <= x.after;
        if stale {
            return;
        }
        if more && last.is_some() {
            x.after = last.clone();
            x.sent = ctx.now;
            x.attempts = 1;
            let to = x.address;
            self.send(to, Body::ViewRequest { after: last }, ctx);
        } else {
            self.transfer = None;
            self.joined = true;
        }
        for u in members {
            self.apply_page_entry(u, from, ctx);
        }
    }

    fn apply_page_entry(&mut self, u: Update, from: &Name, ctx: &mut StepContext<'_>) {
        // The sender holds a suspected member live, so add the member before the suspicion.
        if u.status == Status::Suspect && self.view.get(&u.name).is_none() {
            let alive = Update { status: Status::Alive, accusers: Vec::new(), ..u.clone() };
            self.apply_update(alive, from, UpdateSource::Transfer, ctx);
        }
        self.apply_update(u, from, UpdateSource::Transfer, ctx);
    }
}
