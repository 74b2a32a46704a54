//! Search for an id.

use std::collections::BTreeSet;

use crate::{Line, Offsets};

/// What is searched for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Search {
    /// Flow, end of a flow, request id, host or any other value of a field.
    pub id: Box<str>,
    /// Time around each line about the id, in microseconds, from which lines that are about no flow are
    /// shown as well.
    pub around_us: i64,
}

/// A line that was found.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Found {
    /// Unix time in microseconds by the common clock.
    pub time_us: i64,
    /// Whether the line names the id; others tell what the process believed.
    pub named: bool,
    /// The line.
    pub line: Line,
}

/// Lines about an id in the order of their times.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Lines.
    pub found: Vec<Found>,
    /// VMs whose clocks were corrected.
    pub offsets: Offsets,
}

impl Search {
    /// Searches the lines of all logs.
    #[must_use]
    pub fn run(&self, lines: &[Line]) -> Trace {
        let offsets = Offsets::estimate(lines);
        let named: Vec<&Line> = lines.iter().filter(|line| line.names(&self.id)).collect();
        let mut times: Vec<i64> = named.iter().map(|line| offsets.time_us(line)).collect();
        times.sort_unstable();
        let process = |line: &Line| (line.node.clone(), line.program.clone());
        let processes: BTreeSet<_> = named.iter().map(|line| process(line)).collect();
        let belongs = |line: &Line| {
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
                let named = line.names(&self.id);
                (named || belongs(line)).then(|| Found {
                    time_us: offsets.time_us(line),
                    named,
                    line: line.clone(),
                })
            })
            .collect();
        // Stable, so that lines of one process at one time keep their order.
        found.sort_by_key(|found| found.time_us);
        Trace { found, offsets }
    }
}
