//! Callbacks that connect the synchronisation with other instances to the request path, the usage
//! counters and the leader tasks.

use {
    agate_admit::quota::{Group, Row, Sums},
    agate_core::Mono,
    agate_leader::{candidate::LeaderCandidate, counter::UsageCounter, stage},
    agate_relay::{demand, proxy_state::ProxyState},
    agate_route::ranking::name_hash,
    agate_sync::{
        message::{Demand, Load, LoadReport, Message, QuotaRow, QuotaTotals, Rate, Suspects},
        quota_sums::QuotaUse,
        runner::Callbacks,
        sender::{ReachFn, Sender},
        share_exchange::ShareCallbacks,
    },
    agate_view::{clock, table::Name},
    std::{net::SocketAddr, sync::Arc},
};

/// Engine time that clients of all instances request of `service`.
pub fn total_demand(proxy_state: &ProxyState, service: &Name) -> stage::EngineDemand {
    let demand::EngineDemand { prefill, slots } = proxy_state.total_demand(service);
    stage::EngineDemand { prefill, slots }
}

/// Converts the demand for one service from a message; messages carry thousandths.
fn demand_of(demand: &Demand) -> demand::EngineDemand {
    let whole = |milli: u32| f64::from(milli) / 1e3;
    demand::EngineDemand { prefill: whole(demand.reading), slots: whole(demand.slots) }
}

/// Figures of this instance, as sent to the others.
fn own_report(proxy_state: &ProxyState, candidate: &LeaderCandidate, name: &str) -> LoadReport {
    let milli = |x: f64| (x * 1e3).round() as u32;
    let demand = |(name, a): (Name, demand::EngineDemand)| Demand {
        service: name_hash(&name) as u32,
        reading: milli(a.prefill),
        slots: milli(a.slots),
    };
    let rate = |(name, requests): (Name, f64)| Rate {
        service: name_hash(&name) as u32,
        requests: milli(requests),
    };
    let loads = proxy_state.fleet.loads().into_iter();
    LoadReport {
        loads: loads.map(|(endpoint, open, tokens)| Load { endpoint, open, tokens }).collect(),
        demands: proxy_state.own_demand().into_iter().map(demand).collect(),
        changing: proxy_state.fleet.own_changing(),
        holder: candidate.may_act().map(|_| name.to_owned()),
        rates: proxy_state.fleet.report_rates().into_iter().map(rate).collect(),
        instances: 1,
    }
}

/// Use of quotas of this instance, as sent to the others; messages carry thousandths.
fn quota_use(proxy_state: &ProxyState) -> Option<QuotaUse> {
    let (members, rows) = proxy_state.quotas.report(clock::now())?;
    let milli = |x: f64| (x * 1e3).round() as u64;
    let row = |row: Row| QuotaRow {
        key: row.key,
        sums: row.sums.map(milli),
        asked: milli(row.asked),
        missing: row.missing.iter().any(|sum| *sum > 0.0).then(|| row.missing.map(milli)),
    };
    let members = members.map(|part| milli(part) as u32);
    Some(QuotaUse { members, rows: rows.into_iter().map(row).collect() })
}

/// Takes over the others' use of quotas, which was true at `at`.
fn on_quota_totals(proxy_state: &ProxyState, totals: &QuotaTotals, at: Mono) {
    let whole = |sums: [u64; 4]| -> Sums { sums.map(|milli| milli as f64 / 1e3) };
    let row = |row: &QuotaRow| Row {
        key: row.key,
        sums: whole(row.sums),
        asked: row.asked as f64 / 1e3,
        missing: row.missing.map(whole).unwrap_or_default(),
    };
    let members = whole(totals.members.map(u64::from));
    let group = Group { instances: totals.instances, members, at };
    let rows: Vec<Row> = totals.rows.iter().map(row).collect();
    proxy_state.quotas.on_totals(group, &rows, clock::now());
}

/// Lets the software versions of streams be told and asked through `sender`; `own` is the address of
/// this instance.
pub fn connect_versions(proxy_state: &ProxyState, own: SocketAddr, sender: Sender) {
    let view = proxy_state.view.clone();
    let send = move |message, to| {
        let sender = sender.clone();
        tokio::spawn(async move { sender.send(&Message::Streams(message), to).await });
    };
    proxy_state.versions.connect(own, move || view.peers.load_full(), send);
}

/// Creates the callbacks of the synchronisation.
pub fn callbacks(
    proxy_state: &Arc<ProxyState>,
    counter: &Arc<UsageCounter>,
    candidate: &Arc<LeaderCandidate>,
    name: &str,
    reaches: Arc<ReachFn>,
) -> Callbacks {
    let (candidate, name) = (candidate.clone(), name.to_owned());
    let (own, others) = (proxy_state.clone(), proxy_state.clone());
    let (telling, hearing) = (proxy_state.clone(), proxy_state.clone());
    let (spending, summing) = (proxy_state.clone(), proxy_state.clone());
    let versions = proxy_state.versions.clone();
    let (usage, noted, collect) = (counter.clone(), counter.clone(), counter.clone());
    let (vote, agreed, copied) = (counter.clone(), counter.clone(), counter.clone());
    Callbacks {
        own_report: Box::new(move || own_report(&own, &candidate, &name)),
        on_others: Box::new(move |report| {
            others.set_others_demand(
                report.demands.iter().map(|d| (d.service, demand_of(d))).collect(),
            );
            others.on_demand_reported(report.instances as usize);
            let loads = report.loads.iter().map(|l| (l.endpoint, (l.open, l.tokens)));
            others.fleet.set_others_load(&loads.collect());
            others.on_others_changing(&report.changing);
            let rate = |r: &Rate| (r.service, f64::from(r.requests) / 1e3);
            let rates = report.rates.iter().map(rate).collect();
            others.fleet.set_others_rates(rates, report.instances as usize);
        }),
        suspects: Box::new(move || {
            let (revision, signs) = telling.quarantine.recent_observations();
            Suspects { revision, signs }
        }),
        on_suspects: Box::new(move |told| hearing.quarantine.merge(told.revision, &told.signs)),
        clock: Box::new(move || vote.clock_vote()),
        on_agreed_time: Box::new(move |wall| agreed.set_agreed_time(wall)),
        usage: Box::new(move || usage.recent_counts()),
        on_usage_held: Box::new(move |version| noted.mark_held(version)),
        on_usage_copied: Box::new(move |version| copied.mark_copied(version)),
        on_usage: Box::new(move |u| collect.collect(&u.from, u.window, &u.rows)),
        reaches,
        quota_use: Box::new(move || quota_use(&spending)),
        on_quota_totals: Box::new(move |totals, at| on_quota_totals(&summing, totals, at)),
        on_streams: Box::new(move |message| versions.receive(message)),
        shares: share_callbacks(proxy_state),
    }
}

/// Callbacks for the shares of organisations; `None` if the settings do not enable them.
fn share_callbacks(proxy_state: &Arc<ProxyState>) -> Option<ShareCallbacks> {
    let (own, totals) = (proxy_state.clone(), proxy_state.clone());
    proxy_state.org_shares.is_enabled().then(|| ShareCallbacks {
        own_report: Box::new(move || own.org_shares.report()),
        on_totals: Box::new(move |services, at| totals.org_shares.set_totals(services, at)),
    })
}
