//! Seeded simulation of attempts and replicas over a network that loses, delays,
//! duplicates and reorders messages, with agents that restart.

use std::collections::BTreeMap;

use api::{Claim, ClaimReply, Done, KeyMember, KeySet, RequestKey};
use idempotency::{Attempt, ClaimReplica, Decision, ReplicaLimits, select_members};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use units::{Incarnation, Millis, ServiceId};

const AGENTS: usize = 5;
const WINDOW: Millis = Millis(3_000);
const STEP_MS: u64 = 20;

enum Message {
    Claim(usize, usize, Claim),
    Reply(usize, usize, ClaimReply),
    Done(usize, Done),
}

struct AttemptRun {
    key: RequestKey,
    members: Vec<KeyMember>,
    attempt: Attempt,
    /// Agent and its incarnation; an attempt ends when its agent restarts.
    owner: (usize, Incarnation),
    started: bool,
    finished: bool,
}

struct Simulation {
    rng: SmallRng,
    now: u64,
    replicas: Vec<ClaimReplica>,
    incarnations: Vec<u64>,
    /// Key sets in the log of control.
    sets: Vec<KeySet>,
    /// Number of key sets that each agent knows, and its horizon.
    known: Vec<(usize, u64)>,
    /// Messages on the network, by time of delivery.
    in_flight: Vec<(u64, Message)>,
    attempts: Vec<AttemptRun>,
    /// Number of started attempts per key.
    starts: BTreeMap<RequestKey, usize>,
    /// Attempts that found an earlier attempt of their key.
    duplicates: usize,
}

