//! Command line of the binary.

use {
    clap::{Args as Options, Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

/// Exit codes, shown in the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  the command failed
  2  the command line is wrong
  3  a file or document is invalid
  4  another author changed the same section first
  5  the change may or may not be in force; apply it again with its token";

/// Serving system for model and application traffic on a limited fleet.
#[derive(Debug, Parser)]
#[command(name = "agatetrack", version, after_help = EXIT_CODES, propagate_version = true)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Text for a person.
    #[default]
    Text,
    /// JSON for a script.
    Json,
}

/// Commands of the binary.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one instance.
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
    /// Run instances and every outside system as stand-ins in one process, over loopback.
    #[command(after_help = "Example:\n  agatetrack demo --document examples/board.yaml")]
    Demo {
        /// Operators' document to run; a built-in one if absent.
        #[arg(long, value_name = "FILE")]
        document: Option<PathBuf>,
        /// Address of the first instance for callers; the next ports serve the others.
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
        /// Number of instances.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=16))]
        instances: u16,
    },
    /// Run one stand-in of an outside system as a process of its own.
    #[command(
        after_help = "Example:\n  agatetrack standin engine --listen 127.0.0.1:7101 --model glaze-oracle"
    )]
    Standin {
        /// Stand-in to run.
        #[command(subcommand)]
        kind: Standin,
    },
    /// Check, compare, apply and read the operators' document.
    Config {
        /// What to do.
        #[command(subcommand)]
        action: Config,
    },
    /// Check a settings file.
    Settings {
        /// What to do.
        #[command(subcommand)]
        action: Settings,
    },
    /// Show the state of an instance.
    #[command(after_help = "Example:\n  agatetrack status --operator 127.0.0.1:9090")]
    Status {
        /// Operator address of the instance.
        #[arg(long, default_value = "127.0.0.1:9090")]
        operator: SocketAddr,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Send an open-loop load to instances and report goodput, worst-served organisation first.
    #[command(
        after_help = "Example:\n  agatetrack load examples/load-savikoda.yaml --target 127.0.0.1:8080 --rate 50 --time 30s"
    )]
    Load(Load),
    /// Show what instances decided on a recent request, or on those of an organisation.
    #[command(
        after_help = "Example:\n  agatetrack explain palmse --operator 127.0.0.1:9080 --operator 127.0.0.1:9081"
    )]
    Explain {
        /// Identifier of a request, or name of an organisation; with `--logs` absent for all causes.
        #[arg(value_name = "REQUEST-ID|ORGANISATION", required_unless_present = "logs")]
        of: Option<String>,
        /// File with log lines of instances to read instead of asking them, `-` for standard input.
        #[arg(long, value_name = "FILE")]
        logs: Vec<PathBuf>,
        /// Operator address of an instance; repeat it to ask several.
        #[arg(long, default_value = "127.0.0.1:9090")]
        operator: Vec<SocketAddr>,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  agatetrack completions bash > agatetrack.bash")]
    Completions {
        /// Shell to complete for.
        shell: Shell,
    },
}

/// What the load command sends, and where.
#[derive(Debug, Options)]
pub struct Load {
    /// Profile that says what is sent and by whom.
    pub profile: PathBuf,
    /// Address of an instance for callers; several are used in turn.
    #[arg(long, required = true, num_args = 1..)]
    pub target: Vec<SocketAddr>,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Length of the load.
    #[arg(long, default_value = "10s")]
    pub time: humantime::Duration,
    /// Seed of the arrivals; the same seed sends the same requests at the same times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Requests open at once; the waiting of more counts as their latency.
    #[arg(long, default_value_t = 1024)]
    pub open: usize,
    /// File for a plot of the report, as SVG.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
    /// Form of the report.
    #[arg(long, value_enum, default_value_t)]
    pub output: Output,
}

/// Stand-ins that run as processes.
#[derive(Debug, Subcommand)]
pub enum Standin {
    /// The platform: store, fleet, usage and instance list.
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
        /// Model that the engine serves.
        #[arg(long)]
        model: String,
        /// Requests that it runs at once.
        #[arg(long, default_value_t = 32)]
        slots: u16,
        /// Time between two tokens.
        #[arg(long, default_value = "2ms")]
        gap: humantime::Duration,
    },
    /// A plain service.
    Service {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Name of the service.
        #[arg(long, default_value = "service")]
        name: String,
    },
}

/// Actions on the operators' document.
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Check a document without a store; every error is listed.
    #[command(after_help = "Example:\n  agatetrack config check examples/savikoda.yaml")]
    Check {
        /// Document to check.
        file: PathBuf,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Compare a document with the one in force.
    #[command(after_help = "Example:\n  agatetrack config diff FILE --platform 127.0.0.1:7000")]
    Diff {
        /// Document to compare.
        file: PathBuf,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Put the sections of a document in force.
    #[command(
        after_help = "Example:\n  agatetrack config apply FILE --platform 127.0.0.1:7000 --author mari"
    )]
    Apply {
        /// Document, whole or only the sections to change.
        file: PathBuf,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Who makes the change.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
        /// Generation that the document was made from; the newest one if absent.
        #[arg(long, value_name = "GENERATION")]
        base: Option<u64>,
        /// Token of an earlier apply whose outcome is unknown, to settle it; needs its base.
        #[arg(long, requires = "base")]
        token: Option<String>,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Print the document in force.
    #[command(after_help = "Example:\n  agatetrack config show --platform 127.0.0.1:7000")]
    Show {
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// List accepted changes, newest first.
    #[command(after_help = "Example:\n  agatetrack config history --platform 127.0.0.1:7000")]
    History {
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Most entries.
        #[arg(long, default_value_t = 20)]
        limit: usize,
        /// Form of the output.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Put the document of an earlier generation in force, as a new generation.
    #[command(after_help = "Example:\n  agatetrack config rollback 41 --platform 127.0.0.1:7000")]
    Rollback {
        /// Generation whose document to restore.
        generation: u64,
        /// Address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// Who makes the change.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
}

/// Actions on a settings file.
#[derive(Debug, Subcommand)]
pub enum Settings {
    /// Check a settings file without binding anything.
    #[command(after_help = "Example:\n  agatetrack settings check entry-1.yaml")]
    Check {
        /// Settings file to check.
        file: PathBuf,
        /// The file is for `edge`, on the operators' platform.
        #[arg(long)]
        edge: bool,
    },
}
