//! `agatetrack explain`: what instances decided on a request, or on those of an organisation.

pub mod lines;

use {
    crate::args::Output,
    agate_core::Outcome,
    agate_flow::decision::{Decision, Try},
    agate_native::http::Http,
    eyre::{Result, WrapErr, eyre},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// Longest wait for one instance's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// A decision with the instance that made it.
#[derive(Debug, Serialize, Deserialize)]
struct Found {
    operator: SocketAddr,
    #[serde(flatten)]
    decision: Decision,
}

/// Asks the instances at `operators` for decisions on `of` and prints them, newest first.
///
/// Errors: an instance could not be asked, or none knows anything of it.
pub async fn run(of: &str, operators: &[SocketAddr], output: Output) -> Result<ExitCode> {
    let mut found = Vec::new();
    for operator in operators {
        found.extend(ask(*operator, of).await?);
    }
    found.sort_by_key(|f| std::cmp::Reverse(f.decision.at));
    match output {
        Output::Json => println!("{}", serde_json::to_string(&found)?),
        Output::Text => found.iter().for_each(|f| print!("{}", text(f))),
    }
    if found.is_empty() {
        eprintln!("no recent decision on {of:?}; an instance keeps its newest ones only");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

async fn ask(operator: SocketAddr, of: &str) -> Result<Vec<Found>> {
    let http = Http::open(operator);
    let path = format!("/explain/{of}");
    let (code, body) = http.get(&path, ANSWER_LIMIT).await.map_err(|e| eyre!(e.cause))?;
    if !code.is_success() {
        return Err(eyre!("the instance at {operator} answered with status {code}"));
    }
    let decisions: Vec<Decision> = serde_json::from_slice(&body)
        .wrap_err_with(|| format!("reading the answer of the instance at {operator}"))?;
    Ok(decisions.into_iter().map(|decision| Found { operator, decision }).collect())
}

fn text(found: &Found) -> String {
    let Decision { id, org, route, pool, queued, tries, end, run, took, .. } = &found.decision;
    let name = |n: &Option<std::sync::Arc<str>>| n.as_deref().unwrap_or("none").to_owned();
    let run = match run {
        None => "",
        Some(Outcome::NotRun) => ", not run",
        Some(Outcome::Unknown) => ", may have run",
    };
    let mut out = format!(
        "request {id} at {}: {end}{run}, after {} ms\n  organisation {}, route {}, pool {}, queued {} ms\n",
        found.operator,
        millis(*took),
        name(org),
        name(route),
        name(pool),
        millis(*queued),
    );
    for attempt in tries {
        let Try { endpoint, zone, predicted, cached, full, retry } = attempt;
        let full = if *full { ", without a free slot" } else { "" };
        let retry = retry.as_deref().map_or(String::new(), |r| format!("; sent again: {r}"));
        out += &format!(
            "  to {endpoint} in {zone}: predicted {} ms, {cached} tokens cached{full}{retry}\n",
            millis(*predicted),
        );
    }
    out
}

/// Microseconds as milliseconds with one decimal.
fn millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1000.0)
}
