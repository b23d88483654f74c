//! Entry point of the `agatetrack` binary.

use {
    agate_cli::args::{Args, Command},
    clap::Parser,
    std::process::ExitCode,
    tokio::runtime::Builder,
};

fn main() -> ExitCode {
    let args = Args::parse();
    // On the platform's small machines one thread at a time runs, so a second one only adds wake-ups.
    let mut builder = match args.command {
        Command::Edge { .. } => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("agatetrack: starting the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(agate_cli::run(args)) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("agatetrack: {e:#}");
            ExitCode::FAILURE
        }
    }
}
