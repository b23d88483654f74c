//! The `load` command as a process against a running demo; each example profile must match its
//! document.

use {
    agate_cli::{
        demo::{Demo, read},
        settings::RequestLimits,
    },
    rstest::rstest,
    serde_json::Value,
    std::{net::SocketAddr, path::PathBuf, process::Output},
    tokio::process::Command,
};

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

async fn load(profile: &PathBuf, targets: &[SocketAddr], rest: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatetrack"));
    command.arg("load").arg(profile).args(rest).arg("--target");
    command.args(targets.iter().map(SocketAddr::to_string));
    command.output().await.expect("it runs")
}

/// Every request of every kind must get a complete response, and every booking must run once.
#[rstest]
#[case("savikoda.yaml", "load-savikoda.yaml")]
#[case("board.yaml", "load-board.yaml")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn example_profiles(#[case] document: &str, #[case] profile: &str) {
    let document = read(Some(&example(document))).expect("the example is valid");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let demo = Demo::spawn(document, any, 2, RequestLimits::default()).await.expect("it starts");
    let targets: Vec<_> = demo.instances.iter().map(|i| i.address()).collect();
    let bounds = ["--rate", "40", "--time", "2s", "--seed", "4", "--output", "json"];
    let done = load(&example(profile), &targets, &bounds).await;
    assert!(done.status.success(), "{done:?}");
    let report: Value = serde_json::from_slice(&done.stdout).expect("a JSON report");
    let kinds = report["kinds"].as_array().expect("kinds");
    assert_eq!(kinds.len(), 4);
    for kind in kinds {
        // The test must not depend on the speed of the machine, so late responses count as
        // complete.
        let count = |name: &str| kind["outcomes"][name].as_u64().unwrap_or(0);
        assert_eq!(count("good") + count("late"), kind["sent"].as_u64().unwrap(), "{kind}");
    }
    let bookings = kinds.iter().find(|k| k["name"] == "booking").expect("bookings");
    let runs: Vec<usize> = demo.services.iter().flat_map(|s| s.runs().into_values()).collect();
    assert_eq!(Some(runs.len() as u64), bookings["sent"].as_u64());
    assert!(runs.iter().all(|n| *n == 1));
    demo.stop().await;
}

#[rstest]
#[case::missing("nowhere.yaml", 3, "nowhere.yaml")]
#[case::other_file("savikoda.yaml", 3, "line ")]
#[tokio::test]
async fn invalid_profiles(#[case] profile: &str, #[case] code: i32, #[case] named: &str) {
    let done = load(&example(profile), &[SocketAddr::from(([127, 0, 0, 1], 9))], &[]).await;
    assert_eq!(done.status.code(), Some(code));
    let text = String::from_utf8_lossy(&done.stderr);
    assert!(text.contains(named), "{text}");
}
