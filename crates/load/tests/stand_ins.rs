//! Runs against stand-ins: every request must be counted once, and with the right outcome if the

//! endpoint fails.

use {
    agate_load::{Organisation, Outcome, Settings, mix::Kind, plot, profile, run},
    agate_standin::{Engine, EngineSettings, Service},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
};

const PROFILE: &str = include_str!("../../../examples/load-savikoda.yaml");

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Settings of a run with about a hundred requests of the given kinds.
fn settings(target: SocketAddr, kinds: &[Kind]) -> Settings {
    let mut mix = profile::parse(PROFILE).unwrap().mix;
    mix.model = EngineSettings::default().models[0].0.clone();
    mix.shares.retain(|s| kinds.contains(&s.kind));
    for share in &mut mix.shares {
        share.deadline = Duration::from_secs(60);
        // Engines have one path; the prefix belongs to the routes of instances.
        share.path = share.path.replace("/dossiers/", "/");
    }
    let organisation =
        |name: &str, weight| Organisation { name: name.into(), key: "secret".into(), weight };
    Settings {
        targets: vec![target],
        seed: 3,
        rate: 400.0,
        time: Duration::from_millis(250),
        grace: Duration::from_secs(30),
        open: 64,
        organisations: vec![organisation("large", 3.0), organisation("small", 1.0)],
        mix,
        echo: true,
    }
}

const MODEL: &[Kind] = &[Kind::Question, Kind::Dossier];
const SERVICE: &[Kind] = &[Kind::Booking, Kind::Lookup];

#[tokio::test]
async fn complete_streams() {
    let engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    let report = run(settings(engine.address(), MODEL), |_| ()).await.unwrap();
    assert_eq!(report.total.goodput, 1.0, "{:?}", report.total);
    assert_eq!(engine.log().len() as u64, report.total.sent);
    let names: u64 = report.organisations.iter().map(|r| r.sent).sum();
    let kinds: u64 = report.kinds.iter().map(|r| r.sent).sum();
    assert_eq!((names, kinds), (report.total.sent, report.total.sent));
    assert!(report.total.first.p50 > 0.0 && report.total.between.p50 > 0.0);
}

#[tokio::test]
async fn single_executions() {
    let service = Service::bind(any(), "desk").await.unwrap();
    let report = run(settings(service.address(), SERVICE), |_| ()).await.unwrap();
    assert_eq!(report.total.goodput, 1.0, "{:?}", report.total);
    let bookings = report.kinds.iter().find(|r| r.name == "booking").unwrap().sent;
    let runs = service.runs();
    assert_eq!(runs.len() as u64, bookings);
    assert!(runs.values().all(|n| *n == 1));
}

#[rstest]
#[case::interrupted(|e: &Engine| e.set(|f| f.cut_after = Some(1)), Outcome::Broken)]
#[case::short(|e: &Engine| e.set(|f| f.short_end = Some(1)), Outcome::Broken)]
#[case::wrong_id(|e: &Engine| e.set(|f| f.wrong_id = true), Outcome::Broken)]
#[case::not_run(|e: &Engine| e.set(|f| f.not_run = true), Outcome::NotRun)]
#[case::refused(|e: &Engine| e.stop(), Outcome::Lost)]
#[tokio::test]
async fn fault_outcomes(#[case] fault: fn(&Engine), #[case] outcome: Outcome) {
    let engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    fault(&engine);
    let report = run(settings(engine.address(), MODEL), |_| ()).await.unwrap();
    assert_eq!(report.total.outcomes.get(&outcome), Some(&report.total.sent), "{report:?}");
}

#[tokio::test]
async fn stalled_target() {
    let engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    engine.set(|f| f.stall_after = Some(1));
    let mut s = settings(engine.address(), MODEL);
    s.grace = Duration::from_millis(100);
    let report = run(s, |_| ()).await.unwrap();
    assert_eq!(report.total.outcomes.get(&Outcome::Lost), Some(&report.total.sent));
}

#[tokio::test]
async fn report_formats() {
    let service = Service::bind(any(), "desk").await.unwrap();
    let report = run(settings(service.address(), SERVICE), |_| ()).await.unwrap();
    assert!(report.json().contains("\"organisations\"") && !report.json().contains("secret"));
    assert!(report.table().contains("| small |"));
    let path = std::env::temp_dir().join(format!("agate-load-{}.svg", std::process::id()));
    plot::write(&report, &path).unwrap();
    assert!(std::fs::read_to_string(&path).unwrap().contains("<svg"));
    std::fs::remove_file(&path).unwrap();
}

/// The latency includes the time that a request waits before it is sent. With one open request and
/// a fixed service time, the last of n requests cannot end before n times the service time.
#[tokio::test]
async fn waiting_counts() {
    let delay = Duration::from_millis(20);
    let service = Service::bind(any(), "desk").await.unwrap();
    service.set(|f| f.delay = delay);
    let s = Settings { open: 1, ..settings(service.address(), &[Kind::Lookup]) };
    let plan_time = s.time;
    let report = run(s, |_| ()).await.unwrap();
    let min_latency = delay * report.total.sent as u32 - plan_time;
    assert!(report.total.whole.max >= min_latency.as_secs_f64() * 1e3, "{:?}", report.total.whole);
}
