//! `ryefront-sim-adapter` runs gateway instances for the simulator, over standard input and output.

#![forbid(unsafe_code)]

use ryefront_sim_adapter::Host;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    match Host::default().run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ryefront-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
