//! How far the clocks of VMs are apart.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Line;

/// Difference below which clocks count as equal, in microseconds: packets need that long, too.
const TOLERATED_US: i64 = 50_000;

/// Flows that two VMs must both log before their clocks are compared.
const LEAST_FLOWS: usize = 3;

/// What to add to the times of each VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Offsets(BTreeMap<Box<str>, i64>);

impl Offsets {
    /// Compares the first lines about each flow. VMs that share no flows keep their times.
    #[must_use]
    pub fn estimate(lines: &[Line]) -> Self {
        let apart = differences(lines);
        let nodes: BTreeSet<&str> = lines.iter().map(|line| &*line.node).collect();
        let mut offsets = BTreeMap::new();
        for first in nodes {
            if offsets.contains_key(first) {
                continue;
            }
            offsets.insert(Box::from(first), 0);
            let mut next = VecDeque::from([first]);
            while let Some(at) = next.pop_front() {
                let own = offsets.get(at).copied().unwrap_or(0);
                for ((_, other), apart) in
                    apart.range((at, "")..).take_while(|((a, _), _)| *a == at)
                {
                    if !offsets.contains_key(*other) {
                        let rounded = if apart.abs() < TOLERATED_US {
                            0
                        } else {
                            *apart
                        };
                        offsets.insert(Box::from(*other), own - rounded);
                        next.push_back(other);
                    }
                }
            }
        }
        offsets.retain(|_, offset| *offset != 0);
        Self(offsets)
    }

    /// Time of a line by the common clock, in microseconds.
    #[must_use]
    pub fn time_us(&self, line: &Line) -> i64 {
        line.time_us + self.0.get(&line.node).copied().unwrap_or(0)
    }

    /// VMs whose clocks differ, with what is added to their times in microseconds.
    pub fn corrected(&self) -> impl Iterator<Item = (&str, i64)> {
        self.0.iter().map(|(node, offset)| (&**node, *offset))
    }
}

/// Median of how much later, in microseconds, the second VM logs the flows of the first.
fn differences(lines: &[Line]) -> BTreeMap<(&str, &str), i64> {
    let mut firsts: BTreeMap<&str, BTreeMap<&str, i64>> = BTreeMap::new();
    for line in lines {
        if let Some(flow) = line.flow() {
            let first = firsts.entry(flow).or_default();
            let first = first.entry(&line.node).or_insert(line.time_us);
            *first = line.time_us.min(*first);
        }
    }
    let mut all: BTreeMap<(&str, &str), Vec<i64>> = BTreeMap::new();
    for nodes in firsts.values() {
        for (a, at_a) in nodes {
            for (b, at_b) in nodes.iter().filter(|(b, _)| *b != a) {
                all.entry((a, b)).or_default().push(at_b - at_a);
            }
        }
    }
    all.retain(|_, times| times.len() >= LEAST_FLOWS);
    let median = |mut times: Vec<i64>| {
        times.sort_unstable();
        times[times.len() / 2]
    };
    all.into_iter()
        .map(|(key, times)| (key, median(times)))
        .collect()
}
