//! A load profile: the file that says what is sent and by whom.
//!
//! A profile is YAML: `schema: 1`, the `mix`, and the `organisations` with their keys. It holds keys
//! in plain text, so it belongs beside test environments only.

use {
    crate::{Error, Mix, Organisation, Result, mix::Share},
    serde::Deserialize,
    std::{fs, path::Path},
};

/// Version of the file format.
const SCHEMA: u32 = 1;
/// Most bytes of a prompt.
const MAX_PROMPT: usize = 4 << 20;

/// What is sent, and by whom.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Version of the file format.
    pub schema: u32,
    /// What is sent.
    pub mix: Mix,
    /// Who sends it.
    pub organisations: Vec<Organisation>,
}

/// Reads and checks a profile.
///
/// # Errors
///
/// [`Error::Profile`] with the file and, for each problem, its place and what is accepted.
pub fn open(file: &Path) -> Result<Profile> {
    let fail = |problems| Error::Profile { file: file.display().to_string(), problems };
    let text = fs::read_to_string(file).map_err(|e| fail(vec![e.to_string()]))?;
    parse(&text).map_err(fail)
}

/// Reads and checks the text of a profile; the error lists every problem.
pub fn parse(text: &str) -> std::result::Result<Profile, Vec<String>> {
    let profile: Profile = serde_saphyr::from_str(text).map_err(|e| vec![e.to_string()])?;
    let problems = check(&profile);
    if problems.is_empty() { Ok(profile) } else { Err(problems) }
}

/// Lists what is wrong with a profile that was read.
fn check(profile: &Profile) -> Vec<String> {
    let mut out = Vec::new();
    if profile.schema != SCHEMA {
        out.push(format!("schema: accepted is {SCHEMA}"));
    }
    if profile.mix.shares.is_empty() {
        out.push("mix.shares: accepted are one and more".into());
    }
    if profile.organisations.is_empty() {
        out.push("organisations: accepted are one and more".into());
    }
    for (i, share) in profile.mix.shares.iter().enumerate() {
        out.extend(check_share(share).into_iter().map(|p| format!("mix.shares[{i}].{p}")));
    }
    for (i, organisation) in profile.organisations.iter().enumerate() {
        if !is_weight(organisation.weight) {
            out.push(format!("organisations[{i}].weight: accepted are numbers above zero"));
        }
        if organisation.key.bytes().any(|b| !b.is_ascii_graphic()) {
            out.push(format!("organisations[{i}].key: accepted are printable ASCII characters"));
        }
    }
    out
}

fn check_share(share: &Share) -> Vec<&'static str> {
    let rules = [
        (!is_path(&share.path), "path: accepted is an absolute path"),
        (!is_weight(share.weight), "weight: accepted are numbers above zero"),
        (share.deadline.is_zero(), "deadline: accepted are durations above zero"),
        (share.prompt.0 > share.prompt.1, "prompt: the least must not be above the greatest"),
        (share.prompt.1 > MAX_PROMPT, "prompt: accepted are at most 4194304 bytes"),
        (share.output.0 > share.output.1, "output: the least must not be above the greatest"),
    ];
    rules.into_iter().filter(|(broken, _)| *broken).map(|(_, text)| text).collect()
}

fn is_weight(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}

fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.parse::<http::uri::PathAndQuery>().is_ok()
}
