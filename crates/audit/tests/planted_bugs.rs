//! The checks themselves are tested with planted violations: an invariant's check must find its
//! own, the others must find none, and a valid history must pass.

use {
    agate_audit::{
        Invariant, check,
        history::{
            Accepted, Call, Change, Claim, Ending, EngineOrder, Fault, FaultScope, FleetOrder,
            History, Install, Key, LeaseHold, Leaving, ProcessEnd, ProcessRun, Report, Run, RunEnd,
            STORE, Span, Time,
        },
    },
    rstest::rstest,
};

const KEY: &str = "palmse-key";
const OTHER_KEY: &str = "kolga-key";

fn s(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

fn call(id: &str, instance: &str, span: (u64, u64)) -> Call {
    Call {
        id: id.into(),
        instance: instance.into(),
        key: Some(KEY.into()),
        open: false,
        idempotency_key: None,
        expected: format!("answer to {id}"),
        span: Span::new(s(span.0), s(span.1)),
        ending: Ending::Whole(format!("answer to {id}")),
    }
}

fn run(call: &str, endpoint: &str, span: (u64, u64)) -> Run {
    Run {
        endpoint: endpoint.into(),
        call: call.into(),
        org: Some("palmse".into()),
        idempotency_key: None,
        headers: vec![("x-request-id".into(), call.into())],
        span: Span::new(s(span.0), s(span.1)),
        end: RunEnd::Whole,
    }
}

fn order(id: &str, fence: u64, span: (u64, u64)) -> EngineOrder {
    EngineOrder {
        engine: "oracle-1".into(),
        authority: "piece/1".into(),
        id: id.into(),
        kind: "role".into(),
        fence,
        span: Span::new(s(span.0), s(span.1)),
        effect: true,
    }
}

fn hold(authority: &str, holder: &str, fence: u64, span: (u64, u64)) -> LeaseHold {
    let span = Span::new(s(span.0), s(span.1));
    LeaseHold { authority: authority.into(), holder: holder.into(), fence, span }
}

fn fleet(id: &str, fence: u64) -> FleetOrder {
    FleetOrder { authority: "fleet/harju".into(), id: id.into(), fence }
}

fn report(figures: &str) -> Report {
    Report { window: "60".into(), shard: "0".into(), figures: figures.into() }
}

fn install(instance: &str, generation: u64, at: u64) -> Install {
    Install { instance: instance.into(), generation, at: s(at) }
}

fn life(instance: &str, span: (u64, Option<u64>), end: ProcessEnd) -> ProcessRun {
    ProcessRun { instance: instance.into(), span: Span::new(s(span.0), span.1.map(s)), end }
}

fn fault(process: &str, span: (u64, Option<u64>)) -> Fault {
    let span = Span::new(s(span.0), span.1.map(s));
    Fault { process: process.into(), scope: FaultScope::Whole, kind: "planted".into(), span }
}

/// Valid history: two instances serve for two minutes, and one of them stops at 50 s. It has events
/// for every invariant, and faults that explain the failed calls.
fn valid_history() -> History {
    let booking = |id: &str, ending: Ending, span| Call {
        idempotency_key: Some("b-1".into()),
        ending,
        ..call(id, "entry-2", span)
    };
    let key = |value: &str, org: &str, revoked: Option<u64>| Key {
        value: value.into(),
        org: org.into(),
        revoked: revoked.map(s),
    };
    let accepted = |generation, at| Accepted { generation, at: s(at) };
    let mut booked = run("c3", "desk-1", (20, 21));
    (booked.org, booked.idempotency_key) = (None, Some("b-1".into()));
    History {
        calls: vec![
            call("c1", "entry-1", (1, 5)),
            call("c2", "entry-1", (45, 55)),
            booking("c3", Ending::Cut, (20, 22)),
            booking(
                "c4",
                Ending::Refused("claim_outcome_unknown".into(), Claim::Unknown),
                (24, 25),
            ),
            Call {
                ending: Ending::Refused("no_endpoint".into(), Claim::NotRun),
                ..call("c5", "entry-2", (30, 31))
            },
            Call { ending: Ending::Cut, ..call("c6", "entry-2", (62, 64)) },
            Call { key: None, open: true, ..call("c7", "entry-2", (82, 83)) },
        ],
        runs: vec![
            run("c1", "oracle-1", (1, 5)),
            run("c2", "oracle-1", (45, 55)),
            booked,
            Run { end: RunEnd::Crashed, ..run("c6", "oracle-2", (62, 63)) },
            Run { org: None, ..run("c7", "desk-2", (82, 83)) },
        ],
        orders: vec![
            order("o1", 1, (10, 12)),
            order("o1", 1, (11, 12)),
            order("o2", 2, (14, 15)),
            EngineOrder { effect: false, ..order("o3", 1, (14, 14)) },
        ],
        fleet: vec![fleet("f1", 1), fleet("f2", 2), fleet("f3", 2)],
        reports: vec![report("a"), report("a")],
        lease_holds: vec![
            hold("usage/0", "entry-1", 1, (0, 50)),
            hold("usage/0", "entry-2", 2, (52, 120)),
            hold("usage/1", "entry-2", 1, (0, 120)),
            hold("fleet/harju", "entry-2", 1, (0, 120)),
        ],
        keys: vec![key(KEY, "palmse", Some(85)), key(OTHER_KEY, "kolga", None)],
        leaving: vec![Leaving { endpoint: "oracle-2".into(), span: Span::new(s(60), None) }],
        accepted: vec![accepted(1, 0), accepted(2, 30)],
        installs: vec![
            install("entry-1", 1, 0),
            install("entry-2", 1, 0),
            install("entry-1", 2, 31),
            install("entry-2", 2, 47),
        ],
        process_runs: vec![
            life("entry-1", (0, Some(56)), ProcessEnd::Stopped(s(50))),
            life("entry-2", (0, None), ProcessEnd::None),
        ],
        faults: vec![
            fault("desk-1", (21, Some(23))),
            fault("entry-2", (32, Some(40))),
            fault("oracle-2", (63, Some(66))),
        ],
        changes: vec![Change { kind: "configuration 2".into(), span: Span::new(s(30), s(47)) }],
        end: s(120),
        ..History::default()
    }
}

#[test]
fn valid_history_passes() {
    assert_eq!(check(&valid_history()), []);
}

/// Without one of the faults, the failure that it explains must be reported.
#[rstest]
#[case::lost_response(0, Invariant::Responses)]
#[case::cut_off(1, Invariant::Generations)]
#[case::crash(2, Invariant::Responses)]
fn unexplained_failure(#[case] index: usize, #[case] invariant: Invariant) {
    let mut history = valid_history();
    history.faults.remove(index);
    let found = check(&history);
    assert!(!found.is_empty() && found.iter().all(|v| v.invariant == invariant), "{found:?}");
}

type PlantedBug = fn(&mut History);

#[rstest]
#[case::concurrent(Invariant::Orders, |h: &mut History| h.orders.push(order("o4", 1, (11, 13))))]
#[case::refused_during(Invariant::Orders, |h: &mut History| {
    h.orders.push(EngineOrder { effect: false, ..order("o4", 2, (11, 11)) });
})]
#[case::evicted(Invariant::Changes, |h: &mut History| h.runs[0].end = RunEnd::Evicted)]
#[case::interrupted_by_change(Invariant::Changes, |h: &mut History| {
    h.calls.push(Call { ending: Ending::Cut, ..call("c9", "entry-1", (41, 44)) });
})]
#[case::stale_token(Invariant::Authority, |h: &mut History|
    h.orders.push(order("o4", 1, (16, 17))))]
