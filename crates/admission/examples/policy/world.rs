//! Hosts with the real admission state, driven by events in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use admission::{Action, Admission, Ended, Event, Limits, Sibling, Siblings};
use profile::Tier;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::load::{Deployment, Kind, gap, service};
use crate::report::{Done, Overload};

/// Deadline of a policy that does not use deadlines.
const FAR: Duration = Duration::from_secs(100_000);

#[derive(Debug, Clone)]
pub struct Policy {
    pub limits: Limits,
    /// Requests that would wait are handed to a sibling with a free slot.
    pub relay: bool,
    /// Requests in progress are cancelled at their deadline.
    pub cancel: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Finish { host: usize, id: u64 },
    Cancel { host: usize, id: u64 },
    Relayed { host: usize, id: u64 },
    Returned { host: usize, id: u64 },
    Answered { host: usize, from: usize },
    Wake { host: usize },
    Poll,
}

/// One run of one policy.
pub struct Run<'a> {
    deployment: &'a Deployment,
    policy: &'a Policy,
    kinds: Vec<Kind>,
    arrivals: SmallRng,
    choices: SmallRng,
    start: Instant,
    now: Instant,
    hosts: Vec<(Admission, Siblings)>,
    /// Next wake-up of each host.
    wakes: Vec<Option<Instant>>,
    steps: BinaryHeap<Reverse<(Instant, u64, Step)>>,
    sequence: u64,
    requests: HashMap<u64, Done>,
    finished: Vec<Done>,
}

fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, host as u16 + 1)
}

