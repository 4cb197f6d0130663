//! The command line of the fleet model; `ryefront-fleet --help` describes it.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use ryefront_fleet::slopes::{self, MeasurementError, MemoryLoad, Sizes};
use ryefront_fleet::{Experiment, Report};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{self, ExitCode};

/// Models a fleet of gateways: measures what each endpoint, tenant and route costs a gateway, and simulates
/// complete fleets.
///
/// The gateways' policy engine and endpoint list code are real; clients, counter, discovery, network and
/// endpoints are modelled in virtual time. Logs are written to standard error.
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
    /// The gateway's real policy engine and endpoint list code are timed on one core, with a clock and a
    /// counter that the benchmark controls. A line or a logarithm is fitted to the points and evaluated at
    /// the target (26,000 endpoints, 300,000 tenants, 15,000 routes). The ratio of gateways to endpoints is
    /// that of the target (3,100 to 26,000), but there are at least 300 gateways. A route is a request class
    /// of the settings. Bytes are the growth of the resident memory of a separate process for each size. For
    /// meaningful times, use a release build on an idle machine.
    Slopes {
        /// Print a JSON array of objects (name, unit, points, at_target and more) instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Simulate an experiment and print its result.
    ///
    /// The summary is written to standard output. The same file, options and seed give the same result, byte
    /// for byte. The exit status is 0 if all invariants held, 1 if any was violated (each is named on
    /// standard error), and 2 if the run could not be completed.
    ///
    /// Example: ryefront-fleet run fleet/experiments/calm-300.toml --gateways 30
    Run {
        /// The experiment file. The files in fleet/experiments/ are examples that explain each key.
        #[arg(value_name = "EXPERIMENT.toml")]
        file: PathBuf,
        /// Override the seed in the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Simulate this number of gateways, and scale endpoints, tenants, requests and counter in proportion
        /// to the fleet in the file.
        #[arg(long, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        gateways: Option<u32>,
        /// Write result.json and summary.md to this directory, which is created if necessary. By default, no
        /// file is written.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Print by how many bytes the resident memory of this process grows with a number of tenants or
    /// endpoints. Used by `slopes`.
    #[command(hide = true)]
    Memory { load: MemoryLoadArgument, size: usize },
}

/// [`MemoryLoad`] as a command-line argument.
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

/// The output format of the `slopes` command.
#[derive(Clone, Copy)]
enum OutputFormat {
    Json,
    Table,
}

/// The exit status for a run that could not be completed.
const EXIT_ERROR: u8 = 2;

/// The output directory or a file in it cannot be written.
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
        Command::Run { file, seed, gateways, out } => run_experiment(&file, seed, gateways, out.as_deref()),
        Command::Memory { load, size } => print_memory(load.into(), size),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        EXIT_ERROR.into()
    })
}

fn measure_slopes(format: OutputFormat) -> Result<ExitCode, Box<dyn Error>> {
    let curves = slopes::measure(&Sizes::default(), &measure_memory_in_new_process)?;
    let text = match format {
        OutputFormat::Json => slopes::json(&curves),
        OutputFormat::Table => slopes::table(&curves),
    };
    print!("{text}");
    Ok(ExitCode::SUCCESS)
}

/// Runs the `memory` command of this program and parses its output.
fn measure_memory_in_new_process(load: MemoryLoad, size: usize) -> Result<u64, MeasurementError> {
    let load = match load {
        MemoryLoad::Tenants => "tenants",
        MemoryLoad::Endpoints => "endpoints",
    };
    let program = std::env::current_exe()?;
    let output = process::Command::new(program).args(["memory", load, &size.to_string()]).output()?;
    let bytes = String::from_utf8_lossy(&output.stdout).trim().parse();
    bytes.map_err(|_| MeasurementError::Io(io::Error::other(String::from_utf8_lossy(&output.stderr))))
}

fn print_memory(load: MemoryLoad, size: usize) -> Result<ExitCode, Box<dyn Error>> {
    println!("{}", slopes::measure_memory(load, size)?);
    Ok(ExitCode::SUCCESS)
}

fn run_experiment(
    file: &Path, seed: Option<u64>, gateways: Option<u32>, out: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    let mut experiment = Experiment::read(file)?;
    experiment.scale.gateways = gateways.or(experiment.scale.gateways);
    let report = ryefront_fleet::run(&experiment, seed.unwrap_or(experiment.seed))?;
    if let Some(directory) = out {
        write_report(&report, directory)
            .map_err(|source| OutputError { directory: directory.to_owned(), source })?;
    }
    print!("{}", report.markdown());
    let mut status = ExitCode::SUCCESS;
    for invariant in report.violations() {
        eprintln!("violated: {} ({}, at most {})", invariant.name, invariant.value, invariant.limit);
        status = ExitCode::FAILURE;
    }
    Ok(status)
}

fn write_report(report: &Report, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join("result.json"), report.json())?;
    std::fs::write(directory.join("summary.md"), report.markdown())
}
