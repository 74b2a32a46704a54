//! `jacinthsill trace`: what the logs say about one id.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use serde::Serialize;
use trace::{Line, Search};

use crate::cli;
use crate::error::{CliError, Code};
use crate::text;

/// Seconds around the id's own lines from which other lines are shown.
const AROUND: u64 = 1;

/// Microseconds in a second.
const SECOND_US: i64 = 1_000_000;

/// A clock that was corrected.
#[derive(Debug, Serialize)]
pub struct Clock {
    /// Host.
    pub node: Box<str>,
    /// What was added to its times.
    pub added_us: i64,
}

/// Result of a search.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Clocks that were corrected.
    pub clocks: Vec<Clock>,
    /// Lines by time.
    pub lines: Vec<trace::Found>,
    /// Lines that are no records.
    pub skipped: usize,
}

pub fn run(output: cli::Output, options: &cli::Trace) -> Result<Code, CliError> {
    let around = options.around.unwrap_or(AROUND);
    let around = super::seconds("--around", around, 0)?;
    if options.file.is_empty() {
        let message = "name the log files to search, one or more";
        return Err(CliError::Usage(message.into()));
    }
    let (mut lines, mut skipped) = (Vec::new(), 0);
    for file in &options.file {
        skipped += read(file, &mut lines)?;
    }
    let search = Search {
        id: options.id.as_str().into(),
        around_us: i64::try_from(around.as_secs()).unwrap_or(i64::MAX) * SECOND_US,
    };
    let trace = search.run(&lines);
    let clock = |(node, added_us): (&str, i64)| Clock {
        node: node.into(),
        added_us,
    };
    let report = Report {
        clocks: trace.offsets.corrected().map(clock).collect(),
        lines: trace.found,
        skipped,
    };
    text::print(output, &report, |out| text::trace(out, &report));
    if report.lines.is_empty() {
        let message = format!(
            "no line of {} names {}; give a flow (caller>service), one end of it, or another id, \
             and the logs of every process of that time",
            options.file.len(),
            options.id
        );
        return Err(CliError::Local(message.into()));
    }
    Ok(Code::Done)
}

/// Adds the records of a file; returns how many lines are none.
fn read(path: &Path, lines: &mut Vec<Line>) -> Result<usize, CliError> {
    let failed = |error: std::io::Error| {
        let message = format!("cannot read {}: {error}", path.display());
        CliError::Local(message.into())
    };
    let mut file = BufReader::new(File::open(path).map_err(failed)?);
    let (mut skipped, mut raw) = (0, Vec::new());
    while file.read_until(b'\n', &mut raw).map_err(failed)? > 0 {
        match Line::parse(&String::from_utf8_lossy(&raw)) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
        raw.clear();
    }
    Ok(skipped)
}
