//! The `config` command and its actions.

use {
    crate::{
        args::{Config, Output},
        diff,
    },
    agate_config::{
        Document, Problem,
        head::Head,
        publish::{self, Edit},
        section::Section,
    },
    agate_core::{Generation, Wall},
    agate_store::Store,
    eyre::{Result, WrapErr, eyre},
    indexmap::IndexMap,
    serde_json::json,
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::ExitCode,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Exit code for an invalid file or document.
pub const INVALID: u8 = 3;
/// Exit code for a conflict: another author changed the same section first.
pub const CONFLICT: u8 = 4;

/// Exit code for a change with an unknown outcome.
pub const UNRESOLVED: u8 = 5;

/// Executes one action and returns the exit code.
///
/// Errors: a file cannot be read or the store cannot be reached.
pub async fn run(action: Config) -> Result<ExitCode> {
    match action {
        Config::Check { file, output } => check(&file, output),
        Config::Diff { file, platform } => diff(&file, platform).await,
        Config::Apply { file, platform, author, base, token, output } => {
            apply(&file, platform, &author, (base, token), output).await
        }
        Config::Show { platform, output } => show(platform, output).await,
        Config::History { platform, limit, output } => history(platform, limit, output).await,
        Config::Rollback { generation, platform, author } => {
            rollback(generation, platform, &author).await
        }
    }
}

fn check(file: &Path, output: Output) -> Result<ExitCode> {
    let problems = agate_config::check(&read_text(file)?).err().unwrap_or_default();
    match output {
        Output::Json => {
            let list = problems.iter().map(|p| json!({"place": p.place, "message": p.message}));
            println!(
                "{}",
                json!({"valid": problems.is_empty(), "problems": list.collect::<Vec<_>>()})
            );
        }
        Output::Text if problems.is_empty() => println!("{} is valid", file.display()),
        Output::Text => print_problems(file, &problems),
    }
    Ok(if problems.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(INVALID) })
}

fn read(file: &Path) -> Result<std::result::Result<Document, Vec<Problem>>> {
    Ok(agate_config::parse(&read_text(file)?))
}

fn read_text(file: &Path) -> Result<String> {
    fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))
}

fn print_problems(file: &Path, problems: &[Problem]) {
    eprintln!("{} is invalid:", file.display());
    for problem in problems {
        eprintln!("  {problem}");
    }
}

async fn diff(file: &Path, platform: SocketAddr) -> Result<ExitCode> {
    let wanted = match read(file)? {
        Ok(document) => document,
        Err(problems) => {
            print_problems(file, &problems);
            return Ok(ExitCode::from(INVALID));
        }
    };
    let store = agate_native::store::open(platform);
    let present = publish::load(&store).await?.map(|(_, document)| document).unwrap_or_default();
    for line in diff::lines(&present, &wanted) {
        println!("{line}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn apply(
    file: &Path,
    platform: SocketAddr,
    author: &str,
    (base, token): (Option<Generation>, Option<String>),
    output: Output,
) -> Result<ExitCode> {
    let text = read_text(file)?;
    let doc = match agate_config::parse(&text) {
        Ok(doc) => doc,
        Err(problems) => {
            print_problems(file, &problems);
            return Ok(ExitCode::from(INVALID));
        }
    };
    let store = agate_native::store::open(platform);
    let mut edit = edit(author, doc, named_sections(&text)?);
    edit.token = token.unwrap_or(edit.token);
    // A retry must name the generation that the first attempt started from, so the base is fixed
    // before the first attempt.
    let base = match base {
        Some(base) => base,
        None => publish::newest(&store).await?.map_or(0, |(_, head)| head.generation),
    };
    edit.base = Some(base);
    match publish::apply(&store, &edit).await {
        Ok(applied) => {
            match output {
                Output::Json => println!(
                    "{}",
                    json!({"generation": applied.generation, "changed": applied.changed})
                ),
                Output::Text if applied.changed => {
                    println!("generation {} is accepted", applied.generation)
                }
                Output::Text => {
                    println!("generation {} already says so; nothing changed", applied.generation)
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Err(publish::Error::Refused(problems)) => {
            print_problems(file, &problems);
            Ok(ExitCode::from(INVALID))
        }
        Err(e @ publish::Error::Conflict { .. }) => {
            eprintln!("{e}");
            Ok(ExitCode::from(CONFLICT))
        }
        Err(e @ publish::Error::Unresolved(_)) => {
            eprintln!("{e}\napply again with --base {base} --token {}", edit.token);
            Ok(ExitCode::from(UNRESOLVED))
        }
        Err(e) => Err(eyre!(e)),
    }
}

/// Creates an edit that sets `sections` to their content in `doc`, with a new random token.
pub fn edit(author: &str, doc: Document, sections: Vec<Section>) -> Edit {
    Edit {
        author: author.to_owned(),
        token: format!("{:032x}", rand::random::<u128>()),
        comment: String::new(),
        time: now(),
        sections,
        doc,
        base: None,
    }
}

/// Returns the sections present in a document's text; only these are changed.
fn named_sections(text: &str) -> Result<Vec<Section>> {
    let fields: IndexMap<String, serde::de::IgnoredAny> =
        serde_saphyr::from_str(text).wrap_err("reading the document's sections")?;
    Ok(Section::ALL.into_iter().filter(|s| fields.contains_key(s.name())).collect())
}

fn now() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

async fn show(platform: SocketAddr, output: Output) -> Result<ExitCode> {
    let store = agate_native::store::open(platform);
    let Some((head, document)) = publish::load(&store).await? else {
        return Err(eyre!("no configuration has been applied"));
    };
    match output {
        Output::Json => {
            println!(
                "{}",
                json!({"generation": head.generation, "author": head.author, "document": document})
            );
        }
        Output::Text => {
            println!("# generation {} by {}", head.generation, head.author);
            println!("{}", serde_saphyr::to_string(&document).wrap_err("writing YAML")?);
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn history(platform: SocketAddr, limit: usize, output: Output) -> Result<ExitCode> {
    let store = agate_native::store::open(platform);
    for head in heads(&store, limit).await? {
        match output {
            Output::Json => println!("{}", serde_json::to_string(&head)?),
            Output::Text => {
                println!("{:>8}  {:<20}  {}", head.generation, head.author, head.comment)
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn heads(store: &Store, limit: usize) -> Result<Vec<Head>> {
    let Some((_, newest)) = publish::newest(store).await? else { return Ok(Vec::new()) };
    let mut generation = newest.generation;
    let mut out = vec![newest];
    while out.len() < limit && generation > 1 {
        generation -= 1;
        match publish::archived(store, generation).await? {
            Some(head) => out.push(head),
            None => break,
        }
    }
    Ok(out)
}

async fn rollback(generation: u64, platform: SocketAddr, author: &str) -> Result<ExitCode> {
    let store = agate_native::store::open(platform);
    let mut edit = edit(author, Document::default(), Section::ALL.to_vec());
    edit.comment = format!("rollback to generation {generation}");
    let applied = publish::revert(&store, generation, edit).await?;
    println!("generation {} restores generation {generation}", applied.generation);
    Ok(ExitCode::SUCCESS)
}
