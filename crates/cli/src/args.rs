//! Command line of the `agatetrack` binary.

use {
    clap::{Args as Options, Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

/// Exit codes, printed after the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  the command failed
  2  the command line is wrong
  3  a file or document is invalid
  4  another author changed the same section first
  5  the change may or may not be in force; apply it again with its token";

/// Serve model and application traffic on a limited fleet of endpoints.
#[derive(Debug, Parser)]
#[command(name = "agatetrack", version, after_help = EXIT_CODES, propagate_version = true)]
pub struct Args {
    /// Command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON for scripts.
    Json,
}

/// Top-level commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one instance in the foreground.
    #[command(after_help = "Example:\n  agatetrack serve --settings entry-1.yaml")]
    Serve {
        /// Settings file of the instance.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run one instance on the operators' platform.
    #[command(after_help = "Example:\n  agatetrack edge --settings /etc/agatetrack/local.yaml")]
    Edge {
        /// Settings file of the instance.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run instances and stand-ins of all external systems in one process, over loopback.
    #[command(after_help = "Example:\n  agatetrack demo --document examples/board.yaml")]
    Demo {
        /// Configuration document to run; the built-in one if absent.
        #[arg(long, value_name = "FILE")]
        document: Option<PathBuf>,
        /// Listen address of the first instance; the next ports serve the others.
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
        /// Number of instances to start.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=16))]
        instances: u16,
    },
    /// Run the stand-in of one external system as a separate process.
    #[command(
        after_help = "Example:\n  agatetrack standin engine --listen 127.0.0.1:7101 --model glaze-oracle"
    )]
    Standin {
        /// Kind of stand-in to run.
        #[command(subcommand)]
        kind: Standin,
    },
    /// Check, compare, apply and read the configuration document.
    Config {
        /// Action on the document.
        #[command(subcommand)]
        action: Config,
    },
    /// Check a settings file.
    Settings {
        /// Action on the file.
        #[command(subcommand)]
        action: Settings,
    },
    /// Show the state of a running instance.
    #[command(after_help = "Example:\n  agatetrack status --operator 127.0.0.1:9090")]
    Status {
        /// Operator address of the instance to query.
        #[arg(long, default_value = "127.0.0.1:9090")]
        operator: SocketAddr,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Send an open-loop load to instances and report goodput, worst-served organisation first.
    #[command(
        after_help = "Example:\n  agatetrack load examples/load-savikoda.yaml --target 127.0.0.1:8080 --rate 50 --time 30s"
    )]
    Load(Load),
    /// Show the decisions of instances on one recent request or on those of an organisation.
    #[command(
        after_help = "Example:\n  agatetrack explain palmse --operator 127.0.0.1:9080 --operator 127.0.0.1:9081"
    )]
    Explain {
        /// Request identifier or organisation name; may be absent with `--logs`, which then counts
        /// all causes.
        #[arg(value_name = "REQUEST-ID|ORGANISATION", required_unless_present = "logs")]
        of: Option<String>,
        /// Log file to read instead of querying instances, `-` for standard input; may be repeated.
        #[arg(long, value_name = "FILE")]
        logs: Vec<PathBuf>,
        /// Operator address of an instance; repeat it to query several.
        #[arg(long, default_value = "127.0.0.1:9090")]
        operator: Vec<SocketAddr>,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Show the requests and prompt parts that instances on the operators' platform quarantine, or
    /// release some.
    #[command(
        after_help = "Example:\n  agatetrack suspects --settings local.yaml --part assess-llm:5c1e07a2 --release"
    )]
    Suspects {
        /// Settings file of an instance, which names the store.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Fingerprint as log lines show it; all suspects if absent.
        #[arg(value_name = "PRINT")]
        print: Option<String>,
        /// Part of prompts to a service, as callers name it.
        #[arg(long, value_name = "SERVICE:PART", conflicts_with = "print")]
        part: Option<String>,
        /// Release the suspects instead of showing them.
        #[arg(long)]
        release: bool,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  agatetrack completions bash > agatetrack.bash")]
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
}

/// Arguments of the `load` command.
#[derive(Debug, Options)]
pub struct Load {
    /// File with the load profile: the mix of requests and the organisations that send them.
    pub profile: PathBuf,
    /// Address of an instance for client requests; several are used in turn.
    #[arg(long, required = true, num_args = 1..)]
    pub target: Vec<SocketAddr>,
    /// Requests per second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Duration of the load.
    #[arg(long, default_value = "10s")]
    pub time: humantime::Duration,
    /// Seed of the random arrivals; the same seed sends the same requests at the same times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Maximum number of open requests; the time that further requests wait counts as latency.
    #[arg(long, default_value_t = 1024)]
    pub open: usize,
    /// File to write an SVG plot of the report to.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
    /// Output format of the report.
    #[arg(long, value_enum, default_value_t)]
    pub output: Output,
}

/// Stand-ins that can run as separate processes.
#[derive(Debug, Subcommand)]
pub enum Standin {
    /// The platform: store, fleet, usage reports and instance list.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Name of the model that the engine serves.
        #[arg(long)]
        model: String,
        /// Maximum number of concurrent requests.
        #[arg(long, default_value_t = 32)]
        slots: u16,
        /// Time between two tokens of a response.
        #[arg(long, default_value = "2ms")]
        gap: humantime::Duration,
    },
    /// A plain service.
    Service {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Name of the service in its responses.
        #[arg(long, default_value = "service")]
        name: String,
    },
}

/// Actions of the `config` command.
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Check a document without a store and list every error.
    #[command(after_help = "Example:\n  agatetrack config check examples/savikoda.yaml")]
    Check {
        /// Document to check.
        file: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Compare a document with the configuration in force.
    #[command(after_help = "Example:\n  agatetrack config diff FILE --platform 127.0.0.1:7000")]
    Diff {
        /// Document to compare.
        file: PathBuf,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Apply the sections of a document.
    #[command(
        after_help = "Example:\n  agatetrack config apply FILE --platform 127.0.0.1:7000 --author mari"
    )]
    Apply {
        /// Document, complete or with only the sections to change.
        file: PathBuf,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Author recorded with the change.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
        /// Generation that the document was derived from; the latest one if absent.
        #[arg(long, value_name = "GENERATION")]
        base: Option<u64>,
        /// Token of an earlier apply with an unknown outcome, to retry it safely; needs --base.
        #[arg(long, requires = "base")]
        token: Option<String>,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Print the configuration in force.
    #[command(after_help = "Example:\n  agatetrack config show --platform 127.0.0.1:7000")]
    Show {
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// List accepted changes, newest first.
    #[command(after_help = "Example:\n  agatetrack config history --platform 127.0.0.1:7000")]
    History {
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Maximum number of entries.
        #[arg(long, default_value_t = 20)]
        limit: usize,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Restore the document of an earlier generation as a new generation.
    #[command(after_help = "Example:\n  agatetrack config rollback 41 --platform 127.0.0.1:7000")]
    Rollback {
        /// Generation to restore.
        generation: u64,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Author recorded with the change.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
}

/// Actions of the `settings` command.
#[derive(Debug, Subcommand)]
pub enum Settings {
    /// Check a settings file without binding anything.
    #[command(after_help = "Example:\n  agatetrack settings check entry-1.yaml")]
    Check {
        /// Settings file to check.
        file: PathBuf,
        /// The file is for the `edge` command, on the operators' platform.
        #[arg(long)]
        edge: bool,
    },
}
