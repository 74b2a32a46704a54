//! Attempts and replicas over a fake of messages that loses, delays,
//! duplicates and crosses them, with agents that restart, by seed.

use std::collections::BTreeMap;

use api::{Claim, ClaimReply, Done, KeyMember, KeySet, RequestKey};
use idempotency::{Attempt, Replica, ReplicaLimits, Verdict, select};
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

struct Try {
    key: RequestKey,
    members: Vec<KeyMember>,
    attempt: Attempt,
    /// Agent and its start; an attempt ends with its agent.
    owner: (usize, Incarnation),
    begun: bool,
    over: bool,
}

struct World {
    rng: SmallRng,
    now: u64,
    replicas: Vec<Replica>,
    incarnations: Vec<u64>,
    /// Sets as logged, and how many of them each agent knows.
    sets: Vec<KeySet>,
    known: Vec<(usize, u64)>,
    mail: Vec<(u64, Message)>,
    tries: Vec<Try>,
    begins: BTreeMap<RequestKey, usize>,
    answered: usize,
}

fn host(index: usize) -> units::HostName {
    format!("h{index}").parse().expect("valid")
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            replicas: Vec::new(),
            incarnations: vec![1; AGENTS],
            sets: Vec::new(),
            known: vec![(0, 0); AGENTS],
            mail: Vec::new(),
            tries: Vec::new(),
            begins: BTreeMap::new(),
            answered: 0,
        };
        world.log_set(0);
        for agent in 0..AGENTS {
            let limits = ReplicaLimits::default();
            world
                .replicas
                .push(Replica::new(host(agent), Incarnation(1), limits));
            world.inform(agent);
        }
        world
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

    /// Horizon that control has logged: new sets start after it.
    fn horizon(&self) -> u64 {
        self.now + 2_000
    }

    fn inform(&mut self, agent: usize) {
        self.known[agent] = (self.sets.len(), self.horizon());
        let (count, horizon) = self.known[agent];
        self.replicas[agent].configure(WINDOW, &self.sets[..count], Millis(horizon));
    }

    fn restart(&mut self, agent: usize) {
        self.incarnations[agent] += 1;
        let incarnation = Incarnation(self.incarnations[agent]);
        self.replicas[agent] = Replica::new(host(agent), incarnation, ReplicaLimits::default());
        self.inform(agent);
        self.log_set(self.horizon() + 1);
    }

    /// Sends a message zero, one or two times with any delay.
    fn post(&mut self, make: impl Fn() -> Message) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.1);
            let most = if slow { 5_000 } else { 200 };
            let at = self.now + self.rng.random_range(1..most);
            self.mail.push((at, make()));
        }
    }

    /// Clocks of agents differ by up to 300 ms.
    fn clock(&self, agent: usize) -> Millis {
        Millis(self.now + 75 * agent as u64)
    }

    fn begin_try(&mut self, key: RequestKey) {
        let agent = self.rng.random_range(0..AGENTS);
        let (count, horizon) = self.known[agent];
        let now = self.clock(agent);
        let sets = &self.sets[..count];
        let Ok(members) = select(&key, sets, now, WINDOW, Millis(horizon)) else {
            return;
        };
        let index = self.tries.len();
        let id = index as u128 + 1;
        for (at, member) in members.clone().into_iter().enumerate() {
            let claim = Claim {
                service: ServiceId(1),
                key: key.clone(),
                attempt: id,
                incarnation: member.incarnation,
                digest: 1,
            };
            self.post(|| Message::Claim(index, at, claim.clone()));
        }
        self.tries.push(Try {
            key,
            attempt: Attempt::new(id, members.len()),
            members,
            owner: (agent, Incarnation(self.incarnations[agent])),
            begun: false,
            over: false,
        });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Claim(index, at, claim) => {
                let agent = self.agent_of(index, at);
                let now = self.clock(agent);
                let reply = self.replicas[agent].claim(now, &claim);
                self.post(|| Message::Reply(index, at, reply.clone()));
            }
            Message::Reply(index, at, reply) => {
                let verdict = self.tries[index].attempt.reply(at, reply);
                self.decide(index, &verdict);
            }
            Message::Done(agent, done) => {
                let now = self.clock(agent);
                self.replicas[agent].done(now, &done);
            }
        }
    }

    fn agent_of(&self, index: usize, at: usize) -> usize {
        let host = &self.tries[index].members[at].host;
        host.as_str()[1..].parse().expect("valid")
    }

    fn decide(&mut self, index: usize, verdict: &Verdict) {
        let (agent, incarnation) = self.tries[index].owner;
        if self.tries[index].over || self.incarnations[agent] != incarnation.0 {
            return;
        }
        let released = match verdict {
            Verdict::Wait => return,
            Verdict::Begin => {
                // Admission refuses some requests after their claim.
                let refused = self.rng.random_bool(0.2);
                if !refused {
                    self.tries[index].begun = true;
                    let begins = self.begins.entry(self.tries[index].key.clone());
                    *begins.or_default() += 1;
                }
                refused
            }
            Verdict::Answer(_) | Verdict::Finished | Verdict::Running => {
                self.answered += 1;
                true
            }
            Verdict::Differs | Verdict::NotBegun => true,
        };
        self.tries[index].over = true;
        for at in 0..self.tries[index].members.len() {
            let done = Done {
                service: ServiceId(1),
                key: self.tries[index].key.clone(),
                attempt: self.tries[index].attempt.id(),
                incarnation: self.tries[index].members[at].incarnation,
                answer: None,
                released,
            };
            let agent = self.agent_of(index, at);
            self.post(|| Message::Done(agent, done.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        while let Some(at) = self.mail.iter().position(|(at, _)| *at <= now) {
            let (_, message) = self.mail.swap_remove(at);
            self.deliver(message);
        }
        for index in 0..self.tries.len() {
            if !self.tries[index].over && self.rng.random_bool(0.02) {
                let verdict = self.tries[index].attempt.give_up();
                self.decide(index, &verdict);
            }
        }
        let agent = self.rng.random_range(0..AGENTS);
        if self.rng.random_bool(0.2) {
            self.inform(agent);
        }
        if self.rng.random_bool(0.006) {
            self.restart(agent);
        }
    }
}

/// Guards against two begins of one key under lost, late, duplicated and
/// crossed messages, restarts with empty memory and different views (P5).
#[test]
fn a_key_begins_at_most_once() {
    let (mut begun, mut resends) = (0, 0);
    for seed in 0..40 {
        let mut world = World::new(seed);
        let mut keys = Vec::new();
        for step in 0..1_500 {
            if step % 20 == 0 {
                let time = world.now + world.rng.random_range(0..1_000);
                keys.push(format!("{time}-{step}").parse::<RequestKey>().unwrap());
            }
            if world.rng.random_bool(0.2) {
                let from = keys.len().saturating_sub(8);
                let at = world.rng.random_range(from..keys.len());
                world.begin_try(keys[at].clone());
            }
            world.step();
        }
        let twice = world.begins.iter().find(|(_, count)| **count > 1);
        assert_eq!(twice, None, "seed {seed}");
        begun += world.begins.len();
        resends += world.answered;
    }
    // The network is not so bad that nothing happens.
    assert!(begun > 1_500, "{begun} of 3000 keys begun");
    assert!(resends > 300, "{resends} resends saw an earlier attempt");
}
