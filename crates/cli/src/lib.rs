//! The agatetrack binary: commands, settings, logs and start-up.
//!
//! [`args`] declares the command line; [`run`] carries a parsed command out. [`instance`] puts one
//! instance together from the other crates, for `serve`, the demo and the whole-path tests alike.

pub mod args;
pub mod budgets;
pub mod census;
mod claims;
pub mod configs;
pub mod control;
pub mod counts;
pub mod demo;
pub mod diff;
pub mod edge;
pub mod explain;
mod figures;
pub mod fleet;
pub mod instance;
mod loads;
pub mod logs;
pub mod mesh;
pub mod operator;
pub mod reload;
pub mod settings;
pub mod standins;
pub mod usage;

use {
    args::{Args, Command, Output, Settings},
    clap::CommandFactory,
    eyre::{Result, WrapErr, eyre},
    instance::Instance,
    settings::{Bounds, Log},
    std::{net::SocketAddr, path::Path, pin::pin, process::ExitCode, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Longest wait for an answer from an instance's operator address.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// Carries out a command; the result is the exit code.
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
        Command::Load(load) => loads::carry_out(load).await,
        Command::Explain { of, logs, .. } if !logs.is_empty() => {
            explain::lines::run(of.as_deref(), &logs)
        }
        Command::Explain { of, operator, output, .. } => {
            explain::run(&of.unwrap_or_default(), &operator, output).await
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
    let mut stopped = pin!(standins::stopped());
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
    let demo = demo::Demo::spawn(demo::read(document)?, listen, count, Bounds::default()).await?;
    println!("{}\nCtrl-C stops the demo.", demo.guide());
    standins::stopped().await?;
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
    let (code, body) = http.get("/status", STATUS_LIMIT).await.map_err(|e| eyre!(e.cause))?;
    if !code.is_success() {
        return Err(eyre!("the instance at {operator} answered with status {code}"));
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
