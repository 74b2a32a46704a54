//! How far the clocks of VMs are apart.
//!
//! Packets need milliseconds from one VM to the next, so among the differences
//! between lines about one flow the true difference of two clocks is the one
//! that nearly every flow shows. Differences between other lines of a flow,
//! which lives for a minute and visits a VM more than once, are spread.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::Line;

/// Difference below which clocks count as equal, in microseconds: packets need that long, too.
const TOLERATED_US: i64 = 50_000;

/// Flows that must show a difference before clocks are corrected by it.
const LEAST_FLOWS: usize = 3;

/// Lines of a VM about one flow that are compared.
const COMPARED: usize = 16;

/// What to add to the times of each VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Offsets(BTreeMap<Box<str>, i64>);

/// How much later one VM logs the same flows than another.
struct Link<'a> {
    ends: (&'a str, &'a str),
    /// In microseconds.
    apart: i64,
    flows: usize,
}

impl Offsets {
    /// Compares the lines about the flows that two VMs log. VMs that share too few keep their times.
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
            // The link that most flows show leads to the next VM.
            while let Some((node, offset)) = links.iter().find_map(|link| link.next(&offsets)) {
                offsets.insert(node, offset);
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

impl Link<'_> {
    /// The end that has no offset yet, if the other has one.
    fn next(&self, offsets: &BTreeMap<Box<str>, i64>) -> Option<(Box<str>, i64)> {
        let (a, b) = self.ends;
        match (offsets.get(a), offsets.get(b)) {
            (Some(offset), None) => Some((b.into(), offset - self.apart)),
            (None, Some(offset)) => Some((a.into(), offset + self.apart)),
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
        for (a, at_a) in nodes {
            for (b, at_b) in nodes.range(*a..).skip(1) {
                let apart = all.entry((a, b)).or_default();
                for from in at_a.iter().take(COMPARED) {
                    apart.extend(at_b.iter().take(COMPARED).map(|to| (to - from, flow)));
                }
            }
        }
    }
    let link = |(ends, mut apart): ((_, _), Vec<(i64, usize)>)| {
        apart.sort_unstable();
        let (apart, flows) = most_shown(&apart);
        (flows >= LEAST_FLOWS).then_some(Link { ends, apart, flows })
    };
    all.into_iter().filter_map(link).collect()
}

/// Difference that most flows show, and how many; 0 if half as many show none. `apart` is sorted.
fn most_shown(apart: &[(i64, usize)]) -> (i64, usize) {
    let until = |end: i64| apart.partition_point(|(time, _)| *time < end);
    let near = &apart[until(-TOLERATED_US)..until(TOLERATED_US)];
    let equal: HashSet<usize> = near.iter().map(|(_, flow)| *flow).collect();
    let (mut most, mut at) = (0, 0);
    // Flows of the span between `first` and `end`, with how often each shows a difference there.
    let mut span: HashMap<usize, usize> = HashMap::new();
    let mut end = 0;
    for (first, (time, flow)) in apart.iter().enumerate() {
        while end < apart.len() && apart[end].0 < time + TOLERATED_US {
            *span.entry(apart[end].1).or_default() += 1;
            end += 1;
        }
        if span.len() > most {
            (most, at) = (span.len(), apart[first.midpoint(end)].0);
        }
        if let Some(shown) = span.get_mut(flow) {
            *shown -= 1;
            if *shown == 0 {
                span.remove(flow);
            }
        }
    }
    if equal.len() * 2 >= most {
        return (0, equal.len());
    }
    (at, most)
}
