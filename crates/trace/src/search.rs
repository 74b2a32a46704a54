//! Search for an id in log lines.

use std::collections::BTreeSet;

use crate::{Line, Offsets};

/// Search parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Search {
    /// Flow, endpoint of a flow, request id, host or any other field value.
    pub id: Box<str>,
    /// Time before and after each line that mentions the id, in microseconds, within which lines that
    /// are not about a flow are included.
    pub around_us: i64,
}

/// A line of the result.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Found {
    /// Unix time in microseconds, corrected for clock offsets.
    pub time_us: i64,
    /// Whether the line mentions the id; other lines show the state of the process.
    pub named: bool,
    /// The log line.
    pub line: Line,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Lines in order of their corrected times.
    pub found: Vec<Found>,
    /// Clock offsets that were applied.
    pub offsets: Offsets,
}

impl Search {
    /// Searches the lines of all logs.
    #[must_use]
    pub fn run(&self, lines: &[Line]) -> Trace {
        let offsets = Offsets::estimate(lines);
        let named: Vec<&Line> = lines
            .iter()
            .filter(|line| line.mentions(&self.id))
            .collect();
        let mut times: Vec<i64> = named.iter().map(|line| offsets.time_us(line)).collect();
        times.sort_unstable();
        let process = |line: &Line| (line.node.clone(), line.program.clone());
        let processes: BTreeSet<_> = named.iter().map(|line| process(line)).collect();
        let is_context = |line: &Line| {
            let time = offsets.time_us(line);
            let next = times.partition_point(|named| *named < time - self.around_us);
            let near = times
                .get(next)
                .is_some_and(|named| *named <= time + self.around_us);
            near && line.flow().is_none() && processes.contains(&process(line))
        };
        let mut found: Vec<Found> = lines
            .iter()
            .filter_map(|line| {
                let named = line.mentions(&self.id);
                (named || is_context(line)).then(|| Found {
                    time_us: offsets.time_us(line),
                    named,
                    line: line.clone(),
                })
            })
            .collect();
        // The sort is stable, so lines of one process with equal times keep their order.
        found.sort_by_key(|found| found.time_us);
        Trace { found, offsets }
    }
}
