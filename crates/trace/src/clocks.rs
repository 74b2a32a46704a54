//! Estimation of the clock offsets between VMs.
//!
//! Packets take milliseconds from one VM to the next. Among the time differences
//! between lines about one flow, the true clock offset is therefore the one that
//! occurs in nearly every flow. Differences between other lines of a flow vary,
//! because a flow lasts for a minute and reaches a VM more than once.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::Line;

/// Difference below which clocks count as equal; network delay can be as long.
const TOLERANCE_US: i64 = 50_000;

/// Minimum number of flows with a difference before clocks are corrected by it.
const MIN_FLOWS: usize = 3;

/// Maximum number of lines compared per VM and flow.
const MAX_COMPARED_LINES: usize = 16;

/// Correction that is added to the times of each VM, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Offsets(BTreeMap<Box<str>, i64>);

/// Clock difference of two VMs, estimated from the flows that both log.
struct Link<'a> {
    nodes: (&'a str, &'a str),
    /// How much later the second VM logs a flow.
    difference_us: i64,
    flows: usize,
}

impl Offsets {
    /// Estimates the offsets from the flows that two VMs log. A VM that shares too few flows with others
    /// is not corrected.
    #[must_use]
    pub fn estimate(lines: &[Line]) -> Self {
        let mut links = links(lines);
        links.sort_by_key(|link| std::cmp::Reverse(link.flows));
        let mut offsets = BTreeMap::new();
        for first in lines.iter().map(|line| &*line.node) {
            if offsets.contains_key(first) {
                continue;
            }
            offsets.insert(Box::from(first), 0);
            // Links are sorted by their number of flows, so the most reliable one is followed first.
            while let Some((node, offset)) = links.iter().find_map(|link| link.next(&offsets)) {
                offsets.insert(node, offset);
            }
        }
        offsets.retain(|_, offset| *offset != 0);
        Self(offsets)
    }

    /// Returns the corrected time of a line, in microseconds.
    #[must_use]
    pub fn time_us(&self, line: &Line) -> i64 {
        line.time_us + self.0.get(&line.node).copied().unwrap_or(0)
    }

    /// Returns the VMs that are corrected, with the correction in microseconds.
    pub fn corrected(&self) -> impl Iterator<Item = (&str, i64)> {
        self.0.iter().map(|(node, offset)| (&**node, *offset))
    }
}

impl Link<'_> {
    /// Returns the VM without an offset and its offset, if the other VM has one.
    fn next(&self, offsets: &BTreeMap<Box<str>, i64>) -> Option<(Box<str>, i64)> {
        let (a, b) = self.nodes;
        match (offsets.get(a), offsets.get(b)) {
            (Some(offset), None) => Some((b.into(), offset - self.difference_us)),
            (None, Some(offset)) => Some((a.into(), offset + self.difference_us)),
            _ => None,
        }
    }
}

fn links(lines: &[Line]) -> Vec<Link<'_>> {
    let mut times: BTreeMap<&str, BTreeMap<&str, Vec<i64>>> = BTreeMap::new();
    for line in lines {
        if let Some(flow) = line.flow() {
            let of_flow = times.entry(flow).or_default();
            of_flow.entry(&line.node).or_default().push(line.time_us);
        }
    }
    let mut all: BTreeMap<(&str, &str), Vec<(i64, usize)>> = BTreeMap::new();
    for (flow, nodes) in times.values().enumerate() {
        for (a, times_a) in nodes {
            for (b, times_b) in nodes.range(*a..).skip(1) {
                let differences = all.entry((a, b)).or_default();
                for from in times_a.iter().take(MAX_COMPARED_LINES) {
                    differences.extend(
                        times_b
                            .iter()
                            .take(MAX_COMPARED_LINES)
                            .map(|to| (to - from, flow)),
                    );
                }
            }
        }
    }
    let link = |(nodes, mut differences): ((_, _), Vec<(i64, usize)>)| {
        differences.sort_unstable();
        let (difference_us, flows) = most_common_difference(&differences);
        (flows >= MIN_FLOWS).then_some(Link {
            nodes,
            difference_us,
            flows,
        })
    };
    all.into_iter().filter_map(link).collect()
}

/// Returns the most common difference and its number of flows, or a difference of 0 if at least half
/// as many flows have none. `differences` holds pairs of a difference and the index of its flow, sorted.
fn most_common_difference(differences: &[(i64, usize)]) -> (i64, usize) {
    let index_of = |end: i64| differences.partition_point(|(time, _)| *time < end);
    let near = &differences[index_of(-TOLERANCE_US)..index_of(TOLERANCE_US)];
    let equal: HashSet<usize> = near.iter().map(|(_, flow)| *flow).collect();
    let (mut max_flows, mut difference) = (0, 0);
    // Flows with differences between the indices `first` and `end`, and how many differences each has.
    let mut span: HashMap<usize, usize> = HashMap::new();
    let mut end = 0;
    for (first, (time, flow)) in differences.iter().enumerate() {
        while end < differences.len() && differences[end].0 < time + TOLERANCE_US {
            *span.entry(differences[end].1).or_default() += 1;
            end += 1;
        }
        if span.len() > max_flows {
            (max_flows, difference) = (span.len(), differences[first.midpoint(end)].0);
        }
        if let Some(count) = span.get_mut(flow) {
            *count -= 1;
            if *count == 0 {
                span.remove(flow);
            }
        }
    }
    if equal.len() * 2 >= max_flows {
        return (0, equal.len());
    }
    (difference, max_flows)
}
