//! Tracks the admission state of one backend server.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use profile::Tier;

use crate::queue::{Queue, QueuedRequest};
use crate::service_time::ServiceTime;
use crate::slot_limit::SlotLimit;
use crate::{Action, ClassLimits, Completion, Event, Limits, QueueOrder, RefusalReason};

/// Least and most wait that a refused caller is told, in seconds.
const RETRY_AFTER_RANGE_S: (f64, f64) = (0.05, 10.0);

/// Least remaining time of a running request, as a share of the mean service
/// time of its class. Service times have a long tail.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// Time left of a request without a deadline.
const NO_DEADLINE: Duration = Duration::from_secs(86_400);

#[derive(Debug, Clone, Copy)]
struct Running {
    class: usize,
    started: Instant,
    /// Whether its class is long.
    long: bool,
}

/// Slots and queue of one backend server.
#[derive(Debug, Clone)]
pub struct Admission {
    limits: Limits,
    classes: Vec<ClassLimits>,
    /// Service time by class.
    service_times: Vec<ServiceTime>,
    slot_limit: SlotLimit,
    queue: Queue,
    running: HashMap<u64, Running>,
    sequence: u64,
}

impl Admission {
    /// Creates an empty state, whose ramp-up begins at `now`.
    #[must_use]
    pub fn new(now: Instant, limits: Limits, classes: Vec<ClassLimits>) -> Self {
        let mut admission = Self {
            limits: Limits::default(),
            classes: Vec::new(),
            service_times: Vec::new(),
            slot_limit: SlotLimit::new(now),
            queue: Queue::default(),
            running: HashMap::new(),
            sequence: 0,
        };
        admission.configure(limits, classes);
        admission
    }

    /// Changes limits and classes; classes must keep their index.
    pub fn configure(&mut self, limits: Limits, classes: Vec<ClassLimits>) {
        self.limits = limits;
        self.service_times
            .resize_with(classes.len(), ServiceTime::default);
        self.classes = classes;
    }

