//! The `explain` command: prints the decisions of instances on one request or on the requests of an
//! organisation.

pub mod log_lines;

use {
    crate::args::Output,
    agate_core::Outcome,
    agate_flow::decision::{Attempt, Decision},
    agate_native::http::Http,
    eyre::{Result, WrapErr, eyre},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// Timeout of a request to one instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A decision with the operator address of the instance that made it.
#[derive(Debug, Serialize, Deserialize)]
struct InstanceDecision {
    operator: SocketAddr,
    #[serde(flatten)]
    decision: Decision,
}

/// Fetches the decisions on `of`, a request identifier or an organisation, from the instances at
/// `operators` and prints them, newest first. The exit code is a failure if there are none.
///
/// Errors: an instance cannot be reached, returns an error status or a malformed response.
pub async fn run(of: &str, operators: &[SocketAddr], output: Output) -> Result<ExitCode> {
    let mut found = Vec::new();
    for operator in operators {
        found.extend(fetch_decisions(*operator, of).await?);
    }
    found.sort_by_key(|f| std::cmp::Reverse(f.decision.at));
    match output {
        Output::Json => println!("{}", serde_json::to_string(&found)?),
        Output::Text => found.iter().for_each(|f| print!("{}", render(f))),
    }
    if found.is_empty() {
        eprintln!("no recent decision on {of:?}; instances keep only their latest decisions");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

async fn fetch_decisions(operator: SocketAddr, of: &str) -> Result<Vec<InstanceDecision>> {
    let http = Http::open(operator);
    let path = format!("/explain/{of}");
    let (code, body) = http.get(&path, RESPONSE_TIMEOUT).await.map_err(|e| eyre!(e.cause))?;
    if !code.is_success() {
        return Err(eyre!("the instance at {operator} returned status {code}"));
    }
    let decisions: Vec<Decision> = serde_json::from_slice(&body)
        .wrap_err_with(|| format!("reading the response of the instance at {operator}"))?;
    Ok(decisions.into_iter().map(|decision| InstanceDecision { operator, decision }).collect())
}

fn render(found: &InstanceDecision) -> String {
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
        let Attempt { endpoint, zone, predicted, cached, full, retry } = attempt;
        let full = if *full { ", without a free slot" } else { "" };
        let retry = retry.as_deref().map_or(String::new(), |r| format!("; sent again: {r}"));
        out += &format!(
            "  to {endpoint} in {zone}: predicted {} ms, {cached} tokens cached{full}{retry}\n",
            millis(*predicted),
        );
    }
    out
}

/// Formats microseconds as milliseconds with one decimal.
fn millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1000.0)
}
