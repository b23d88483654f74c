//! The `load` command: carries out a load profile against running instances and prints the report.

use {
    crate::{
        args::{Load, Output},
        configs::INVALID,
    },
    agate_load::{Error, Progress, Report, Settings, plot, profile, run},
    eyre::Result,
    std::{process::ExitCode, time::Duration},
};

/// Time to wait for open requests after the last one was sent.
const GRACE: Duration = Duration::from_secs(30);

/// Runs the load that the command line asks for; the result is the exit code.
pub async fn carry_out(load: Load) -> Result<ExitCode> {
    let profile = match profile::open(&load.profile) {
        Ok(profile) => profile,
        Err(e) => return Ok(refuse(&e)),
    };
    let settings = Settings {
        targets: load.target,
        seed: load.seed,
        rate: load.rate,
        time: load.time.into(),
        grace: GRACE,
        open: load.open,
        organisations: profile.organisations,
        mix: profile.mix,
        echo: false,
    };
    let report = match run(settings, show).await {
        Ok(report) => report,
        Err(e) => return Ok(refuse(&e)),
    };
    print(&report, load.output);
    if let Some(path) = &load.plot {
        plot::write(&report, path)?;
        eprintln!("plot written to {}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}

fn refuse(error: &Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(INVALID)
}

/// Shows the progress on standard error, so that standard output holds the report only.
fn show(p: &Progress) {
    eprintln!(
        "{:>4} s: {} of {} ended, {} good, p95 {:.1} ms",
        p.elapsed.as_secs(),
        p.ended,
        p.planned,
        p.good,
        p.p95
    );
}

fn print(report: &Report, output: Output) {
    match output {
        Output::Text => print!("{}", report.table()),
        Output::Json => println!("{}", report.json()),
    }
}