impl<'a> Run<'a> {
    pub fn new(deployment: &'a Deployment, policy: &'a Policy, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            deployment,
            policy,
            kinds: Vec::new(),
            arrivals: SmallRng::seed_from_u64(seed),
            choices: SmallRng::seed_from_u64(seed + 1_000),
            start,
            now: start,
            hosts: Vec::new(),
            wakes: vec![None; deployment.hosts],
            steps: BinaryHeap::new(),
            sequence: 0,
            requests: HashMap::new(),
            finished: Vec::new(),
        }
    }

    /// 0.7 of capacity for 5 s, three times capacity for 10 s, 0.7 for 10 s.
    pub fn overload(mut self) -> Overload {
        self.setup(self.deployment.kinds.to_vec());
        let mean: f64 = self.kinds.iter().map(|k| k.mean * k.share).sum();
        let capacity = self.deployment.capacity(mean);
        for (factor, seconds) in [(0.7, 5), (3.0, 10), (0.7, 10)] {
            self.drive(capacity * factor, Duration::from_secs(seconds));
        }
        self.drain();
        let slots = self.deployment.hosts as f64 * f64::from(self.deployment.slots);
        Overload::new(&self.finished, &self.kinds, slots)
    }

    /// Short work at 0.45 of capacity for 60 s, with stragglers for a share of
    /// capacity besides; a part of them is hidden in the short class.
    pub fn mixed(mut self, stragglers: f64, hidden: f64) -> Vec<Done> {
        let short = Kind {
            share: 1.0,
            ..self.deployment.kinds[1]
        };
        let rate = 0.45 * self.deployment.capacity(short.mean);
        let long_rate = stragglers * self.deployment.capacity(self.deployment.long.mean);
        let long = Kind {
            share: (1.0 - hidden) * long_rate / rate,
            ..self.deployment.long
        };
        let hidden = Kind {
            share: hidden * long_rate / rate,
            limits: short.limits,
            ..long
        };
        self.setup(vec![short, long, hidden]);
        self.drive(rate, Duration::from_secs(60));
        self.drain();
        self.finished
    }

    fn setup(&mut self, kinds: Vec<Kind>) {
        let classes: Vec<_> = kinds.iter().map(|kind| kind.limits).collect();
        let all: Vec<_> = (0..self.deployment.hosts).map(address).collect();
        for host in 0..self.deployment.hosts {
            let limits = self.policy.limits.clone();
            let admission = Admission::new(self.now, limits, classes.clone());
            let mut siblings = Siblings::default();
            let others: Vec<_> = all
                .iter()
                .copied()
                .filter(|a| *a != address(host))
                .collect();
            siblings.set(&others);
            self.hosts.push((admission, siblings));
        }
        self.kinds = kinds;
        self.push(Duration::ZERO, Step::Poll);
    }

    fn push(&mut self, after: Duration, step: Step) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, step);
        self.steps.push(Reverse(entry));
    }

    /// Open-loop arrivals at any host.
    fn drive(&mut self, rate: f64, span: Duration) {
        let end = self.now + span;
        let mut next = self.now + gap(rate, &mut self.arrivals);
        while next < end {
            self.run_until(next);
            let shares: f64 = self.kinds[1..].iter().map(|kind| kind.share).sum();
            let mut draw = self.arrivals.random::<f64>();
            let host = self.arrivals.random_range(0..self.hosts.len());
            let mut class = 0;
            // The first class takes the rest, so that its own arrivals do not
            // depend on the others.
            if draw < shares {
                class = 1;
                while draw >= self.kinds[class].share {
                    draw -= self.kinds[class].share;
                    class += 1;
                }
            }
            let time = service(self.kinds[class].mean, &mut self.arrivals);
            self.arrive(host, class, time);
            next = self.now + gap(rate, &mut self.arrivals);
        }
        self.run_until(end);
    }

    fn drain(&mut self) {
        self.run_until(self.now + Duration::from_secs(300));
        let lost: Vec<_> = self.requests.drain().map(|(_, done)| done).collect();
        self.finished.extend(lost);
    }

    fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, _, step))) = self.steps.peek().copied()
            && at <= end
        {
            self.steps.pop();
            self.now = at;
            self.step(step);
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Finish { host, id } => {
                if let Some(mut done) = self.requests.remove(&id) {
                    done.end = Some(self.now - self.start);
                    self.answered(&done);
                    self.finished.push(done);
                    self.handle(
                        host,
                        Event::End {
                            id,
                            ended: Ended::Answered,
                        },
                    );
                }
            }
            Step::Cancel { host, id } => {
                if let Some(done) = self.requests.remove(&id) {
                    self.answered(&done);
                    self.finished.push(done);
                    self.handle(
                        host,
                        Event::End {
                            id,
                            ended: Ended::Cancelled,
                        },
                    );
                }
            }
            Step::Relayed { host, id } => self.relayed(host, id),
            Step::Returned { host, id } => {
                if let Some(from) = self.requests.get(&id).and_then(|done| done.relayed) {
                    self.hosts[host].1.declined(address(from));
                }
                self.offer(host, id);
            }
            Step::Answered { host, from } => self.hosts[host].1.answered(address(from)),
            Step::Wake { host } => {
                self.wakes[host] = None;
                self.handle(host, Event::Tick);
            }
            Step::Poll => {
                self.poll();
                self.push(Duration::from_secs(1), Step::Poll);
            }
        }
    }

    /// Tells the agent that relayed a request that it is over.
    fn answered(&mut self, done: &Done) {
        if let Some(from) = done.relayed {
            let host = done.host;
            self.push(self.deployment.delay, Step::Answered { host, from });
        }
    }

    fn poll(&mut self) {
        let loads: Vec<Sibling> = self.hosts.iter().map(|(a, _)| self.load(a)).collect();
        for (_, siblings) in &mut self.hosts {
            for (host, load) in loads.iter().enumerate() {
                siblings.observe(self.now, address(host), *load);
            }
        }
    }

    fn load(&self, admission: &Admission) -> Sibling {
        Sibling {
            busy: admission.busy() as u16,
            slots: admission.slots(self.now),
            waiting: admission.waiting() as u32,
            serving: true,
        }
    }

    fn arrive(&mut self, host: usize, class: usize, service: Duration) {
        self.sequence += 1;
        let id = self.sequence;
        let done = Done {
            class,
            service,
            arrival: self.now - self.start,
            deadline: self.now + self.kinds[class].deadline - self.start,
            host,
            begun: None,
            refused: None,
            relayed: None,
            end: None,
        };
        self.requests.insert(id, done);
        let (admission, siblings) = &mut self.hosts[host];
        let free = admission.is_free(self.now, class);
        if self.policy.relay
            && !free
            && let Some(to) = siblings.choose(self.now, &[], &mut self.choices)
        {
            let to = usize::from(to.port()) - 1;
            if let Some(done) = self.requests.get_mut(&id) {
                done.relayed = Some(to);
            }
            self.push(self.deployment.delay, Step::Relayed { host: to, id });
        } else {
            self.offer(host, id);
        }
    }

    /// A sibling takes what can begin soon, like the agent's relay handler.
    fn relayed(&mut self, host: usize, id: u64) {
        let Some(done) = self.requests.get(&id) else {
            return;
        };
        let admission = &self.hosts[host].0;
        let takes = admission.is_free(self.now, done.class)
            || admission.waiting() < usize::from(admission.slots(self.now))
            || self.kinds[done.class].limits.tier == Tier::Critical;
        if takes {
            self.offer(host, id);
        } else {
            let host = done.host;
            self.push(self.deployment.delay, Step::Returned { host, id });
        }
    }

    fn offer(&mut self, host: usize, id: u64) {
        let Some(done) = self.requests.get(&id) else {
            return;
        };
        let uses =
            self.policy.limits.refuse_early || self.policy.limits.drop_late || self.policy.cancel;
        let deadline = if uses { done.deadline } else { FAR };
        let event = Event::Arrive {
            id,
            class: done.class,
            deadline: self.start + deadline,
        };
        self.handle(host, event);
    }

    fn handle(&mut self, host: usize, event: Event) {
        let mut out = Vec::new();
        let admission = &mut self.hosts[host].0;
        admission.handle(self.now, event, &mut out);
        let wake = admission.next_wake(self.now);
        for action in out {
            match action {
                Action::Begin { id } => self.begin(host, id),
                Action::Refuse { id, .. } => {
                    let refused = Some(self.now - self.start);
                    let done = self.requests.remove(&id);
                    self.finished
                        .extend(done.map(|done| Done { refused, ..done }));
                }
            }
        }
        let sooner = |wake: &Instant| self.wakes[host].is_none_or(|known| *wake < known);
        if let Some(wake) = wake.filter(sooner) {
            self.wakes[host] = Some(wake);
            let after = wake.saturating_duration_since(self.now);
            self.push(after.max(Duration::from_nanos(1)), Step::Wake { host });
        }
    }

    fn begin(&mut self, host: usize, id: u64) {
        let at = self.now - self.start;
        let Some(done) = self.requests.get_mut(&id) else {
            return;
        };
        done.begun = Some(at);
        let left = done.deadline.saturating_sub(at);
        let service = done.service;
        if self.policy.cancel && service > left {
            self.push(left, Step::Cancel { host, id });
        } else {
            self.push(service, Step::Finish { host, id });
        }
    }
}
