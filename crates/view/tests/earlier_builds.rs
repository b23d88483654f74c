//! The record of an instance as earlier builds wrote it to the store.

use {agate_view::peers::Peer, rstest::rstest, std::net::SocketAddr};

fn peer(address: &str, weight: u16) -> Peer {
    let address: SocketAddr = address.parse().expect("an address");
    Peer { name: "n1-5".into(), zone: "b".into(), address, weight }
}

/// Guards against instances of two builds that do not find each other.
#[rstest]
#[case::ipv4(peer("10.0.0.1:7000", 100), b"\x01\x04n1-5\x01b\x00\n\x00\x00\x01\xd86d")]
#[case::ipv6(
    peer("[fd00::1]:7000", 25),
    b"\x01\x04n1-5\x01b\x01\xfd\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xd86\
    \x19"
)]
fn stored_instance(#[case] peer: Peer, #[case] written: &[u8]) {
    assert_eq!(peer.encode().escape_ascii().to_string(), written.escape_ascii().to_string());
    assert_eq!(Peer::decode(written), Some(peer));
}
