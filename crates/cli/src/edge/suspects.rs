//! Shows and releases quarantined requests and prompt parts.

use {
    super::{open_store, settings},
    agate_adapter::headers,
    agate_quarantine::{
        Property, Work, hex,
        property::{kind, parse_hex},
        record,
    },
    eyre::{Result, eyre},
    std::{path::Path, process::ExitCode, time::Duration},
};

/// Which suspects a command is about.
#[derive(Debug)]
pub enum Selection {
    /// All of them.
    All,
    /// The one with this fingerprint, as log lines show it.
    Print(String),
    /// The runs and the prefills of prompts with this part, as `SERVICE:PART`.
    Part(String),
}

/// Prints the selected suspects, or removes them from the record if `release`.
///
/// Errors: the settings are invalid, the selection is malformed, or the store fails.
pub async fn run(file: &Path, selection: Selection, release: bool) -> Result<ExitCode> {
    let settings = settings::open(file).map_err(|e| eyre!("{e}"))?;
    let client = open_store(&settings);
    let store = client.store();
    let selected = prints(&selection)?;
    let table = record::read(&store).await?;
    let mut found = 0;
    for (print, crashes, wait) in table.suspects(agate_view::clock::wall()) {
        if selected.as_ref().is_some_and(|s| !s.contains(&print)) {
            continue;
        }
        found += 1;
        let wait = Duration::from_secs(wait.as_secs());
        let (print_text, kind) = (hex(print), kind(print));
        if release && record::release(&store, print).await? {
            println!("{print_text}  {kind:<7}  released");
        } else {
            println!("{print_text}  {kind:<7}  crashed {crashes} trials, next in {wait:?}");
        }
    }
    match found {
        0 if selected.is_some() => Err(eyre!("not quarantined")),
        _ => Ok(ExitCode::SUCCESS),
    }
}

/// Fingerprints of the selection; `None` for all.
fn prints(selection: &Selection) -> Result<Option<Vec<u64>>> {
    match selection {
        Selection::All => Ok(None),
        Selection::Print(text) => {
            let print = parse_hex(text).ok_or_else(|| eyre!("{text:?} is no fingerprint"))?;
            Ok(Some(vec![print]))
        }
        Selection::Part(text) => {
            let (service, part) =
                text.rsplit_once(':').ok_or_else(|| eyre!("{text:?} is not SERVICE:PART"))?;
            let part = headers::part_id(part);
            let of = |work| Property::parts(work, service, [part].into_iter()).map(|p| p.print);
            Ok(Some(of(Work::Run).chain(of(Work::Prefill)).collect()))
        }
    }
}
