//! Runs one case of the review against the project's programs.
//!
//! `stand-in CASE FOLDER RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. `TROUBLE=0` leaves out the disruption.

mod case_drain;
mod case_join;
mod case_restart;
mod case_split;
mod client;
mod host;
mod http;
mod machines;
mod packet;
mod record;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use machines::cannot;
use record::Record;

/// Longest run of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder, record] = &arguments[..] else {
        cannot("usage: stand-in CASE FOLDER RECORD");
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(record)));
    let run = match case.as_str() {
        "drain" => case_drain::run,
        "join" => case_join::run,
        "split" => case_split::run,
        "restart" => case_restart::run,
        other => cannot(&format!("there is no case {other}")),
    };
    let folder = Path::new(folder).to_owned();
    let worker = std::thread::spawn(move || run(&folder, &record, trouble));
    let start = std::time::Instant::now();
    while !worker.is_finished() {
        if start.elapsed() > LIMIT {
            // This ends the processes that were started, too.
            cannot("it took too long");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    match worker.join() {
        Ok(broken) => std::process::exit(i32::from(broken)),
        Err(_) => cannot("the stand-in panicked"),
    }
}
