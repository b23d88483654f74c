//! The example documents are accepted, and each injected problem is reported at its location.

use {
    agate_config::{Document, Problem, check, parse, verify},
    rstest::rstest,
};

const SAVIKODA: &str = include_str!("../../../examples/savikoda.yaml");
const BOARD: &str = include_str!("../../../examples/board.yaml");

fn problems(text: &str) -> Vec<Problem> {
    verify(&parse(text).expect("text parses"))
}

#[rstest]
#[case(SAVIKODA)]
#[case(BOARD)]
fn examples_accepted(#[case] text: &str) {
    let doc = parse(text).expect("example parses");
    assert_eq!(verify(&doc), []);
    assert_eq!(doc.organisations.len(), 8);
    assert_eq!(doc.fleet.endpoints.len(), 12);
    assert_eq!(doc.fleet.zones.len(), 4);
}

#[rstest]
#[case("schema: 1\nrouts: []\n", "line 2, column 1", "routs")]
#[case(
    "schema: 1\nbudgets:\n  a: {tokens: 1, period: 1d}\n  a: {tokens: 2, period: 1d}\n",
    "line 4",
    "duplicate"
)]
#[case("schema: 1\nmodels: [\n", "line", "")]
#[case("schema: one\n", "line 1", "")]
#[case("", "line", "")]
fn parse_problems(#[case] text: &str, #[case] place: &str, #[case] message: &str) {
    let found = parse(text).expect_err("text is refused");
    assert!(found[0].place.contains(place), "{found:?}");
    assert!(found[0].message.contains(message), "{found:?}");
}

/// One edit of the Savikoda example, and the location at which it is a problem.
#[rstest]
#[case("schema: 1", "schema: 2", "schema")]
#[case("budget: medium", "budget: huge", "organisations.kolga.budget")]
#[case("weight: 40", "weight: 0", "organisations.palmse.weight")]
#[case("models: [tile-match]", "models: [other]", "organisations.palmse.models[0]")]
#[case(
    "models: [tile-match]",
    "models: [tile-match, tile-match]",
    "organisations.palmse.models[1]"
)]
#[case("services: [order-desk]", "services: [glaze-oracle]", "organisations.palmse.services[0]")]
#[case("pool: glaze-oracle", "pool: order-desk", "models.tile-match.pool")]
#[case("current: v1", "current: v2", "models.tile-match.current")]
#[case("    current: v1\n", "", "models.tile-match.current")]
#[case("first: 780ms", "first: 0ms", "models.tile-match.first")]
#[case("output: 2048", "output: 0", "models.tile-match.output")]
#[case("tokens: 400000000", "tokens: 0", "budgets.large.tokens")]
#[case("period: 1day", "period: 1ms", "budgets.large.period")]
#[case("harju-b: 1500us", "harju-x: 1500us", "fleet.zones.harju-a.delays.harju-x")]
#[case("harju-b: 1500us", "harju-b: 11s", "fleet.zones.harju-a.delays.harju-b")]
#[case("harju-b: 1500us, ", "", "fleet.zones.harju-a.delays")]
#[case("slots: 32", "slots: 0", "fleet.pools.glaze-oracle.slots")]
#[case("service, slots", "service, fenced: true, slots", "fleet.pools.order-desk.fenced")]
#[case("zone: harju-a", "zone: harju-z", "fleet.endpoints.glaze-oracle-1.zone")]
#[case(
    "{pool: glaze-oracle, zone: harju-a",
    "{pool: none, zone: harju-a",
    "fleet.endpoints.glaze-oracle-1.pool"
)]
#[case("127.0.0.1:7102", "127.0.0.1:7101", "fleet.endpoints.glaze-oracle-2.address")]
#[case("127.0.0.1:7101", "127.0.0.1:0", "fleet.endpoints.glaze-oracle-1.address")]
#[case(
    "pool: order-desk, zone: harju-a",
    "pool: order-desk, role: decode, zone: harju-a",
    "fleet.endpoints.order-desk-1.role"
)]
#[case("path: /deposits", "path: /orders/", "routes[3].path")]
#[case("path: /deposits", "path: deposits", "routes[3].path")]
#[case("path: /deposits", "path: /a/../b", "routes[3].path")]
#[case("methods: [POST]", "methods: []", "routes[0].methods")]
#[case("methods: [POST]", "methods: [post]", "routes[0].methods")]
#[case("kind: model", "kind: service", "routes[0].pool")]
#[case("kind: model", "kind: model\n    open: true", "routes[0].open")]
#[case("booking: required", "booking: required\n    idempotent: true", "routes[3].booking")]
#[case("deadline: 20s", "deadline: 0s", "routes[0].deadline")]
#[case("  palmse:", "  pal mse:", "organisations.pal mse")]
#[case("      first:", "      -first:", "organisations.palmse.keys.-first")]
#[case(
    "fenced: false, slots: 32",
    "roles: {prefill: 0, decode: 9}",
    "fleet.pools.glaze-oracle.roles.prefill"
)]
#[case(
    "fenced: false, slots: 32",
    "roles: {prefill: 9, decode: 9, pieces: 65}",
    "fleet.pools.glaze-oracle.roles.pieces"
)]
#[case(
    "fenced: false, slots: 32",
    "roles: {prefill: 9, decode: 9, away: 0s}",
    "fleet.pools.glaze-oracle.roles.away"
)]
#[case(
    "fenced: false, slots: 32",
    "roles: {prefill: 9, decode: 9}",
    "fleet.endpoints.glaze-oracle-1.role"
)]
#[case("slots: 64", "roles: {prefill: 9, decode: 9}", "fleet.pools.order-desk.roles")]
fn injected_problems(#[case] from: &str, #[case] to: &str, #[case] place: &str) {
    let text = SAVIKODA.replacen(from, to, 1);
    assert_ne!(text, SAVIKODA, "the edit applies");
    let found = problems(&text);
    assert!(found.iter().any(|p| p.place == place), "{found:?}");
}

