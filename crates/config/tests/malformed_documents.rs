//! No input text makes parsing or verifying panic, and each accepted document compiles completely.

use {
    agate_config::{
        Document, check,
        doc::{Endpoint, EndpointKind, Key, Model, Organisation, Pool, PoolKind, Role, Zone},
        parse,
        snapshot::{Names, Snapshot},
        verify,
    },
    indexmap::IndexMap,
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, prop_oneof, proptest},
        sample::Index,
        test_runner::RngSeed,
    },
    std::{fs, path::Path, time::Duration},
};

const SAVIKODA: &str = include_str!("../../../examples/savikoda.yaml");

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Checks that all references of an accepted document resolve and that all keys are found.
fn assert_compiles(doc: &Document) {
    let snap = Snapshot::compile(doc, 1, &mut Names::default());
    assert_eq!(snap.orgs().count(), doc.organisations.len());
    assert_eq!(snap.models().count(), doc.models.len());
    assert_eq!(snap.endpoints().count(), doc.fleet.endpoints.len());
    assert!(snap.endpoints().all(|(_, e)| snap.pool(e.pool).is_some()));
    assert!(snap.endpoints().all(|(_, e)| snap.zone(e.zone).is_some()));
    assert!(snap.models().all(|(_, m)| snap.pool(m.pool).is_some()));
    for (id, org) in snap.orgs() {
        let source = &doc.organisations[&*org.name];
        assert_eq!(org.models.len(), source.models.len());
        assert_eq!(org.services.len(), source.services.len());
        assert_eq!(org.budget.is_some(), source.budget.is_some());
        assert!(source.keys.keys().all(|k| snap.holds_key(id, k)));
    }
    for (route, (_, entry)) in doc.routes.iter().zip(snap.routes()) {
        assert_eq!(entry.pool.is_some(), route.pool.is_some());
        assert_eq!(snap.find_route(&route.path).map(|(_, r)| &r.path), Some(&entry.path));
    }
}

fn check_text(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else { return false };
    match check(text) {
        Ok(doc) => assert_compiles(&doc),
        Err(problems) => {
            assert!(!problems.is_empty(), "a refusal has a reason");
            assert!(problems.iter().all(|f| !f.place.is_empty() && !f.message.is_empty()));
            return false;
        }
    }
    true
}

#[test]
fn corpus_files() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut seen = 0;
    for entry in fs::read_dir(dir).expect("the corpus is there") {
        let path = entry.expect("readable").path();
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        let accepted = check_text(&fs::read(&path).expect("readable"));
        assert_eq!(accepted, name.starts_with("accept-"), "{name}");
        seen += 1;
    }
    assert!(seen >= 18, "{seen} files");
}

/// One edit of a text.
#[derive(Clone, Debug)]
enum Edit {
    Set(Index, u8),
    Cut(Index, u8),
    Insert(Index, Vec<u8>),
    Copy(Index, Index),
    Truncate(Index),
}

fn edits() -> impl Strategy<Value = Edit> {
    let token = prop_oneof![
        Just("&a ".into()),
        Just("*a".into()),
        Just("{".into()),
        Just("]".into()),
        Just(": ".into()),
        Just("- ".into()),
        Just("\n".into()),
        Just("!!binary ".into()),
        Just("\"".into()),
        Just("null".into()),
        Just("0".into()),
        Just("-1".into()),
        Just("<<: ".into()),
        Just("99999999999999999999".into()),
        vec(any::<u8>(), 0..4),
    ];
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(i, b)| Edit::Set(i, b)),
        (any::<Index>(), any::<u8>()).prop_map(|(i, n)| Edit::Cut(i, n)),
        (any::<Index>(), token).prop_map(|(i, t)| Edit::Insert(i, t)),
        (any::<Index>(), any::<Index>()).prop_map(|(i, j)| Edit::Copy(i, j)),
        any::<Index>().prop_map(Edit::Truncate),
    ]
}