fn host(index: usize) -> units::HostName {
    format!("h{index}").parse().expect("valid")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            replicas: Vec::new(),
            incarnations: vec![1; AGENTS],
            sets: Vec::new(),
            known: vec![(0, 0); AGENTS],
            in_flight: Vec::new(),
            attempts: Vec::new(),
            starts: BTreeMap::new(),
            duplicates: 0,
        };
        simulation.log_set(0);
        for agent in 0..AGENTS {
            let limits = ReplicaLimits::default();
            simulation
                .replicas
                .push(ClaimReplica::new(host(agent), Incarnation(1), limits));
            simulation.update_view(agent);
        }
        simulation
    }

    fn log_set(&mut self, start: u64) {
        let members = (0..AGENTS).map(|agent| KeyMember {
            host: host(agent),
            incarnation: Incarnation(self.incarnations[agent]),
            http: "127.0.0.1:1".parse().expect("valid"),
        });
        let members = members.collect();
        self.sets.push(KeySet {
            start: Millis(start),
            members,
        });
    }

    /// Horizon in the log of control; new key sets start after it.
    fn horizon(&self) -> u64 {
        self.now + 2_000
    }

    fn update_view(&mut self, agent: usize) {
        self.known[agent] = (self.sets.len(), self.horizon());
        let (count, horizon) = self.known[agent];
        self.replicas[agent].configure(WINDOW, &self.sets[..count], Millis(horizon));
    }

    fn restart(&mut self, agent: usize) {
        self.incarnations[agent] += 1;
        let incarnation = Incarnation(self.incarnations[agent]);
        self.replicas[agent] =
            ClaimReplica::new(host(agent), incarnation, ReplicaLimits::default());
        self.update_view(agent);
        self.log_set(self.horizon() + 1);
    }

    /// Sends zero, one or two copies of a message, each with a random delay.
    fn send(&mut self, make: impl Fn() -> Message) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.1);
            let most = if slow { 5_000 } else { 200 };
            let at = self.now + self.rng.random_range(1..most);
            self.in_flight.push((at, make()));
        }
    }

    /// Local time of an agent; clocks differ by up to 300 ms.
    fn clock(&self, agent: usize) -> Millis {
        Millis(self.now + 75 * agent as u64)
    }

    fn start_attempt(&mut self, key: RequestKey) {
        let agent = self.rng.random_range(0..AGENTS);
        let (count, horizon) = self.known[agent];
        let now = self.clock(agent);
        let sets = &self.sets[..count];
        let Ok(members) = select_members(&key, sets, now, WINDOW, Millis(horizon)) else {
            return;
        };
        let index = self.attempts.len();
        let id = index as u128 + 1;
        for (at, member) in members.clone().into_iter().enumerate() {
            let claim = Claim {
                service: ServiceId(1),
                key: key.clone(),
                attempt: id,
                incarnation: member.incarnation,
                digest: 1,
            };
            self.send(|| Message::Claim(index, at, claim.clone()));
        }
        self.attempts.push(AttemptRun {
            key,
            attempt: Attempt::new(id, members.len()),
            members,
            owner: (agent, Incarnation(self.incarnations[agent])),
            started: false,
            finished: false,
        });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Claim(index, at, claim) => {
                let agent = self.agent_of(index, at);
                let now = self.clock(agent);
                let reply = self.replicas[agent].claim(now, &claim);
                self.send(|| Message::Reply(index, at, reply.clone()));
            }
            Message::Reply(index, at, reply) => {
                let decision = self.attempts[index].attempt.record_reply(at, reply);
                self.decide(index, &decision);
            }
            Message::Done(agent, done) => {
                let now = self.clock(agent);
                self.replicas[agent].complete(now, &done);
            }
        }
    }

    fn agent_of(&self, index: usize, at: usize) -> usize {
        let host = &self.attempts[index].members[at].host;
        host.as_str()[1..].parse().expect("valid")
    }

    fn decide(&mut self, index: usize, decision: &Decision) {
        let (agent, incarnation) = self.attempts[index].owner;
        if self.attempts[index].finished || self.incarnations[agent] != incarnation.0 {
            return;
        }
        let released = match decision {
            Decision::Wait => return,
            Decision::Start => {
                // Admission may refuse a request after its claim was granted; the attempt then
                // releases the claim.
                let refused = self.rng.random_bool(0.2);
                if !refused {
                    self.attempts[index].started = true;
                    let starts = self.starts.entry(self.attempts[index].key.clone());
                    *starts.or_default() += 1;
                }
                refused
            }
            Decision::Answer(_) | Decision::Finished | Decision::Running => {
                self.duplicates += 1;
                true
            }
            Decision::RequestMismatch | Decision::NotStarted => true,
        };
        self.attempts[index].finished = true;
        for at in 0..self.attempts[index].members.len() {
            let done = Done {
                service: ServiceId(1),
                key: self.attempts[index].key.clone(),
                attempt: self.attempts[index].attempt.id(),
                incarnation: self.attempts[index].members[at].incarnation,
                answer: None,
                released,
            };
            let agent = self.agent_of(index, at);
            self.send(|| Message::Done(agent, done.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        while let Some(at) = self.in_flight.iter().position(|(at, _)| *at <= now) {
            let (_, message) = self.in_flight.swap_remove(at);
            self.deliver(message);
        }
        for index in 0..self.attempts.len() {
            if !self.attempts[index].finished && self.rng.random_bool(0.02) {
                let decision = self.attempts[index].attempt.give_up();
                self.decide(index, &decision);
            }
        }
        let agent = self.rng.random_range(0..AGENTS);
        if self.rng.random_bool(0.2) {
            self.update_view(agent);
        }
        if self.rng.random_bool(0.006) {
            self.restart(agent);
        }
    }
}

/// Guards against starting two attempts of one key (P5) when messages are lost, late,
/// duplicated or reordered, agents restart with empty memory and views differ.
#[test]
fn key_starts_at_most_once() {
    let (mut started, mut duplicates) = (0, 0);
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed);
        let mut keys = Vec::new();
        for step in 0..1_500 {
            if step % 20 == 0 {
                let time = simulation.now + simulation.rng.random_range(0..1_000);
                keys.push(format!("{time}-{step}").parse::<RequestKey>().unwrap());
            }
            if simulation.rng.random_bool(0.2) {
                let from = keys.len().saturating_sub(8);
                let at = simulation.rng.random_range(from..keys.len());
                simulation.start_attempt(keys[at].clone());
            }
            simulation.step();
        }
        let twice = simulation.starts.iter().find(|(_, count)| **count > 1);
        assert_eq!(twice, None, "seed {seed}");
        started += simulation.starts.len();
        duplicates += simulation.duplicates;
    }
    // Enough messages must arrive for both cases to occur.
    assert!(started > 1_500, "{started} of 3000 keys started");
    assert!(
        duplicates > 300,
        "{duplicates} attempts found an earlier one"
    );
}
