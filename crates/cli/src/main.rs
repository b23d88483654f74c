//! Entry point of the `agatetrack` binary.

use {
    agate_cli::args::{Args, Command},
    clap::Parser,
    std::process::ExitCode,
    tokio::runtime::Builder,
};

fn main() -> ExitCode {
    let args = Args::parse();
    // Instances on the platform run on small machines that execute one thread at a time, so a
    // second worker would only add wake-ups.
    let mut builder = match args.command {
        Command::Edge { .. } => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("agatetrack: cannot start the runtime: {e}");
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
