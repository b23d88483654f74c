//! Checks of organisations, models and budgets.

use {
    super::{Problems, bounds},
    crate::{
        doc::{Document, Key, Model, Organisation, PoolKind},
        hash,
    },
    indexmap::{IndexMap, IndexSet},
};

type Seen<'a> = IndexMap<hash::KeyHash, (&'a str, &'a str)>;

pub fn organisations(doc: &Document, problems: &mut Problems) {
    problems.check_count("organisations", doc.organisations.len(), bounds::ORGANISATIONS);
    let mut seen = Seen::new();
    for (name, org) in &doc.organisations {
        problems.check_name("organisations", name);
        limits(name, org, problems);
        for (id, key) in &org.keys {
            check_key(name, id, key, &mut seen, problems);
        }
        permissions(name, org, doc, problems);
    }
}

fn limits(name: &str, org: &Organisation, problems: &mut Problems) {
    problems.check(
        (1..=bounds::WEIGHT).contains(&org.weight),
        || format!("organisations.{name}.weight"),
        || format!("{} is not between 1 and {}", org.weight, bounds::WEIGHT),
    );
    problems.check(
        org.keys.len() <= bounds::KEYS,
        || format!("organisations.{name}.keys"),
        || format!("{} entries, at most {}", org.keys.len(), bounds::KEYS),
    );
}

fn check_key<'a>(
    org: &'a str,
    id: &'a str,
    key: &Key,
    seen: &mut Seen<'a>,
    problems: &mut Problems,
) {
    let place = || format!("organisations.{org}.keys.{id}");
    if let Err(e) = super::text::name(id) {
        problems.add(place(), e);
    }
    let Some(digest) = hash::decode(&key.sha256) else {
        problems.add(format!("{}.sha256", place()), "not 64 lower-case hexadecimal digits");
        return;
    };
    if let Some((other, first)) = seen.insert(digest, (org, id)) {
        problems.add(
            format!("{}.sha256", place()),
            format!("the same key is organisations.{other}.keys.{first}"),
        );
    }
}

fn permissions(name: &str, org: &Organisation, doc: &Document, problems: &mut Problems) {
    let mut models = IndexSet::new();
    for (i, model) in org.models.iter().enumerate() {
        let place = || format!("organisations.{name}.models[{i}]");
        problems.check(doc.models.contains_key(model), place, || format!("no model {model:?}"));
        problems.check(models.insert(model), place, || format!("{model:?} is listed twice"));
    }
    let mut services = IndexSet::new();
    for (i, pool) in org.services.iter().enumerate() {
        let place = || format!("organisations.{name}.services[{i}]");
        let found = doc.fleet.pools.get(pool).map(|p| p.kind);
        problems.check(found == Some(PoolKind::Service), place, || {
            format!("no pool of services {pool:?}")
        });
        problems.check(services.insert(pool), place, || format!("{pool:?} is listed twice"));
    }
    if let Some(budget) = &org.budget {
        problems.check(
            doc.budgets.contains_key(budget),
            || format!("organisations.{name}.budget"),
            || format!("no budget {budget:?}"),
        );
    }
}

pub fn models(doc: &Document, problems: &mut Problems) {
    problems.check_count("models", doc.models.len(), bounds::MODELS);
    for (name, model) in &doc.models {
        problems.check_name("models", name);
        let found = doc.fleet.pools.get(&model.pool).map(|p| p.kind);
        problems.check(
            found == Some(PoolKind::Engine),
            || format!("models.{name}.pool"),
            || format!("no pool of engines {:?}", model.pool),
        );
        versions(name, model, problems);
        targets(name, model, problems);
        prefixes(name, model, problems);
    }
}

fn versions(name: &str, model: &Model, problems: &mut Problems) {
    let place = format!("models.{name}.versions");
    problems.check_count(&place, model.versions.len(), bounds::VERSIONS);
    for (version, v) in &model.versions {
        problems.check_name(&place, version);
        if let Err(e) = super::text::name(&v.weights) {
            problems.add(format!("{place}.{version}.weights"), e);
        }
    }
    let place = || format!("models.{name}.current");
    match &model.current {
        Some(v) => {
            problems.check(model.versions.contains_key(v), place, || format!("no version {v:?}"));
        }
        None => problems.check(model.versions.is_empty(), place, || "no version is chosen".into()),
    }
}

fn targets(name: &str, model: &Model, problems: &mut Problems) {
    for (field, target) in [("first", model.first), ("between", model.between)] {
        problems.check(
            !target.is_zero() && target <= bounds::DEADLINE,
            || format!("models.{name}.{field}"),
            || format!("{target:?} is not above zero and at most {:?}", bounds::DEADLINE),
        );
    }
    problems.check(
        (1..=bounds::OUTPUT).contains(&model.output),
        || format!("models.{name}.output"),
        || format!("{} is not between 1 and {}", model.output, bounds::OUTPUT),
    );
}

fn prefixes(name: &str, model: &Model, problems: &mut Problems) {
    problems.check_count(&format!("models.{name}.shared"), model.shared.len(), bounds::PREFIXES);
    for (i, prefix) in model.shared.iter().enumerate() {
        problems.check(
            (1..=bounds::PREFIX).contains(&prefix.len()),
            || format!("models.{name}.shared[{i}]"),
            || format!("a prefix has 1 to {} bytes, not {}", bounds::PREFIX, prefix.len()),
        );
    }
}

pub fn budgets(doc: &Document, problems: &mut Problems) {
    problems.check_count("budgets", doc.budgets.len(), bounds::BUDGETS);
    for (name, budget) in &doc.budgets {
        problems.check_name("budgets", name);
        problems.check(
            budget.tokens > 0,
            || format!("budgets.{name}.tokens"),
            || "a budget of zero tokens refuses everything".into(),
        );
        problems.check(
            (bounds::PERIOD_MIN..=bounds::PERIOD_MAX).contains(&budget.period),
            || format!("budgets.{name}.period"),
            || {
                let (min, max) = (bounds::PERIOD_MIN, bounds::PERIOD_MAX);
                format!("{:?} is not between {min:?} and {max:?}", budget.period)
            },
        );
    }
}
