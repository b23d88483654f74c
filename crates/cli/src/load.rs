//! The `load` command: sends a load profile to running instances and prints the report.

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
const RESPONSE_GRACE: Duration = Duration::from_secs(30);

/// Runs the load given on the command line and returns the exit code; an invalid profile gives
/// [`INVALID`].
///
/// Errors: the plot cannot be written.
pub async fn execute(load: Load) -> Result<ExitCode> {
    let profile = match profile::open(&load.profile) {
        Ok(profile) => profile,
        Err(e) => return Ok(print_error(&e)),
    };
    let settings = Settings {
        targets: load.target,
        seed: load.seed,
        rate: load.rate,
        time: load.time.into(),
        grace: RESPONSE_GRACE,
        open: load.open,
        organisations: profile.organisations,
        mix: profile.mix,
        echo: false,
    };
    let report = match run(settings, print_progress).await {
        Ok(report) => report,
        Err(e) => return Ok(print_error(&e)),
    };
    print(&report, load.output);
    if let Some(path) = &load.plot {
        plot::write(&report, path)?;
        eprintln!("plot written to {}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}

fn print_error(error: &Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(INVALID)
}

/// Prints progress to standard error, so that standard output holds only the report.
fn print_progress(p: &Progress) {
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
