//! Load profile: the file that defines the request mix and the organisations.
//!
//! A profile is YAML: `schema: 1`, the `mix`, and the `organisations` with their API keys. The keys
//! are in plain text, so a profile must only be used for test environments.

use {
    crate::{Error, Mix, Organisation, Result, mix::Share},
    serde::Deserialize,
    std::{fs, path::Path},
};

/// Version of the file format; only version 1 is accepted.
const SCHEMA: u32 = 1;
/// Largest prompt, in bytes.
const MAX_PROMPT: usize = 4 << 20;

/// Content of a profile file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Version of the file format; only version 1 is accepted.
    pub schema: u32,
    /// Requests to send.
    pub mix: Mix,
    /// Organisations that send them.
    pub organisations: Vec<Organisation>,
}

/// Reads a profile from a file and validates it.
///
/// # Errors
///
/// [`Error::Profile`] if the file cannot be read, or with each invalid value and the accepted ones.
pub fn open(file: &Path) -> Result<Profile> {
    let invalid = |problems| Error::Profile { file: file.display().to_string(), problems };
    let text = fs::read_to_string(file).map_err(|e| invalid(vec![e.to_string()]))?;
    parse(&text).map_err(invalid)
}

/// Parses and validates the text of a profile; the error lists every problem.
pub fn parse(text: &str) -> std::result::Result<Profile, Vec<String>> {
    let profile: Profile = serde_saphyr::from_str(text).map_err(|e| vec![e.to_string()])?;
    let problems = validate(&profile);
    if problems.is_empty() { Ok(profile) } else { Err(problems) }
}

/// Lists the invalid values of a parsed profile.
fn validate(profile: &Profile) -> Vec<String> {
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
        out.extend(validate_share(share).into_iter().map(|p| format!("mix.shares[{i}].{p}")));
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

fn validate_share(share: &Share) -> Vec<&'static str> {
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