fn change(bytes: &mut Vec<u8>, edit: Edit) {
    if bytes.is_empty() {
        return;
    }
    let len = bytes.len();
    match edit {
        Edit::Set(i, b) => bytes[i.index(len)] = b,
        Edit::Cut(i, n) => {
            let start = i.index(len);
            bytes.drain(start..(start + usize::from(n)).min(len));
        }
        Edit::Insert(i, t) => {
            let start = i.index(len);
            bytes.splice(start..start, t);
        }
        Edit::Copy(i, j) => {
            let start = i.index(len);
            let line = bytes[start..].split_inclusive(|b| *b == b'\n').next();
            let line = line.unwrap_or_default().to_vec();
            let to = j.index(len);
            bytes.splice(to..to, line);
        }
        Edit::Truncate(i) => bytes.truncate(i.index(len)),
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-c]"
}

fn table<T: std::fmt::Debug>(
    value: impl Strategy<Value = T>,
) -> impl Strategy<Value = IndexMap<String, T>> {
    vec((name(), value), 0..3).prop_map(|v| v.into_iter().collect())
}

fn organisations() -> impl Strategy<Value = Organisation> {
    let key = any::<u8>().prop_map(|b| Key { sha256: format!("{b:02x}").repeat(32) });
    let budget = proptest::option::of(name());
    (0..3_u32, table(key), vec(name(), 0..2), vec(name(), 0..2), budget).prop_map(
        |(weight, keys, models, services, budget)| Organisation {
            weight,
            keys,
            models,
            services,
            budget,
        },
    )
}

fn models() -> impl Strategy<Value = Model> {
    (name(), 1..100_u64).prop_map(|(pool, ms)| Model {
        pool,
        versions: IndexMap::new(),
        current: None,
        first: Duration::from_millis(ms),
        between: Duration::from_millis(ms),
        shared: vec!["a prefix: \"quoted\"\n".into()],
        output: 1,
    })
}

fn endpoints() -> impl Strategy<Value = Endpoint> {
    (name(), name(), 1..20_u16).prop_map(|(pool, zone, port)| Endpoint {
        pool,
        zone,
        address: ([127, 0, 0, 1], port).into(),
        kind: EndpointKind::Cheap,
        role: Role::Both,
        leaving: false,
    })
}

fn documents() -> impl Strategy<Value = Document> {
    let kind = prop_oneof![Just(PoolKind::Engine), Just(PoolKind::Service)];
    let pool =
        kind.prop_map(|kind| Pool { kind, fenced: false, slots: 4, orders: None, roles: None });
    let zone = name().prop_map(|region| Zone { region, delays: IndexMap::new() });
    let fleet = (table(zone), table(pool), table(endpoints()));
    (table(organisations()), table(models()), fleet).prop_map(|(orgs, models, fleet)| {
        let mut doc = parse("schema: 1").expect("the least document");
        (doc.organisations, doc.models) = (orgs, models);
        (doc.fleet.zones, doc.fleet.pools, doc.fleet.endpoints) = fleet;
        let zones: Vec<String> = doc.fleet.zones.keys().cloned().collect();
        for (own, zone) in &mut doc.fleet.zones {
            let others = zones.iter().filter(|z| *z != own);
            zone.delays = others.map(|z| (z.clone(), Duration::from_micros(500))).collect();
        }
        doc
    })
}

proptest! {
    #![proptest_config(config(1_500, 41))]

    #[test]
    fn edited_text(edits in vec(edits(), 1..6)) {
        let mut bytes = SAVIKODA.as_bytes().to_vec();
        edits.into_iter().for_each(|e| change(&mut bytes, e));
        check_text(&bytes);
    }

    #[test]
    fn arbitrary_bytes(bytes in vec(any::<u8>(), 0..200)) {
        check_text(&bytes);
    }
}

proptest! {
    #![proptest_config(config(1_500, 42))]

    /// The verifier accepts only documents that the compiler resolves completely, and a round trip
    /// through YAML keeps every field.
    #[test]
    fn generated_documents(doc in documents()) {
        if verify(&doc).is_empty() {
            assert_compiles(&doc);
        }
        let text = serde_saphyr::to_string(&doc).expect("a document is YAML");
        prop_assert_eq!(parse(&text), Ok(doc));
    }
}