#[test]
fn key_problems() {
    let mut doc = parse(SAVIKODA).expect("example parses");
    let other = doc.organisations["sagadi"].keys["first"].clone();
    doc.organisations["palmse"].keys["first"] = other;
    doc.organisations["kolga"].keys["first"].sha256.make_ascii_uppercase();
    let places: Vec<_> = verify(&doc).into_iter().map(|p| p.place).collect();
    let expected =
        ["organisations.sagadi.keys.first.sha256", "organisations.kolga.keys.first.sha256"];
    assert_eq!(places, expected);
}

#[test]
fn all_problems() {
    let text = SAVIKODA.replace("budget: large", "budget: none").replace("slots: 64", "slots: 0");
    assert_eq!(problems(&text).len(), 4, "three organisations and a pool");
}

#[test]
fn empty_accepted() {
    assert_eq!(verify(&Document { schema: 1, ..Document::default() }), []);
}

/// Problems found by the verifier are located in the text, or their nearest enclosing entry is.
#[rstest]
#[case("budget: medium", "budget: huge", "budget: huge", 5)]
#[case("127.0.0.1:7102", "127.0.0.1:7101", "glaze-oracle-2:", 43)]
#[case("deadline: 20s", "deadline: 0s", "deadline: 0s", 5)]
#[case("    current: v1\n", "", "  tile-match:", 3)]
fn problem_lines(#[case] from: &str, #[case] to: &str, #[case] at: &str, #[case] column: usize) {
    let text = SAVIKODA.replacen(from, to, 1);
    let line = 1 + text.lines().position(|l| l.contains(at)).expect("the text holds it");
    let found = check(&text).expect_err("a fault");
    let place = &found[0].place;
    assert!(place.starts_with(&format!("line {line}, column ")), "line {line}: {place}");
    if column < 10 {
        assert!(place.contains(&format!("column {column},")), "{place}");
    }
}