#[case::lease_lost(Invariant::Authority, |h: &mut History| {
    h.lease_holds.push(hold("piece/1", "entry-2", 3, (16, 120)));
    h.orders.push(order("o4", 2, (18, 19)));
})]
#[case::other_org(Invariant::Owner, |h: &mut History| h.runs[0].org = Some("kolga".into()))]
#[case::unknown_key(Invariant::Owner, |h: &mut History| h.calls[0].key = Some("nobody's".into()))]
#[case::missing_key(Invariant::Owner, |h: &mut History| h.calls[6].open = false)]
#[case::never_sent(Invariant::Owner, |h: &mut History| h.runs[0].call = "c0".into())]
#[case::leaked_key(Invariant::Secrecy, |h: &mut History| {
    h.runs[1].headers.push(("cookie".into(), format!("key={OTHER_KEY}")));
})]
#[case::revoked_key(Invariant::Revocation, |h: &mut History| {
    h.calls.push(call("c9", "entry-2", (98, 100)));
    h.runs.push(run("c9", "oracle-1", (98, 99)));
})]
#[case::former_holder(Invariant::Fleet, |h: &mut History| h.fleet.push(fleet("f4", 1)))]
#[case::two_fleet_holders(Invariant::Fleet, |h: &mut History| {
    h.lease_holds.push(hold("fleet/harju", "entry-1", 2, (40, 50)));
})]
#[case::other_figures(Invariant::Usage, |h: &mut History| h.reports.push(report("b")))]
#[case::two_usage_holders(Invariant::Usage, |h: &mut History| h.lease_holds[1].span.from = s(49))]
#[case::wrong_response(Invariant::Responses, |h: &mut History| {
    h.calls[0].ending = Ending::Whole("answer to c2".into());
})]
#[case::short_response(Invariant::Responses, |h: &mut History| {
    h.calls[0].ending = Ending::Whole("answer".into());
})]
#[case::interrupted(Invariant::Responses, |h: &mut History| h.calls[0].ending = Ending::Cut)]
#[case::missing_response(Invariant::Responses, |h: &mut History| h.calls[6].ending = Ending::Open)]
#[case::fault_elsewhere(Invariant::Responses, |h: &mut History|
    h.faults[2].process = "oracle-3".into())]
