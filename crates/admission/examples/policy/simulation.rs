//! Discrete-event simulation of hosts that run the real admission state.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use admission::{Action, Admission, Completion, Event, Limits, SiblingLoad, Siblings};
use profile::Tier;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::report::{Overload, RequestRecord};
use crate::workload::{Deployment, RequestClass, interarrival_time, service_time};

/// Time left of a request under a policy that does not use deadlines.
const NO_DEADLINE: Duration = Duration::from_secs(100_000);

#[derive(Debug, Clone)]
pub struct Policy {
    pub limits: Limits,
    /// Whether requests that would wait are relayed to a sibling with a free slot.
    pub relay: bool,
    /// Whether requests in progress are cancelled at their deadline.
    pub cancel: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Finish {
        host: usize,
        id: u64,
    },
    Cancel {
        host: usize,
        id: u64,
    },
    /// A relayed request arrives at the sibling `host`.
    Relayed {
        host: usize,
        id: u64,
    },
    /// A relayed request comes back to `host` because the sibling did not take it.
    Returned {
        host: usize,
        id: u64,
    },
    /// `host` learns that the sibling `from` finished a relayed request.
    Answered {
        host: usize,
        from: usize,
    },
    Wakeup {
        host: usize,
    },
    /// All hosts report their loads to each other.
    Poll,
}

/// One run of a policy.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    policy: &'a Policy,
    classes: Vec<RequestClass>,
    /// Generator of arrivals and service times.
    arrivals: SmallRng,
    /// Generator of the choices of siblings.
    choices: SmallRng,
    start: Instant,
    now: Instant,
    hosts: Vec<(Admission, Siblings)>,
    /// Next wake-up of each host.
    wakeups: Vec<Option<Instant>>,
    events: BinaryHeap<Reverse<(Instant, u64, SimEvent)>>,
    sequence: u64,
    requests: HashMap<u64, RequestRecord>,
    finished: Vec<RequestRecord>,
}

fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, host as u16 + 1)
}

