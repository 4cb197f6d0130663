//! The command: see `ryefront-fleet --help`.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use ryefront_fleet::slopes::{self, Load, Sizes, SlopesError};
use ryefront_fleet::{Experiment, Report};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{self, ExitCode};

/// A model of a fleet of gateways: what each role costs, and how a whole fleet fares.
///
/// The gateways are real in what they decide and in how they take lists in; clients, counter, discovery, network
/// and pick servers are modelled, in virtual time. Logs go to standard error.
#[derive(Parser)]
#[command(name = "ryefront-fleet", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure what one unit of each role costs, in time and bytes, up to the target's sizes.
    ///
    /// Nothing is modelled: the real decisions and the real list code are timed alone, on one core, and a line or a
    /// logarithm is fitted through the points and read at the target (26,000 servers, 300,000 tenants, 15,000
    /// routes). Gateways grow with servers as at the target (3,100 to 26,000), from 300 on. A route stands for one
    /// of the settings' classes. Bytes are the growth of resident memory of a process of its own for each size.
    /// Run it from a release build on a machine that is not busy.
    Slopes {
        /// An array of objects (name, unit, points, at_target and more) in place of the table.
        #[arg(long)]
        json: bool,
    },
    /// Play an experiment and tell what came of it.
    ///
    /// The summary goes to standard output. The same file and seed give the same result, byte for byte. The
    /// status is 0 if all invariants held, 1 if one was broken (standard error says which), 2 if the file cannot
    /// be used.
    ///
    /// Try: ryefront-fleet run fleet/experiments/calm-300.toml --gateways 30
    Run {
        /// The experiment; fleet/experiments/ holds some, and each key is explained there.
        #[arg(value_name = "EXPERIMENT.toml")]
        file: PathBuf,
        /// The seed in place of the file's.
        #[arg(long)]
        seed: Option<u64>,
        /// Play so many gateways, with servers, tenants, requests and counter in proportion to the file's fleet.
        #[arg(long, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        gateways: Option<u32>,
        /// Write result.json and summary.md into this directory, which is made if need be. Without it nothing is
        /// written.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Print by how many bytes this process grows with a load. For `slopes`.
    #[command(hide = true)]
    Weigh { load: Weighed, size: usize },
}

/// See [`Load`].
#[derive(Clone, Copy, ValueEnum)]
enum Weighed {
    Tenants,
    Endpoints,
}

/// A file or option that cannot be used.
const UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).init();
    let done = match Cli::parse().command {
        Command::Slopes { json } => measure(json),
        Command::Run { file, seed, gateways, out } => play(&file, seed, gateways, out.as_deref()),
        Command::Weigh { load, size } => {
            let load = if let Weighed::Tenants = load { Load::Tenants } else { Load::Endpoints };
            slopes::weigh(load, size).map(|bytes| println!("{bytes}")).map_err(Into::into)
        }
        .map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|error| {
        eprintln!("{error}");
        UNUSABLE.into()
    })
}

fn measure(json: bool) -> Result<ExitCode, Box<dyn Error>> {
    let this = std::env::current_exe()?;
    let weigh = |load, size: usize| {
        let load = if load == Load::Tenants { "tenants" } else { "endpoints" };
        let output = process::Command::new(&this).args(["weigh", load, &size.to_string()]).output()?;
        let bytes = String::from_utf8_lossy(&output.stdout).trim().parse();
        bytes.map_err(|_| SlopesError::Io(io::Error::other(String::from_utf8_lossy(&output.stderr))))
    };
    let slopes = slopes::measure(&Sizes::default(), &weigh)?;
    print!("{}", if json { slopes::json(&slopes) } else { slopes::table_of(&slopes) });
    Ok(ExitCode::SUCCESS)
}

fn play(
    file: &Path, seed: Option<u64>, gateways: Option<u32>, out: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    let mut experiment = Experiment::read(file)?;
    experiment.scale.gateways = gateways.or(experiment.scale.gateways);
    let report = ryefront_fleet::run(&experiment, seed.unwrap_or(experiment.seed))?;
    if let Some(out) = out {
        write(&report, out).map_err(|error| format!("{}: cannot be written: {error}", out.display()))?;
    }
    print!("{}", report.markdown());
    let mut status = ExitCode::SUCCESS;
    for broken in report.broken() {
        eprintln!("broken: {} ({}, at most {})", broken.name, broken.figure, broken.most);
        status = ExitCode::FAILURE;
    }
    Ok(status)
}

fn write(report: &Report, out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("result.json"), report.json())?;
    std::fs::write(out.join("summary.md"), report.markdown())
}
