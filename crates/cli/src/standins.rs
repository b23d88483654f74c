//! The `standin` command: runs a stand-in as a separate process.

use {
    crate::{args::Standin, logs, settings::Log},
    agate_standin::{Engine, EngineSettings, Platform, Service},
    eyre::{Result, WrapErr},
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs one stand-in until SIGINT or SIGTERM.
///
/// Errors: its address cannot be bound, or logging or signal handling cannot be set up.
pub async fn run(kind: Standin) -> Result<ExitCode> {
    let _logs = logs::open(&Log::default())?;
    match kind {
        Standin::Platform { listen } => {
            let platform = Platform::bind(listen).await?;
            log::info!("platform stand-in listens on {}", platform.address());
            wait_for_stop().await?;
        }
        Standin::Engine { listen, model, slots, gap } => {
            let models = vec![(model, "v1".to_owned())];
            let settings = EngineSettings {
                models,
                slots: slots.into(),
                gap: gap.into(),
                ..EngineSettings::default()
            };
            let engine = Engine::bind(listen, settings).await?;
            log::info!("engine stand-in listens on {}", engine.address());
            wait_for_stop().await?;
        }
        Standin::Service { listen, name } => {
            let service = Service::bind(listen, &name).await?;
            log::info!("service stand-in listens on {}", service.address());
            wait_for_stop().await?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Waits for SIGINT or SIGTERM.
///
/// Errors: a signal handler cannot be installed.
pub async fn wait_for_stop() -> Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("waiting for a stop signal")?;
    tokio::select! {
        done = tokio::signal::ctrl_c() => done.wrap_err("waiting for a stop signal"),
        _ = term.recv() => Ok(()),
    }
}
