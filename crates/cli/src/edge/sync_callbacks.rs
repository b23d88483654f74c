//! Callbacks that connect the synchronisation with other instances to the request path, the usage
//! counters and the duties.

use {
    agate_duty::{counter::Counter, seat::Seat, stage},
    agate_relay::{demand, gate::Gate},
    agate_route::ranking::name_hash,
    agate_sync::{
        message::{Demand, Figures, Load, Suspects},
        runner::Ports,
    },
    agate_view::table::Name,
    std::sync::Arc,
};

/// Engine time that clients of all instances request of `service`.
pub fn total_demand(gate: &Gate, service: &Name) -> stage::Asked {
    let demand::Asked { reading, slots } = gate.all_ask(service);
    stage::Asked { reading, slots }
}

/// Converts the demand for one service from a message; messages carry thousandths.
fn demand_of(demand: &Demand) -> demand::Asked {
    let whole = |milli: u32| f64::from(milli) / 1e3;
    demand::Asked { reading: whole(demand.reading), slots: whole(demand.slots) }
}

/// Figures of this instance, as sent to the others.
fn own_figures(gate: &Gate, seat: &Seat, name: &str) -> Figures {
    let milli = |x: f64| (x * 1e3).round() as u32;
    let demand = |(name, a): (Name, demand::Asked)| Demand {
        service: name_hash(&name) as u32,
        reading: milli(a.reading),
        slots: milli(a.slots),
    };
    let loads = gate.fleet.loads().into_iter();
    Figures {
        loads: loads.map(|(endpoint, open, tokens)| Load { endpoint, open, tokens }).collect(),
        demands: gate.asked().into_iter().map(demand).collect(),
        changing: gate.fleet.own_changing(),
        holder: seat.may_act().map(|_| name.to_owned()),
    }
}

/// Creates the callbacks of the synchronisation.
pub fn callbacks(gate: &Arc<Gate>, counter: &Arc<Counter>, seat: &Arc<Seat>, name: &str) -> Ports {
    let (seat, name) = (seat.clone(), name.to_owned());
    let (own, others) = (gate.clone(), gate.clone());
    let (telling, hearing) = (gate.clone(), gate.clone());
    let (usage, noted, collect) = (counter.clone(), counter.clone(), counter.clone());
    let (vote, agreed, copied) = (counter.clone(), counter.clone(), counter.clone());
    Ports {
        own: Box::new(move || own_figures(&own, &seat, &name)),
        others: Box::new(move |figures| {
            others.set_others_ask(
                figures.demands.iter().map(|d| (d.service, demand_of(d))).collect(),
            );
            let loads = figures.loads.iter().map(|l| (l.endpoint, (l.open, l.tokens)));
            others.fleet.set_others(&loads.collect());
            others.fleet.set_others_changing(&figures.changing);
        }),
        suspects: Box::new(move || {
            let (revision, signs) = telling.quarantine.news();
            Suspects { revision, signs }
        }),
        suspects_told: Box::new(move |told| hearing.quarantine.merge(told.revision, &told.signs)),
        clock: Box::new(move || vote.vote()),
        agreed: Box::new(move |wall| agreed.agree(wall)),
        usage: Box::new(move || usage.newest()),
        usage_noted: Box::new(move |version| noted.note_kept(version)),
        usage_copied: Box::new(move |version| copied.note_copied(version)),
        collect: Box::new(move |u| collect.collect(&u.from, u.window, &u.rows)),
    }
}
