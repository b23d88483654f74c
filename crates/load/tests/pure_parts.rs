//! The pure parts: a plan must be reproducible, a report sorted by goodput, a broken stream
//! detected

//! and an invalid profile rejected.

use {
    agate_load::{
        Organisation, Outcome, exchange::StreamCheck, mix::Kind, plan, profile, report::RunStats,
        report::Sample,
    },
    rstest::rstest,
    std::time::Duration,
};

const BOARD: &str = include_str!("../../../examples/load-board.yaml");
const SAVIKODA: &str = include_str!("../../../examples/load-savikoda.yaml");

fn organisations() -> Vec<Organisation> {
    let make = |name: &str, weight| Organisation { name: name.into(), key: String::new(), weight };
    vec![make("a", 9.0), make("b", 1.0)]
}

#[test]
fn seeded_plan() {
    let mix = profile::parse(BOARD).unwrap().mix;
    let draw = |seed| plan(seed, 500.0, Duration::from_secs(20), &organisations(), &mix);
    let p = draw(5);
    assert_eq!(p, draw(5));
    assert_ne!(p, draw(6));
    assert!(p.is_sorted_by_key(|a| a.at));
    // Within four standard deviations of the mean, 10,000, of the Poisson distribution.
    assert!(p.len().abs_diff(10_000) < 400, "{}", p.len());
    let small = p.iter().filter(|a| a.organisation == 1).count();
    assert!(small.abs_diff(1_000) < 120, "{small}");
}

#[test]
fn lowest_goodput_first() {
    let mut t = RunStats::default();
    let sample = |outcome, ms| Sample {
        outcome,
        whole: Duration::from_millis(ms),
        first: Some(Duration::from_millis(ms)),
        between: None,
    };
    t.add("fast", Kind::Lookup, &sample(Outcome::Good, 1));
    t.add("slow", Kind::Lookup, &sample(Outcome::Good, 100));
    t.add("poor", Kind::Lookup, &sample(Outcome::Lost, 1));
    let report = t.report(1, 1.0, Duration::from_secs(1));
    let names: Vec<_> = report.organisations.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(names, ["poor", "slow", "fast"]);
    assert!((report.total.goodput - 2.0 / 3.0).abs() < 1e-9);
}

const USAGE: &str = "data: {\"usage\":{}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

#[rstest]
#[case::complete(&[0, 1], true, true, "", true)]
#[case::gap(&[0, 2], true, true, "", false)]
#[case::duplicate(&[0, 0, 1], true, true, "", false)]
#[case::short(&[0], true, true, "", false)]
#[case::no_end(&[0, 1], true, false, "", false)]
#[case::no_usage(&[0, 1], false, true, "", false)]
#[case::extra(&[0, 1], true, true, "data: {\"token_index\":2}\n\n", false)]
fn stream_check(
    #[case] tokens: &[u32],
    #[case] usage: bool,
    #[case] done: bool,
    #[case] tail: &str,
    #[case] complete: bool,
) {
    let mut text: String =
        tokens.iter().map(|i| format!("data: {{\"token_index\":{i}}}\n\n")).collect();
    text += if usage { USAGE } else { "" };
    text += if done { DONE } else { "" };
    text += tail;
    let mut check = StreamCheck::default();
    let mut rest = Vec::new();
    for chunk in text.as_bytes().chunks(7) {
        rest.extend_from_slice(chunk);
        check.take(&mut rest);
    }
    assert_eq!(check.complete(2), complete);
}

/// Instances do not number tokens, so the chunks are counted and compared with the reported usage.
#[rstest]
#[case::complete(2, r#"{"choices":[],"usage":{"completion_tokens":2}}"#, true)]
#[case::lost(1, r#"{"choices":[],"usage":{"completion_tokens":2}}"#, false)]
#[case::miscounted(2, r#"{"choices":[],"usage":{"completion_tokens":3}}"#, false)]
#[case::error_chunk(2, r#"{"error":{"code":"deadline"}}"#, false)]
fn unnumbered_stream(#[case] tokens: u32, #[case] last: &str, #[case] complete: bool) {
    let token = r#"{"choices":[{"delta":{"content":"a "},"finish_reason":null}]}"#;
    let finish = r#"{"choices":[{"delta":{"content":""},"finish_reason":"stop"}]}"#;
    let mut events = vec![token; tokens as usize];
    events.extend([finish, last, "[DONE]"]);
    let mut text: Vec<u8> =
        events.iter().flat_map(|e| format!("data: {e}\n\n").into_bytes()).collect();
    let mut check = StreamCheck::default();
    check.take(&mut text);
    assert_eq!(check.complete(2), complete);
}

#[rstest]
#[case::unknown_key("schema: 1", "schema: 1\nrates: 2", "line 3")]
#[case::schema("schema: 1", "schema: 2", "schema: accepted is 1")]
#[case::path("/orders/kiln", "orders", "mix.shares[2].path: accepted is an absolute path")]
#[case::bounds("[40, 400]", "[400, 40]", "mix.shares[0].prompt: the least")]
#[case::weight("key: demo-palmse-key, weight: 40", "weight: -1", "organisations[0].weight")]
#[case::deadline("deadline: 5s", "deadline: 0s", "mix.shares[2].deadline")]
fn invalid_profile(#[case] good: &str, #[case] bad: &str, #[case] problem: &str) {
    assert!(SAVIKODA.contains(good));
    let problems = profile::parse(&SAVIKODA.replacen(good, bad, 1)).unwrap_err();
    assert!(problems.iter().any(|p| p.contains(problem)), "{problems:?}");
}
