//! Framing, authentication and size limits: a message that was altered, sent to another address, or
//! signed with an unknown secret is rejected before it is decoded.

use {
    agate_wire::{
        Answer, Body, Context, Envelope, Keys, MAX_DATAGRAM, Name, OVERHEAD, Query, Reject,
        SealError, SecretError, open, seal, tag_of,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rstest::rstest,
};

const OLD: &[u8] = b"an old secret of the fleet";
const NEW: &[u8] = b"a new secret of the fleet.";

fn keys(secrets: &[&[u8]]) -> Keys {
    Keys::new(secrets).unwrap()
}

fn keys_error(secrets: &[&[u8]]) -> SecretError {
    Keys::new(secrets).unwrap_err()
}

fn datagram_to(port: u16) -> Context {
    Context::Datagram(([127, 0, 0, 1], port).into())
}

fn envelope(bytes: Vec<u8>) -> Envelope {
    let body = Body::Query(Query::Other { topic: "t".into(), bytes });
    Envelope { from: Name::from("a"), incarnation: 7, sequence: 9, body }
}

/// While secrets are rotated, instances with overlapping secrets must accept each other, and others
/// must not.
#[rstest]
#[case::same(&[OLD], &[OLD], true)]
#[case::second_accepted(&[NEW, OLD], &[OLD, NEW], true)]
#[case::first_signs(&[NEW, OLD], &[OLD], false)]
#[case::removed(&[OLD], &[NEW], false)]
fn secret_rotation(#[case] sender: &[&[u8]], #[case] receiver: &[&[u8]], #[case] accepted: bool) {
    let bytes = seal(&keys(sender), &envelope(vec![1]), datagram_to(1)).unwrap();
    let got = open::<Envelope>(&keys(receiver), &bytes, datagram_to(1));
    let want = if accepted { Ok(envelope(vec![1])) } else { Err(Reject::Mac) };
    assert_eq!(got, want);
}

/// Lists of secrets that are empty, too long, or contain a short secret must be rejected.
#[test]
fn secret_limits() {
    assert_eq!(Keys::new(&[b"short"]).unwrap_err(), SecretError::Short(5));
    assert_eq!(Keys::new(&[OLD, OLD, NEW]).unwrap_err(), SecretError::Count(3));
    assert_eq!(keys_error(&[]), SecretError::Count(0));
}

/// A message must be rejected at another address, on another medium, or as the response to another
/// request.
#[test]
fn context_bound() {
    let k = keys(&[OLD]);
    let bytes = seal(&k, &envelope(vec![]), datagram_to(1)).unwrap();
    assert!(open::<Envelope>(&k, &bytes, datagram_to(1)).is_ok());
    assert_eq!(open::<Envelope>(&k, &bytes, datagram_to(2)), Err(Reject::Mac));
    let request = Context::Request(([127, 0, 0, 1], 1).into());
    assert_eq!(open::<Envelope>(&k, &bytes, request), Err(Reject::Mac));
    let tag = tag_of(&bytes).unwrap();
    let body = Body::Answer(Answer::Absent);
    let response = Envelope { body, ..envelope(vec![]) };
    let bytes = seal(&k, &response, Context::Response(tag)).unwrap();
    assert_eq!(open::<Envelope>(&k, &bytes, Context::Response(tag)), Ok(response));
    assert_eq!(open::<Envelope>(&k, &bytes, Context::Response([0; 16])), Err(Reject::Mac));
}

/// Messages above the limit of their medium or below the size of the framing must be rejected.
#[test]
fn size_limits() {
    let k = keys(&[OLD]);
    let got = seal(&k, &envelope(vec![0; MAX_DATAGRAM]), datagram_to(1));
    assert!(matches!(got, Err(SealError::Large { .. })));
    assert_eq!(open::<Envelope>(&k, &[1; MAX_DATAGRAM + 1], datagram_to(1)), Err(Reject::Large));
    assert_eq!(open::<Envelope>(&k, &[1; OVERHEAD - 1], datagram_to(1)), Err(Reject::Short));
    assert_eq!(open::<Envelope>(&k, &[2; OVERHEAD], datagram_to(1)), Err(Reject::Version));
}

/// Signs arbitrary bytes like `seal`, to test the decoder behind the MAC.
fn signed(body: &[u8]) -> Vec<u8> {
    let key = blake3::derive_key("agatetrack message authentication v1", OLD);
    let mut h = blake3::Hasher::new_keyed(&key);
    h.update(&[1, 0, 4, 127, 0, 0, 1, 0, 1]).update(body);
    [&[1], &h.finalize().as_bytes()[..16], body].concat()
}

/// Authenticated bytes that are longer or shorter than one message must be rejected.
#[test]
fn trailing_bytes() {
    let k = keys(&[OLD]);
    let good = seal(&k, &envelope(vec![]), datagram_to(1)).unwrap();
    let body = &good[OVERHEAD..];
    assert_eq!(signed(body), good);
    assert_eq!(
        open::<Envelope>(&k, &signed(&[body, &[0]].concat()), datagram_to(1)),
        Err(Reject::Malformed)
    );
    assert_eq!(
        open::<Envelope>(&k, &signed(&body[..body.len() - 1]), datagram_to(1)),
        Err(Reject::Malformed)
    );
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 512,
        ..Config::default()
    })]

    /// A message with any flipped bit must be rejected.
    #[test]
    fn flipped_bits(at in 0usize..60, bit in 0u8..8) {
        let k = keys(&[OLD, NEW]);
        let mut bytes = seal(&k, &envelope(vec![3; 30]), datagram_to(1)).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let got = open::<Envelope>(&k, &bytes, datagram_to(1)).unwrap_err();
        prop_assert_eq!(got, if at == 0 { Reject::Version } else { Reject::Mac });
    }

    /// The decoder must handle any authenticated bytes without a panic.
    #[test]
    fn arbitrary_bodies(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Decoding either fails or returns a message that can be encoded again; it never panics.
        let k = keys(&[OLD]);
        if let Ok(e) = open::<Envelope>(&k, &signed(&body), datagram_to(1)) {
            prop_assert!(seal(&k, &e, datagram_to(1)).is_ok());
        }
    }
}
