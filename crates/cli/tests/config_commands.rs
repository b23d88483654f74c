//! The `config` command as a process, against a stand-in of the platform.

use {
    agate_standin::Platform,
    rstest::rstest,
    std::{fs, net::SocketAddr, path::PathBuf, process::Output},
    tokio::process::Command,
};

const SAVIKODA: &str = include_str!("../../../examples/savikoda.yaml");

/// A file with a document; removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("{name}-{}.yaml", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).expect("written");
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.0));
    }
}

async fn platform() -> Platform {
    Platform::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("bound")
}

async fn config(action: &str, file: &File, rest: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatetrack"));
    command.args(["config", action]).arg(&file.0).args(rest);
    command.output().await.expect("it runs")
}

/// Applies a document; returns the exit code, standard output and standard error.
async fn apply(platform: &Platform, file: &File, rest: &[&str]) -> (Option<i32>, String, String) {
    let address = platform.address().to_string();
    let all = ["--platform", &address, "--output", "json"];
    let done = config("apply", file, &[&all, rest].concat()).await;
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (done.status.code(), text(done.stdout).trim().into(), text(done.stderr))
}

fn with_weight(weight: u32) -> String {
    SAVIKODA.replacen("weight: 40", &format!("weight: {weight}"), 1)
}

/// Error messages without the line of the fault.
#[rstest]
#[case("unknown", "budget: large", "budget: huge")]
#[case("syntax", "weight: 40", "weight: many")]
#[tokio::test]
async fn reported_lines(#[case] name: &str, #[case] good: &str, #[case] bad: &str) {
    let text = SAVIKODA.replacen(good, bad, 1);
    let line = text.lines().position(|l| l.contains(bad)).expect("present") + 1;
    let done = config("check", &File::new(name, &text), &[]).await;
    assert_eq!(done.status.code(), Some(3));
    let stderr = String::from_utf8(done.stderr).expect("text");
    assert!(stderr.contains(&format!("line {line}")), "{stderr}");
}

#[tokio::test]
async fn stale_base() {
    let platform = platform().await;
    let (first, second) = (File::new("base-1", SAVIKODA), File::new("base-2", &with_weight(41)));
    let (code, out, _) = apply(&platform, &first, &["--base", "0"]).await;
    assert_eq!((code, &*out), (Some(0), r#"{"changed":true,"generation":1}"#));
    assert_eq!(apply(&platform, &second, &["--base", "1"]).await.0, Some(0));
    let third = File::new("base-3", &with_weight(42));
    let (code, _, stderr) = apply(&platform, &third, &["--base", "1", "--author", "mari"]).await;
    assert_eq!(code, Some(4), "{stderr}");
    assert!(stderr.contains("section organisations was changed"), "{stderr}");
}

/// A retried apply repeats the change. With the token and base of the first attempt it must find
/// the first attempt's generation, even after a later change.
#[tokio::test]
async fn retried_token() {
    let platform = platform().await;
    let first = File::new("token-1", SAVIKODA);
    assert_eq!(apply(&platform, &first, &[]).await.0, Some(0));
    let retried = File::new("token-2", &with_weight(41));
    let again = ["--base", "1", "--token", "0123456789abcdef"];
    assert_eq!(apply(&platform, &retried, &again).await.0, Some(0));
    let other = File::new("token-3", &with_weight(42));
    assert_eq!(apply(&platform, &other, &[]).await.0, Some(0));
    let (code, out, _) = apply(&platform, &retried, &again).await;
    assert_eq!((code, &*out), (Some(0), r#"{"changed":true,"generation":2}"#));
    let without_base = apply(&platform, &retried, &["--token", "0123456789abcdef"]).await;
    assert_eq!(without_base.0, Some(2), "a token without its base was accepted");
}
