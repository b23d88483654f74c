//! Agreement of most instances that nobody knows newer endpoint entries, while the store confirms none.

use {
    agate_sync::{
        agreement::{Agreement, MAX_ANSWER_AGE, OwnEntries},
        poller::{Confirmation, Outcome},
    },
    rstest::rstest,
    std::time::Duration,
};

const NAMES: [&str; 4] = ["n0", "n1", "n2", "n3"];
/// Digest of the own entries.
const DIGEST: u64 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(10_000 + n)
}

/// Own entries, confirmed before all answers.
const OWN: OwnEntries = OwnEntries { digest: DIGEST, confirmed: Duration::from_secs(9) };

/// Response to a request sent at `sent`, by an instance whose entries were confirmed at `at`.
fn response(from: &str, sent: u64, version: u64, at: Duration) -> Outcome {
    let roster = Some(Confirmation { version, at });
    Outcome { from: from.into(), sent: ms(sent), roster, ..Outcome::default() }
}

/// Guards against a minority that takes its own knowledge for that of all.
#[rstest]
#[case::alone(&[], None)]
#[case::half(&[("n1", 5)], None)]
#[case::most(&[("n1", 5), ("n2", 3)], Some(3))]
#[case::all(&[("n1", 5), ("n2", 3), ("n3", 9)], Some(5))]
fn most_must_answer(#[case] answers: &[(&str, u64)], #[case] agreed: Option<u64>) {
    let mut agreement = Agreement::default();
    for (from, sent) in answers {
        agreement.on_response(&response(from, *sent, DIGEST, ms(0)), ms(20));
    }
    assert_eq!(agreement.agreed_at(&NAMES, "n0", OWN, ms(20)), agreed.map(ms));
}

/// Guards against an agreement while one instance has learned of a change.
#[rstest]
#[case::same_entries(DIGEST, ms(0), true)]
#[case::older_entries(8, Duration::from_secs(8), true)]
#[case::newer_entries(8, ms(0), false)]
// Stated to be as old as the own ones, but the response took a while.
#[case::delayed(8, OWN.confirmed - Duration::from_millis(10), false)]
fn newer_entries(#[case] version: u64, #[case] at: Duration, #[case] agreed: bool) {
    let mut agreement = Agreement::default();
    for from in ["n1", "n2"] {
        agreement.on_response(&response(from, 5, DIGEST, ms(0)), ms(20));
    }
    agreement.on_response(&response("n3", 5, version, at), ms(20));
    assert_eq!(agreement.agreed_at(&NAMES, "n0", OWN, ms(20)).is_some(), agreed);
}

/// Guards against an answer that forbids the agreement after its entries were taken over, or its instance
/// has gone.
#[test]
fn outdated_answers() {
    let mut agreement = Agreement::default();
    agreement.on_response(&response("n3", 5, 8, ms(0)), ms(20));
    for from in ["n1", "n2"] {
        agreement.on_response(&response(from, 10, 8, ms(0)), ms(20));
    }
    assert_eq!(agreement.agreed_at(&NAMES, "n0", OWN, ms(20)), None);
    let taken_over = OwnEntries { digest: 8, confirmed: ms(0) };
    assert_eq!(agreement.agreed_at(&NAMES, "n0", taken_over, ms(20)), Some(ms(10)));
    let gone = 5 + MAX_ANSWER_AGE.as_millis() as u64;
    for from in ["n1", "n2"] {
        agreement.on_response(&response(from, gone - 5, DIGEST, ms(0)), ms(gone - 1));
    }
    assert_eq!(agreement.agreed_at(&NAMES, "n0", OWN, ms(gone - 1)), None);
    assert_eq!(agreement.agreed_at(&NAMES, "n0", OWN, ms(gone)), Some(ms(gone - 5)));
}

/// A single instance agrees with itself; one that knows no instances does not.
#[test]
fn few_instances() {
    let agreement = Agreement::default();
    assert_eq!(agreement.agreed_at(&["n0"], "n0", OWN, ms(3)), Some(ms(3)));
    assert_eq!(agreement.agreed_at(&[], "n0", OWN, ms(3)), None);
    assert_eq!(agreement.agreed_at(&["n0", "n1"], "n0", OWN, ms(3)), None);
}
