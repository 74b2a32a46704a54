//! What a run of the simulation has to end with.

use super::Simulation;
use crate::simulation::caller::Stage;

impl Simulation {
    /// Asserts that every flow was served, or reset because its backend server lost it; under
    /// overload a flow may also have been refused before a backend server received its request.
    pub fn assert_outcomes(&self, seed: u64) {
        let agents_started = self.faults.iter().filter(|f| f.contains("Agent")).count() as u32;
        for caller in self.callers.values() {
            let was_lost = |initial_seq| self.lost.contains(&(caller.flow, initial_seq));
            let refused = caller.stage == Stage::Reset && caller.initial_seq.is_none();
            let mut backends = self.backends.iter();
            let reached_backend =
                backends.any(|backend| backend.has_received_request(&caller.flow));
            let expected = caller.stage == Stage::Served
                || self.overloaded && refused && !reached_backend
                || caller.stage == Stage::Reset && caller.initial_seq.is_some_and(was_lost);
            assert!(expected, "seed {seed}: {caller:?} after {:?}", self.faults);
        }
        for (number, backend) in self.backends.iter().enumerate() {
            for (flow, packets) in &backend.unknown_packets {
                // Each process of an agent may offer a flow once, and redirects may be outdated.
                assert!(
                    *packets <= agents_started + 3,
                    "seed {seed}: backend server {number} got {packets} packets of {flow}, which \
                     it doesn't have, after {:?}",
                    self.faults
                );
            }
        }
        for (number, agent) in self.agents.iter().enumerate() {
            let load = agent.load();
            assert_eq!(
                load.busy, 0,
                "seed {seed}: agent {number}, {:?}",
                self.faults
            );
        }
    }
}
