//! The stand-ins and scenarios of the cases of the second review: `review-2 CASE FOLDER`.
//!
//! Standard library only. Every address is a loopback address with a free port.

mod clients;
mod counter;
mod discovery;
mod gateway;
mod http;
mod pick_server;
mod record;
mod scenarios;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, disruption: {}", if trouble { "on" } else { "off" }));
    match scenarios::run(case, trouble, &record) {
        Verdict::Held => {
            record.line("result: the rule held".into());
            ExitCode::from(0)
        }
        Verdict::Broken => {
            record.line("result: the rule was broken".into());
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.line(format!("result: not run: {reason}"));
            eprintln!("not run: {reason}");
            ExitCode::from(2)
        }
    }
}
