//! The `agatetrack` binary: its commands, settings, logging and start-up.
//!
//! [`args`] declares the command line and [`run`] executes a parsed command. [`instance`] assembles
//! one instance from the other crates; `serve`, the demo and the end-to-end tests all use it.

pub mod args;
pub mod budgets;
mod caller_limits;
mod claims;
pub mod configs;
pub mod control;
pub mod demo;
pub mod diff;
pub mod edge;
pub mod explain;
pub mod fleet;
pub mod instance;
pub mod instance_count;
mod load;
pub mod logs;
pub mod mesh;
pub mod operator;
pub mod peer_counts;
pub mod reload;
mod scrape;
pub mod settings;
pub mod standins;
pub mod usage;

use {
    args::{Args, Command, Output, Settings},
    clap::CommandFactory,
    edge::suspects::Selection,
    eyre::{Result, WrapErr, eyre},
    instance::Instance,
    settings::{Log, RequestLimits},
    std::{net::SocketAddr, path::Path, pin::pin, process::ExitCode, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Timeout of a request to an instance's operator address.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Executes a command and returns the exit code.
///
/// Errors: a file cannot be read, an address cannot be bound, or a remote call fails.
pub async fn run(args: Args) -> Result<ExitCode> {
    match args.command {
        Command::Serve { settings } => serve(&settings).await,
        Command::Edge { settings } => edge::run(&settings).await,
        Command::Demo { document, listen, instances } => {
            run_demo(document.as_deref(), listen, instances).await
        }
        Command::Standin { kind } => standins::run(kind).await,
        Command::Config { action } => configs::run(action).await,
        Command::Settings { action: Settings::Check { file, edge } } => {
            Ok(check_settings(&file, edge))
        }
        Command::Status { operator, output } => status(operator, output).await,
        Command::Load(load) => load::execute(load).await,
        Command::Explain { of, logs, .. } if !logs.is_empty() => {
            explain::log_lines::run(of.as_deref(), &logs)
        }
        Command::Explain { of, operator, output, .. } => {
            explain::run(&of.unwrap_or_default(), &operator, output).await
        }
        Command::Suspects { settings, print, part, release } => {
            let selection = match (print, part) {
                (Some(print), _) => Selection::Print(print),
                (None, Some(part)) => Selection::Part(part),
                (None, None) => Selection::All,
            };
            edge::suspects::run(&settings, selection, release).await
        }
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "agatetrack", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn serve(file: &Path) -> Result<ExitCode> {
    let mut settings = match settings::open(file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(configs::INVALID));
        }
    };
    let logs = logs::open(&settings.log)?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("waiting for signals")?;
    let store = agate_native::store::open(settings.platform);
    let instance = Instance::spawn(&settings, store).await?;
    let mut stopped = pin!(standins::wait_for_stop());
    loop {
        tokio::select! {
            done = &mut stopped => break done?,
            _ = hangup.recv() => reload::apply(file, &mut settings, &instance, &logs),
        }
    }
    instance.stop().await;
    Ok(ExitCode::SUCCESS)
}

async fn run_demo(document: Option<&Path>, listen: SocketAddr, count: u16) -> Result<ExitCode> {
    let _logs = logs::open(&Log { level: "warn".into(), ..Log::default() })?;
    let demo =
        demo::Demo::spawn(demo::read(document)?, listen, count, RequestLimits::default()).await?;
    println!("{}\nCtrl-C stops the demo.", demo.instructions());
    standins::wait_for_stop().await?;
    demo.stop().await;
    Ok(ExitCode::SUCCESS)
}

fn check_settings(file: &Path, edge: bool) -> ExitCode {
    let name = match edge {
        true => edge::settings::open(file).map(|s| s.name),
        false => settings::open(file).map(|s| s.name),
    };
    match name {
        Ok(name) => {
            println!("{} is valid for instance {name}", file.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(configs::INVALID)
        }
    }
}

async fn status(operator: SocketAddr, output: Output) -> Result<ExitCode> {
    let http = agate_native::http::Http::open(operator);
    let (code, body) = http.get("/status", STATUS_TIMEOUT).await.map_err(|e| eyre!(e.cause))?;
    if !code.is_success() {
        return Err(eyre!("the instance at {operator} returned status {code}"));
    }
    let text = String::from_utf8_lossy(&body);
    match output {
        Output::Json => println!("{text}"),
        Output::Text => {
            let fields: serde_json::Map<String, serde_json::Value> =
                serde_json::from_str(&text).wrap_err("reading the status")?;
            for (name, value) in fields {
                println!("{name:<12} {value}");
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
