//! Snapshots resolve names, keep ids across generations, and never go back to an older generation.

use {
    agate_config::{
        Document, parse,
        snapshot::{Current, Names, Snapshot},
    },
    rstest::rstest,
    std::time::Duration,
};

const SAVIKODA: &str = include_str!("../../../examples/savikoda.yaml");

fn example() -> Document {
    parse(SAVIKODA).expect("example parses")
}

#[test]
fn key_lookup() {
    let snap = Snapshot::compile(&example(), 1, &mut Names::default());
    let found = snap.find_key("demo-kolga-key").expect("key is valid");
    let org = snap.org(found.org).expect("organisation is present");
    assert_eq!((&*org.name, org.weight), ("kolga", 10));
    assert!(snap.holds_key(found.org, &found.id) && snap.holds(&found));
    assert_eq!(snap.find_key("demo-none-key"), None);
}

#[test]
fn revoked_key() {
    let mut names = Names::default();
    let mut doc = example();
    let old = Snapshot::compile(&doc, 1, &mut names);
    let key = old.find_key("demo-kolga-key").expect("key is valid");
    let replaced = doc.organisations["palmse"].keys["first"].clone();
    doc.organisations.shift_remove("palmse");
    doc.organisations["kolga"].keys["first"] = replaced;
    let new = Snapshot::compile(&doc, 2, &mut names);
    assert!(new.holds_key(key.org, &key.id), "the identifier has a new key");
    assert!(!new.holds(&key), "the old key is revoked");
    assert_eq!(new.find_key("demo-kolga-key"), None);
    assert!(old.holds(&key), "a request keeps its snapshot");
}

#[test]
fn stable_ids() {
    let mut names = Names::default();
    let mut doc = example();
    let old = Snapshot::compile(&doc, 1, &mut names);
    doc.organisations.shift_remove("palmse");
    doc.fleet.endpoints.shift_remove("glaze-oracle-1");
    let new = Snapshot::compile(&doc, 2, &mut names);
    assert_eq!((old.orgs().count(), new.orgs().count()), (8, 7));
    for (id, org) in new.orgs() {
        assert_eq!(old.org(id).map(|o| &o.name), Some(&org.name));
    }
    for (id, endpoint) in new.endpoints() {
        assert_eq!(old.endpoint(id), Some(endpoint));
    }
    assert!(new.endpoint(0).is_none(), "a removed endpoint leaves an empty slot");
    let sizes = |s: &Snapshot| s.pools().map(|(_, p)| p.endpoints.len()).collect::<Vec<_>>();
    assert_eq!((sizes(&old), sizes(&new)), (vec![8, 4], vec![7, 4]));
}

#[test]
fn zone_delays() {
    let mut names = Names::default();
    let snap = Snapshot::compile(&example(), 1, &mut names);
    for (a, _) in snap.zones() {
        for (b, _) in snap.zones() {
            let expected = if a == b { 0 } else { 1500 };
            assert_eq!(snap.delay(a, b), Duration::from_micros(expected));
        }
    }
}

#[rstest]
#[case("/v1/chat/completions", Some("/v1/chat/completions"))]
#[case("/orders/7/slots", Some("/orders/"))]
#[case("/orders/vip/x", Some("/orders/vip/"))]
#[case("/orders/vip/", Some("/orders/vip/"))]
#[case("/orders/vip", Some("/orders/vip"))]
#[case("/orders", None)]
#[case("/deposits/7", None)]
#[case("", None)]
#[case("/", None)]
#[case("/ordersé/", None)]
fn route_lookup(#[case] path: &str, #[case] expected: Option<&str>) {
    let mut doc = example();
    for path in ["/orders/vip/", "/orders/vip"] {
        let mut route = doc.routes[2].clone();
        route.path = path.into();
        doc.routes.push(route);
    }
    let snap = Snapshot::compile(&doc, 1, &mut Names::default());
    assert_eq!(snap.find_route(path).map(|(_, r)| &*r.path), expected);
}

#[test]
fn increasing_generation() {
    let (doc, mut names) = (example(), Names::default());
    let mut at = |n| Snapshot::compile(&doc, n, &mut names);
    let current = Current::new(at(5));
    assert!(!current.advance(at(5)));
    assert!(!current.advance(at(4)));
    assert!(current.advance(at(6)));
    assert_eq!(current.generation(), 6);
}
