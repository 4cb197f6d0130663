//! The command line: see `ryefront-fleet --help`.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use ryefront_fleet::slopes::{self, MemoryLoad, Sizes, SlopesError};
use ryefront_fleet::{Experiment, Report};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{self, ExitCode};

/// A model of a fleet of gateways: what each endpoint, tenant and route costs a gateway, and how a complete
/// fleet performs.
///
/// The gateways' policy engine and endpoint list code are real; clients, counter, discovery, network and
/// endpoints are modelled, in virtual time. Logs are written to standard error.
#[derive(Parser)]
#[command(name = "ryefront-fleet", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure what each endpoint, tenant and route costs a gateway, in time and bytes, up to the target
    /// sizes.
    ///
    /// The gateway's real policy engine and endpoint list code are timed on one core, on a clock and counter
    /// totals kept by the benchmark. A line or a logarithm is fitted through the points and evaluated at the
    /// target (26,000 endpoints, 300,000 tenants, 15,000 routes). The number of gateways is proportional to
    /// the endpoints as at the target (3,100 to 26,000), and at least 300. A route is a request class of the
    /// settings. Bytes are the growth of resident memory of a separate process for each size. Run it from a
    /// release build on a machine that is not busy.
    Slopes {
        /// Print an array of objects (name, unit, points, at_target and more) instead of the table.
        #[arg(long)]
        json: bool,
    },
    /// Simulate an experiment and print its result.
    ///
    /// The summary is written to standard output. The same file and seed give the same result, byte for byte.
    /// The status is 0 if all invariants held, 1 if one was violated (standard error says which), 2 if the
    /// run could not be completed.
    ///
    /// Try: ryefront-fleet run fleet/experiments/calm-300.toml --gateways 30
    Run {
        /// The experiment; fleet/experiments/ holds some, and each key is explained there.
        #[arg(value_name = "EXPERIMENT.toml")]
        file: PathBuf,
        /// The seed instead of the one in the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Simulate this number of gateways, with endpoints, tenants, requests and counter in proportion to
        /// the fleet in the file.
        #[arg(long, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        gateways: Option<u32>,
        /// Write result.json and summary.md into this directory, which is created if necessary. Without it
        /// nothing is written.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Print by how many bytes this process grows with a load. Used by `slopes`.
    #[command(hide = true)]
    Memory { load: MemoryLoadArgument, size: usize },
}

/// See [`MemoryLoad`].
#[derive(Clone, Copy, ValueEnum)]
enum MemoryLoadArgument {
    Tenants,
    Endpoints,
}

impl From<MemoryLoadArgument> for MemoryLoad {
    fn from(load: MemoryLoadArgument) -> Self {
        match load {
            MemoryLoadArgument::Tenants => Self::Tenants,
            MemoryLoadArgument::Endpoints => Self::Endpoints,
        }
    }
}

/// How the slopes are printed.
#[derive(Clone, Copy)]
enum OutputFormat {
    Json,
    Table,
}

/// The exit status for a run that could not be completed.
const EXIT_ERROR: u8 = 2;

/// The result cannot be written.
#[derive(Debug, thiserror::Error)]
#[error("{}: cannot be written: {source}", directory.display())]
struct OutputError {
    directory: PathBuf,
    source: io::Error,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).init();
    let result = match Cli::parse().command {
        Command::Slopes { json } => {
            measure_slopes(if json { OutputFormat::Json } else { OutputFormat::Table })
        }
        Command::Run { file, seed, gateways, out } => run(&file, seed, gateways, out.as_deref()),
        Command::Memory { load, size } => print_memory(load.into(), size),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        EXIT_ERROR.into()
    })
}

fn measure_slopes(format: OutputFormat) -> Result<ExitCode, Box<dyn Error>> {
    let slopes = slopes::measure(&Sizes::default(), &memory_of_new_process)?;
    let text = match format {
        OutputFormat::Json => slopes::json(&slopes),
        OutputFormat::Table => slopes::table(&slopes),
    };
    print!("{text}");
    Ok(ExitCode::SUCCESS)
}

/// Runs the `memory` command of this program.
fn memory_of_new_process(load: MemoryLoad, size: usize) -> Result<u64, SlopesError> {
    let load = match load {
        MemoryLoad::Tenants => "tenants",
        MemoryLoad::Endpoints => "endpoints",
    };
    let program = std::env::current_exe()?;
    let output = process::Command::new(program).args(["memory", load, &size.to_string()]).output()?;
    let bytes = String::from_utf8_lossy(&output.stdout).trim().parse();
    bytes.map_err(|_| SlopesError::Io(io::Error::other(String::from_utf8_lossy(&output.stderr))))
}

fn print_memory(load: MemoryLoad, size: usize) -> Result<ExitCode, Box<dyn Error>> {
    println!("{}", slopes::measure_memory(load, size)?);
    Ok(ExitCode::SUCCESS)
}

fn run(
    file: &Path, seed: Option<u64>, gateways: Option<u32>, out: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    let mut experiment = Experiment::read(file)?;
    experiment.scale.gateways = gateways.or(experiment.scale.gateways);
    let report = ryefront_fleet::run(&experiment, seed.unwrap_or(experiment.seed))?;
    if let Some(out) = out {
        write_report(&report, out).map_err(|source| OutputError { directory: out.to_owned(), source })?;
    }
    print!("{}", report.markdown());
    let mut status = ExitCode::SUCCESS;
    for invariant in report.violations() {
        eprintln!("violated: {} ({}, at most {})", invariant.name, invariant.value, invariant.limit);
        status = ExitCode::FAILURE;
    }
    Ok(status)
}

fn write_report(report: &Report, out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("result.json"), report.json())?;
    std::fs::write(out.join("summary.md"), report.markdown())
}