impl<'a> Simulation<'a> {
    pub fn new(deployment: &'a Deployment, policy: &'a Policy, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            deployment,
            policy,
            classes: Vec::new(),
            arrivals: SmallRng::seed_from_u64(seed),
            choices: SmallRng::seed_from_u64(seed + 1_000),
            start,
            now: start,
            hosts: Vec::new(),
            wakeups: vec![None; deployment.hosts],
            events: BinaryHeap::new(),
            sequence: 0,
            requests: HashMap::new(),
            finished: Vec::new(),
        }
    }

    /// Load of 0.7 of capacity for 5 s, three times capacity for 10 s, then 0.7 for 10 s.
    pub fn overload(mut self) -> Overload {
        self.setup(self.deployment.classes.to_vec());
        let mean: f64 = self
            .classes
            .iter()
            .map(|class| class.mean_s * class.share)
            .sum();
        let capacity = self.deployment.capacity(mean);
        for (factor, seconds) in [(0.7, 5), (3.0, 10), (0.7, 10)] {
            self.generate_load(capacity * factor, Duration::from_secs(seconds));
        }
        self.drain();
        let slots = self.deployment.hosts as f64 * f64::from(self.deployment.slots);
        Overload::new(&self.finished, &self.classes, slots)
    }

    /// Short requests at 0.45 of capacity for 60 s, plus stragglers at the given
    /// share of capacity. The share `hidden` of them belongs to a short class.
    pub fn mixed(mut self, stragglers: f64, hidden: f64) -> Vec<RequestRecord> {
        let short = RequestClass {
            share: 1.0,
            ..self.deployment.classes[1]
        };
        let rate = 0.45 * self.deployment.capacity(short.mean_s);
        let long_rate = stragglers * self.deployment.capacity(self.deployment.long.mean_s);
        let long = RequestClass {
            share: (1.0 - hidden) * long_rate / rate,
            ..self.deployment.long
        };
        let hidden = RequestClass {
            share: hidden * long_rate / rate,
            limits: short.limits,
            ..long
        };
        self.setup(vec![short, long, hidden]);
        self.generate_load(rate, Duration::from_secs(60));
        self.drain();
        self.finished
    }

    fn setup(&mut self, classes: Vec<RequestClass>) {
        let limits_by_class: Vec<_> = classes.iter().map(|class| class.limits).collect();
        let all: Vec<_> = (0..self.deployment.hosts).map(address).collect();
        for host in 0..self.deployment.hosts {
            let limits = self.policy.limits.clone();
            let admission = Admission::new(self.now, limits, limits_by_class.clone());
            let mut siblings = Siblings::default();
            let others: Vec<_> = all
                .iter()
                .copied()
                .filter(|a| *a != address(host))
                .collect();
            siblings.set_members(&others);
            self.hosts.push((admission, siblings));
        }
        self.classes = classes;
        self.push(Duration::ZERO, SimEvent::Poll);
    }

    fn push(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    /// Generates open-loop arrivals at random hosts.
    fn generate_load(&mut self, rate: f64, span: Duration) {
        let end = self.now + span;
        let mut next = self.now + interarrival_time(rate, &mut self.arrivals);
        while next < end {
            self.run_until(next);
            let shares: f64 = self.classes[1..].iter().map(|class| class.share).sum();
            let mut draw = self.arrivals.random::<f64>();
            let host = self.arrivals.random_range(0..self.hosts.len());
            let mut class = 0;
            // The first class takes the rest, so that its own arrivals do not
            // depend on the others.
            if draw < shares {
                class = 1;
                while draw >= self.classes[class].share {
                    draw -= self.classes[class].share;
                    class += 1;
                }
            }
            let time = service_time(self.classes[class].mean_s, &mut self.arrivals);
            self.arrive(host, class, time);
            next = self.now + interarrival_time(rate, &mut self.arrivals);
        }
        self.run_until(end);
    }

    fn drain(&mut self) {
        self.run_until(self.now + Duration::from_secs(300));
        let unfinished: Vec<_> = self.requests.drain().map(|(_, record)| record).collect();
        self.finished.extend(unfinished);
    }

    fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, _, event))) = self.events.peek().copied()
            && at <= end
        {
            self.events.pop();
            self.now = at;
            self.process(event);
        }
        self.now = end;
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Finish { host, id } => {
                if let Some(mut record) = self.requests.remove(&id) {
                    record.end = Some(self.now - self.start);
                    self.notify_relay(&record);
                    self.finished.push(record);
                    self.handle(
                        host,
                        Event::End {
                            id,
                            completion: Completion::Answered,
                        },
                    );
                }
            }
            SimEvent::Cancel { host, id } => {
                if let Some(record) = self.requests.remove(&id) {
                    self.notify_relay(&record);
                    self.finished.push(record);
                    self.handle(
                        host,
                        Event::End {
                            id,
                            completion: Completion::Cancelled,
                        },
                    );
                }
            }
            SimEvent::Relayed { host, id } => self.receive_relayed(host, id),
            SimEvent::Returned { host, id } => {
                if let Some(from) = self.requests.get(&id).and_then(|record| record.relayed) {
                    self.hosts[host].1.mark_full(address(from));
                }
                self.offer(host, id);
            }
            SimEvent::Answered { host, from } => self.hosts[host].1.record_answer(address(from)),
            SimEvent::Wakeup { host } => {
                self.wakeups[host] = None;
                self.handle(host, Event::Tick);
            }
            SimEvent::Poll => {
                self.poll();
                self.push(Duration::from_secs(1), SimEvent::Poll);
            }
        }
    }

    /// Notifies the host that relayed a request that the request has ended.
    fn notify_relay(&mut self, record: &RequestRecord) {
        if let Some(from) = record.relayed {
            let host = record.host;
            self.push(self.deployment.delay, SimEvent::Answered { host, from });
        }
    }

    fn poll(&mut self) {
        let loads: Vec<SiblingLoad> = self.hosts.iter().map(|(a, _)| self.load(a)).collect();
        for (_, siblings) in &mut self.hosts {
            for (host, load) in loads.iter().enumerate() {
                siblings.update_load(self.now, address(host), *load);
            }
        }
    }

    fn load(&self, admission: &Admission) -> SiblingLoad {
        SiblingLoad {
            busy: admission.busy() as u16,
            slots: admission.slots(self.now),
            waiting: admission.waiting() as u32,
            serving: true,
        }
    }

    fn arrive(&mut self, host: usize, class: usize, service_time: Duration) {
        self.sequence += 1;
        let id = self.sequence;
        let record = RequestRecord {
            class,
            service_time,
            arrival: self.now - self.start,
            deadline: self.now + self.classes[class].deadline - self.start,
            host,
            started: None,
            refused: None,
            relayed: None,
            end: None,
        };
        self.requests.insert(id, record);
        let (admission, siblings) = &mut self.hosts[host];
        let free = admission.can_start(self.now, class);
        if self.policy.relay
            && !free
            && let Some(to) = siblings.choose(self.now, &[], &mut self.choices)
        {
            let to = usize::from(to.port()) - 1;
            if let Some(record) = self.requests.get_mut(&id) {
                record.relayed = Some(to);
            }
            self.push(self.deployment.delay, SimEvent::Relayed { host: to, id });
        } else {
            self.offer(host, id);
        }
    }

    /// Decides whether a sibling takes a relayed request: only if it can start soon, as in the
    /// agent's relay handler.
    fn receive_relayed(&mut self, host: usize, id: u64) {
        let Some(record) = self.requests.get(&id) else {
            return;
        };
        let admission = &self.hosts[host].0;
        let accepts = admission.can_start(self.now, record.class)
            || admission.waiting() < usize::from(admission.slots(self.now))
            || self.classes[record.class].limits.tier == Tier::Critical;
        if accepts {
            self.offer(host, id);
        } else {
            let host = record.host;
            self.push(self.deployment.delay, SimEvent::Returned { host, id });
        }
    }

    fn offer(&mut self, host: usize, id: u64) {
        let Some(record) = self.requests.get(&id) else {
            return;
        };
        let uses_deadlines =
            self.policy.limits.refuse_early || self.policy.limits.drop_late || self.policy.cancel;
        let deadline = if uses_deadlines {
            record.deadline
        } else {
            NO_DEADLINE
        };
        let event = Event::Arrive {
            id,
            class: record.class,
            deadline: self.start + deadline,
        };
        self.handle(host, event);
    }

    fn handle(&mut self, host: usize, event: Event) {
        let mut out = Vec::new();
        let admission = &mut self.hosts[host].0;
        admission.handle(self.now, event, &mut out);
        let wake = admission.next_wakeup(self.now);
        for action in out {
            match action {
                Action::Start { id } => self.start_request(host, id),
                Action::Refuse { id, .. } => {
                    let refused = Some(self.now - self.start);
                    let record = self.requests.remove(&id);
                    self.finished
                        .extend(record.map(|record| RequestRecord { refused, ..record }));
                }
            }
        }
        let sooner = |wake: &Instant| self.wakeups[host].is_none_or(|known| *wake < known);
        if let Some(wake) = wake.filter(sooner) {
            self.wakeups[host] = Some(wake);
            let after = wake.saturating_duration_since(self.now);
            self.push(
                after.max(Duration::from_nanos(1)),
                SimEvent::Wakeup { host },
            );
        }
    }

    fn start_request(&mut self, host: usize, id: u64) {
        let at = self.now - self.start;
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        record.started = Some(at);
        let left = record.deadline.saturating_sub(at);
        let service_time = record.service_time;
        if self.policy.cancel && service_time > left {
            self.push(left, SimEvent::Cancel { host, id });
        } else {
            self.push(service_time, SimEvent::Finish { host, id });
        }
    }
}
