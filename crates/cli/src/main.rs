//! Entry point of the `agatetrack` binary.

use {agate_cli::args::Args, clap::Parser, std::process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    match agate_cli::run(Args::parse()).await {
        Ok(code) => code,
        Err(e) => {
            eprintln!("agatetrack: {e:#}");
            ExitCode::FAILURE
        }
    }
}