    /// Restarts the ramp-up after the backend server was unavailable.
    pub fn restart_ramp_up(&mut self, now: Instant) {
        self.slot_limit.restart_ramp_up(now);
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Current number of slots.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u16 {
        self.slot_limit.slots(now, &self.limits)
    }

    /// Whether a request of the class would start at once.
    #[must_use]
    pub fn can_start(&self, now: Instant, class: usize) -> bool {
        let class = self.class(class);
        self.queue.len() == 0 && self.has_slot(now, class.short, self.long_count(now))
    }

    /// Reason why a request of the class would be refused now; `None` if it would be accepted.
    #[must_use]
    pub fn refusal_reason(
        &self,
        now: Instant,
        class: usize,
        deadline: Instant,
    ) -> Option<RefusalReason> {
        if deadline <= now {
            return Some(RefusalReason::Expired);
        }
        if self.limits.refuse_early && self.is_late(now, class, deadline) {
            return Some(RefusalReason::TooLate);
        }
        let full = self.queue.len() >= self.limits.queue
            && !self.can_start(now, class)
            && self.queue.victim(self.tier(class), class).is_none();
        full.then_some(RefusalReason::Full)
    }

    /// Wait after which a retry of a request of the class may succeed.
    #[must_use]
    pub fn retry_after(&self, now: Instant, class: usize) -> Duration {
        let no_deadline = now + NO_DEADLINE;
        let wait = self.expected_wait(now, class, no_deadline);
        let (least, most) = RETRY_AFTER_RANGE_S;
        Duration::from_secs_f64(wait.clamp(least, most))
    }

    /// Time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.queue.len() == 0 {
            return None;
        }
        let increase = self.slot_limit.next_increase(now, &self.limits);
        self.queue.next_expiry().into_iter().chain(increase).min()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive {
                id,
                class,
                deadline,
            } => self.arrive(now, id, class, deadline, out),
            Event::Cancel { id } => {
                self.queue.remove(id);
            }
            Event::End { id, completion } => self.end(now, id, completion),
            Event::Tick => {}
        }
        while let Some(expired) = self.queue.pop_expired(now) {
            out.push(self.refuse(now, expired.id, expired.class, RefusalReason::Expired));
        }
        self.start_waiting(now, out);
    }

    fn class(&self, index: usize) -> ClassLimits {
        self.classes.get(index).copied().unwrap_or_default()
    }

    fn tier(&self, class: usize) -> Tier {
        if self.limits.tiers {
            self.class(class).tier
        } else {
            Tier::Normal
        }
    }

    /// Mean service time of a class in seconds.
    fn mean(&self, class: usize) -> f64 {
        self.service_times.get(class).map_or(0.0, ServiceTime::mean)
    }

    fn arrive(
        &mut self,
        now: Instant,
        id: u64,
        class: usize,
        deadline: Instant,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.refusal_reason(now, class, deadline) {
            out.push(self.refuse(now, id, class, reason));
            return;
        }
        let tier = self.tier(class);
        if self.queue.len() >= self.limits.queue && !self.can_start(now, class) {
            let Some(victim) = self.queue.victim(tier, class) else {
                out.push(self.refuse(now, id, class, RefusalReason::Full));
                return;
            };
            self.queue.remove(victim.id);
            out.push(self.refuse(now, victim.id, victim.class, RefusalReason::Displaced));
        }
        if self.limits.displace_waiting && !self.can_start(now, class) {
            for victim in self.displaced_by(now, class, deadline) {
                self.queue.remove(victim.id);
                out.push(self.refuse(now, victim.id, victim.class, RefusalReason::Displaced));
            }
        }
        self.sequence += 1;
        let request = QueuedRequest {
            id,
            class,
            tier,
            short: self.class(class).short,
            deadline,
            sequence: self.sequence,
        };
        self.queue
            .push(request, self.limits.order != QueueOrder::Fifo);
    }

    /// Waiting requests that an arrival displaces: the first of its class, if
    /// the expected wait of the class exceeds half of the time left, and one
    /// of a lower tier, if its own and higher tiers keep the slots busy.
    fn displaced_by(&self, now: Instant, class: usize, deadline: Instant) -> Vec<QueuedRequest> {
        let tier = self.tier(class);
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        let no_deadline = now + NO_DEADLINE;
        let mut victims = Vec::new();
        // With variable service times, a shorter queue would be displaced too early.
        let deep = self.queue.count_of_class(class) > 2 * self.overload_depth();
        if deep && self.expected_wait(now, class, no_deadline) > left / 2.0 {
            victims.extend(self.queue.first(|request| request.class == class));
        }
        let above = self.queue.iter().filter(|request| request.tier >= tier);
        if above.count() > self.overload_depth() {
            victims.extend(self.queue.first(|request| request.tier < tier));
        }
        victims
    }

    /// Number of waiting requests above which there is an overload.
    fn overload_depth(&self) -> usize {
        4 * usize::from(self.limits.slots.max(1))
    }

    fn end(&mut self, now: Instant, id: u64, completion: Completion) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if completion == Completion::Answered
            && let Some(service_time) = self.service_times.get_mut(running.class)
        {
            service_time.add(now.saturating_duration_since(running.started));
        }
        self.slot_limit.record(now, &self.limits, completion);
    }

    fn start_waiting(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut long = self.long_count(now);
        while let Some(next) = self.next_request(now, long) {
            self.queue.remove(next.id);
            if self.limits.drop_late && self.cannot_finish(now, &next) {
                out.push(self.refuse(now, next.id, next.class, RefusalReason::TooLate));
                continue;
            }
            self.running.insert(
                next.id,
                Running {
                    class: next.class,
                    started: now,
                    long: !next.short,
                },
            );
            long += usize::from(!next.short);
            out.push(Action::Start { id: next.id });
        }
    }

    /// Request that starts next, if a slot is free for it.
    fn next_request(&self, now: Instant, long: usize) -> Option<QueuedRequest> {
        let first = self
            .queue
            .first(|request| self.has_slot(now, request.short, long))?;
        let overloaded = self.limits.order == QueueOrder::Adaptive && self.is_overloaded(&first);
        if overloaded {
            self.queue.newest(first.class)
        } else {
            Some(first)
        }
    }

    /// Whether so many requests of its class wait that the first can hardly meet
    /// its deadline. Serving old requests first would then make each one late.
    fn is_overloaded(&self, first: &QueuedRequest) -> bool {
        self.queue.count_of_class(first.class) > self.overload_depth()
    }

    fn cannot_finish(&self, now: Instant, request: &QueuedRequest) -> bool {
        let left = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        left < self.mean(request.class)
    }

    /// Number of requests in progress that count as long.
    fn long_count(&self, now: Instant) -> usize {
        let counts = |running: &&Running| {
            let age = now.saturating_duration_since(running.started);
            running.long || self.limits.reclassify_long && age >= self.limits.long_after
        };
        self.running.values().filter(counts).count()
    }

    /// Whether a slot is free for a short or a long request, if `long` requests
    /// in progress count as long.
    fn has_slot(&self, now: Instant, short: bool, long: usize) -> bool {
        let slots = self.slots(now);
        let long_slots = slots.saturating_sub(self.limits.reserved).max(1);
        self.running.len() < usize::from(slots) && (short || long < usize::from(long_slots))
    }

    /// Whether a request that arrives now would miss its deadline.
    fn is_late(&self, now: Instant, class: usize, deadline: Instant) -> bool {
        let own = self.mean(class);
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        self.expected_wait(now, class, deadline) + own > left
    }

    /// Expected wait in seconds of a request that arrives now.
    fn expected_wait(&self, now: Instant, class: usize, deadline: Instant) -> f64 {
        let limits = self.class(class);
        if self.can_start(now, class) {
            return 0.0;
        }
        let tier = self.tier(class);
        let slots = usize::from(self.slots(now));
        let long = self.long_count(now);
        // Long requests keep their slots for longer than short ones may wait, so
        // short requests share the other slots. Adding the remaining time of
        // long requests instead refuses short ones that can meet their deadline.
        let usable = if limits.short {
            slots.saturating_sub(long).max(1)
        } else {
            slots
                .saturating_sub(usize::from(self.limits.reserved))
                .max(1)
        };
        let skips_long = limits.short && long < slots;
        let mut work = 0.0;
        for running in self.running.values() {
            let age = now.saturating_duration_since(running.started);
            let is_long =
                running.long || self.limits.reclassify_long && age >= self.limits.long_after;
            let counts = if limits.short {
                !(skips_long && is_long)
            } else {
                running.long
            };
            if counts {
                let mean = self.mean(running.class);
                work += (mean - age.as_secs_f64()).max(MIN_REMAINING_SHARE * mean);
            }
        }
        for waiting in self.queue.iter() {
            let before = waiting.tier > tier
                || waiting.tier == tier
                    && (self.limits.order == QueueOrder::Fifo || waiting.deadline <= deadline);
            if before && waiting.short == limits.short {
                work += self.mean(waiting.class);
            }
        }
        work / usable as f64
    }

    fn refuse(&self, now: Instant, id: u64, class: usize, reason: RefusalReason) -> Action {
        Action::Refuse {
            id,
            reason,
            retry_after: self.retry_after(now, class),
        }
    }
}
