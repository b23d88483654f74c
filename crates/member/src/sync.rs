//! Transfer of a whole view, page by page, to a joining member or one whose view differs.

use {
    crate::{
        State,
        rumour::update_size,
        state::{Turn, statement},
        suspect::Via,
    },
    agate_core::Mono,
    agate_wire::{Body, Name, Status, Update},
    std::net::SocketAddr,
};

/// Bytes of members on one page.
const PAGE_BYTES: usize = 1_150;
/// Times that one page is asked for.
const MAX_TRIES: u8 = 6;

/// A transfer under way to this instance.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    from: Name,
    address: SocketAddr,
    after: Option<Name>,
    sent: Mono,
    tries: u8,
}

impl State {
    /// Compares views with a member of the scope that was heard from, and transfers the other's
    /// view after a lasting difference or when joining.
    pub(crate) fn compare(&mut self, from: &Name, checksum: u64, t: &mut Turn<'_>) {
        if checksum == self.view.checksum() {
            self.timers.differs = None;
            self.joined = true;
            return;
        }
        let since = *self.timers.differs.get_or_insert(t.now);
        let due = !self.joined || t.now >= since + self.settings.disagreement;
        if due && self.transfer.is_none() && self.view.is_live(from) {
            self.start_transfer(from, t);
        }
    }

    fn start_transfer(&mut self, from: &Name, t: &mut Turn<'_>) {
        let Some(e) = self.view.get(from) else { return };
        self.counts.transfers += 1;
        self.timers.differs = Some(t.now);
        let address = e.place.address;
        self.transfer =
            Some(Transfer { from: from.clone(), address, after: None, sent: t.now, tries: 1 });
        self.send(address, Body::ViewRequest { after: None }, t);
    }

    /// Asks again for a page that did not come, or gives the transfer up.
    pub(crate) fn check_transfer(&mut self, t: &mut Turn<'_>) {
        let Some(x) = &mut self.transfer else { return };
        if t.now < x.sent + self.settings.period / 2 {
            return;
        }
        if x.tries >= MAX_TRIES {
            self.transfer = None;
            return;
        }
        x.tries += 1;
        x.sent = t.now;
        let (to, after) = (x.address, x.after.clone());
        self.send(to, Body::ViewRequest { after }, t);
    }

    /// Sends one page of the view to a member of the scope.
    pub(crate) fn send_page(
        &mut self,
        from: &Name,
        source: SocketAddr,
        after: Option<Name>,
        t: &mut Turn<'_>,
    ) {
        if self.view.get(from).is_none_or(|e| e.place.address != source) {
            return;
        }
        let mut members = Vec::new();
        let mut left = PAGE_BYTES;
        let mut more = false;
        for (n, e) in self.view.iter_after(after.as_ref()) {
            let u = Update { place: Some(e.place.clone()), ..statement(n, e) };
            let size = update_size(&u);
            if size > left {
                more = true;
                break;
            }
            left -= size;
            members.push(u);
        }
        self.send(source, Body::View { members, more }, t);
    }

    /// Takes over one page and asks for the next.
    pub(crate) fn take_page(
        &mut self,
        from: &Name,
        members: Vec<Update>,
        more: bool,
        t: &mut Turn<'_>,
    ) {
        let Some(x) = self.transfer.as_mut().filter(|x| x.from == *from) else { return };
        let last = members.last().map(|u| u.name.clone());
        let stale = last.is_some() && last <= x.after;
        if stale {
            return;
        }
        if more && last.is_some() {
            x.after = last.clone();
            x.sent = t.now;
            x.tries = 1;
            let to = x.address;
            self.send(to, Body::ViewRequest { after: last }, t);
        } else {
            self.transfer = None;
            self.joined = true;
        }
        for u in members {
            self.learn_page_entry(u, from, t);
        }
    }

    fn learn_page_entry(&mut self, u: Update, from: &Name, t: &mut Turn<'_>) {
        // A suspicion is about a member that the sender holds live; so learn of the member first.
        if u.status == Status::Suspect && self.view.get(&u.name).is_none() {
            let alive = Update { status: Status::Alive, accusers: Vec::new(), ..u.clone() };
            self.learn(alive, from, Via::Transfer, t);
        }
        self.learn(u, from, Via::Transfer, t);
    }
}