#[case::false_not_run(Invariant::NotRun, |h: &mut History| {
    h.runs.push(run("c5", "oracle-1", (30, 31)));
})]
#[case::executed_twice(Invariant::Idempotency, |h: &mut History| {
    let again = Run { call: "c4".into(), endpoint: "desk-2".into(), ..h.runs[2].clone() };
    h.runs.push(again);
})]
#[case::new_request(Invariant::Leaving, |h: &mut History| {
    h.calls.push(call("c9", "entry-2", (70, 71)));
    h.runs.push(run("c9", "oracle-2", (70, 71)));
})]
#[case::interrupted_by_stop(Invariant::Stops, |h: &mut History| h.calls[1].ending = Ending::Cut)]
#[case::unfinished_stop(Invariant::Stops, |h: &mut History|
    h.process_runs[0].end = ProcessEnd::Broken(s(50)))]
#[case::reverted(Invariant::Generations, |h: &mut History|
    h.installs.push(install("entry-2", 1, 60)))]
#[case::overdue(Invariant::Generations, |h: &mut History| h.installs[3].at = s(60))]
#[case::never_installed(Invariant::Generations, |h: &mut History| h.installs.truncate(3))]
fn planted_bug(#[case] invariant: Invariant, #[case] bug: PlantedBug) {
    let mut history = valid_history();
    bug(&mut history);
    let found = check(&history);
    assert!(!found.is_empty(), "the violation was not found");
    assert!(found.iter().all(|v| v.invariant == invariant), "{found:?}");
}

/// A store fault extends the time limit of a generation, and explains only calls with an
/// idempotency key.
#[rstest]
#[case::outage(&[STORE], FaultScope::Whole)]
#[case::cut_off(&["entry-1", "entry-2"], FaultScope::Store)]
fn store_faults(#[case] processes: &[&str], #[case] scope: FaultScope) {
    let mut history = valid_history();
    let fault = |name: &str| Fault { scope, ..fault(name, (0, Some(119))) };
    history.faults = processes.iter().map(|name| fault(name)).collect();
    history.installs.truncate(2);
    let found = check(&history);
    assert!(found.iter().all(|v| v.evidence.starts_with("c6 ")), "{found:?}");
    assert_eq!(found.len(), 1);
}

/// Every invariant must have a planted violation.
#[test]
fn every_invariant() {
    let text = include_str!("planted_bugs.rs");
    for invariant in Invariant::ALL {
        assert!(
            text.contains(&format!("(Invariant::{invariant:?}, |")),
            "no case for {invariant:?}"
        );
    }
}
