//! The admission state of one backend server.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use profile::Tier;

use crate::estimate::Estimate;
use crate::limit::Limit;
use crate::queue::{Queue, Waiting};
use crate::{Action, ClassLimits, Ended, Event, Limits, Order, Reason};

/// Bounds of `Retry-After`.
const RETRY_AFTER: (f64, f64) = (0.05, 10.0);

/// Share of its mean that a request is expected to run on after it passed it.
const TAIL: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct Running {
    class: usize,
    begun: Instant,
    long: bool,
}

/// Slots and queue of one backend server.
#[derive(Debug, Clone)]
pub struct Admission {
    limits: Limits,
    classes: Vec<ClassLimits>,
    estimates: Vec<Estimate>,
    limit: Limit,
    queue: Queue,
    running: HashMap<u64, Running>,
    sequence: u64,
}

impl Admission {
    /// Empty state; the slow start begins now.
    #[must_use]
    pub fn new(now: Instant, limits: Limits, classes: Vec<ClassLimits>) -> Self {
        let mut admission = Self {
            limits: Limits::default(),
            classes: Vec::new(),
            estimates: Vec::new(),
            limit: Limit::new(now),
            queue: Queue::default(),
            running: HashMap::new(),
            sequence: 0,
        };
        admission.configure(limits, classes);
        admission
    }

    /// Changes limits and classes; the index of a class must stay the same.
    pub fn configure(&mut self, limits: Limits, classes: Vec<ClassLimits>) {
        self.limits = limits;
        self.estimates.resize_with(classes.len(), Estimate::default);
        self.classes = classes;
    }

    /// Begins the slow start again, after the backend server was away.
    pub fn restart(&mut self, now: Instant) {
        self.limit.restart(now);
    }

    /// Requests in progress.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Slots in force.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u16 {
        self.limit.slots(now, &self.limits)
    }

    /// Whether a request of the class would begin at once.
    #[must_use]
    pub fn is_free(&self, now: Instant, class: usize) -> bool {
        let class = self.class(class);
        self.queue.len() == 0 && self.may_begin(now, class.short, self.long(now))
    }

    /// Why a request of the class would be refused now, without adding it.
    #[must_use]
    pub fn preview(&self, now: Instant, class: usize, deadline: Instant) -> Option<Reason> {
        if deadline <= now {
            return Some(Reason::Expired);
        }
        if self.limits.refuse_early && self.is_late(now, class, deadline) {
            return Some(Reason::TooLate);
        }
        let full = self.queue.len() >= self.limits.queue
            && !self.is_free(now, class)
            && self.queue.victim(self.tier(class), class).is_none();
        full.then_some(Reason::Full)
    }

    /// Time after which a new attempt of the class has a chance.
    #[must_use]
    pub fn retry_after(&self, now: Instant, class: usize) -> Duration {
        let far = now + Duration::from_secs(86_400);
        let wait = self.expected_wait(now, class, far);
        let (least, most) = RETRY_AFTER;
        Duration::from_secs_f64(wait.clamp(least, most))
    }

    /// Time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        if self.queue.len() == 0 {
            return None;
        }
        let rise = self.limit.next_rise(now, &self.limits);
        self.queue.next_expiry().into_iter().chain(rise).min()
    }

    /// Takes an event and appends what to do.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive {
                id,
                class,
                deadline,
            } => self.arrive(now, id, class, deadline, out),
            Event::Leave { id } => {
                self.queue.remove(id);
            }
            Event::End { id, ended } => self.end(now, id, ended),
            Event::Tick => {}
        }
        while let Some(expired) = self.queue.pop_expired(now) {
            out.push(self.refuse(now, expired.id, expired.class, Reason::Expired));
        }
        self.begin(now, out);
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

    fn mean(&self, class: usize) -> f64 {
        self.estimates.get(class).map_or(0.0, Estimate::mean)
    }

    fn arrive(
        &mut self,
        now: Instant,
        id: u64,
        class: usize,
        deadline: Instant,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.preview(now, class, deadline) {
            out.push(self.refuse(now, id, class, reason));
            return;
        }
        let tier = self.tier(class);
        if self.queue.len() >= self.limits.queue && !self.is_free(now, class) {
            let Some(victim) = self.queue.victim(tier, class) else {
                out.push(self.refuse(now, id, class, Reason::Full));
                return;
            };
            self.queue.remove(victim.id);
            out.push(self.refuse(now, victim.id, victim.class, Reason::Displaced));
        }
        if self.limits.shed_waiting && !self.is_free(now, class) {
            for victim in self.hopeless(now, class, deadline) {
                self.queue.remove(victim.id);
                out.push(self.refuse(now, victim.id, victim.class, Reason::Displaced));
            }
        }
        self.sequence += 1;
        let request = Waiting {
            id,
            class,
            tier,
            short: self.class(class).short,
            deadline,
            sequence: self.sequence,
        };
        self.queue
            .push(request, self.limits.order != Order::Arrival);
    }

    /// Waiting requests that an arrival leaves without a chance: the oldest of
    /// its class when newer ones fill half of its time, and one of a lower
    /// tier when its own tier and those above keep the slots busy.
    fn hopeless(&self, now: Instant, class: usize, deadline: Instant) -> Vec<Waiting> {
        let tier = self.tier(class);
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        let far = now + Duration::from_secs(86_400);
        let mut victims = Vec::new();
        // A short queue of work that varies much would be given up too early.
        let deep = self.queue.of_class(class) > 2 * self.depth();
        if deep && self.expected_wait(now, class, far) > left / 2.0 {
            victims.extend(self.queue.first(|request| request.class == class));
        }
        let above = self.queue.iter().filter(|request| request.tier >= tier);
        if above.count() > self.depth() {
            victims.extend(self.queue.first(|request| request.tier < tier));
        }
        victims
    }

    /// Waiting requests that show an overload.
    fn depth(&self) -> usize {
        4 * usize::from(self.limits.slots.max(1))
    }

    fn end(&mut self, now: Instant, id: u64, ended: Ended) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if ended == Ended::Answered
            && let Some(estimate) = self.estimates.get_mut(running.class)
        {
            estimate.add(now.saturating_duration_since(running.begun));
        }
        self.limit.ended(now, &self.limits, ended);
    }

    fn begin(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut long = self.long(now);
        while let Some(next) = self.next(now, long) {
            self.queue.remove(next.id);
            if self.limits.drop_late && self.cannot_finish(now, &next) {
                out.push(self.refuse(now, next.id, next.class, Reason::TooLate));
                continue;
            }
            self.running.insert(
                next.id,
                Running {
                    class: next.class,
                    begun: now,
                    long: !next.short,
                },
            );
            long += usize::from(!next.short);
            out.push(Action::Begin { id: next.id });
        }
    }

    /// Request that begins next, if a slot is free for it.
    fn next(&self, now: Instant, long: usize) -> Option<Waiting> {
        let first = self
            .queue
            .first(|request| self.may_begin(now, request.short, long))?;
        let overloaded = self.limits.order == Order::Adaptive && self.is_overloaded(&first);
        if overloaded {
            self.queue.newest(first.class)
        } else {
            Some(first)
        }
    }

    /// Whether the first of a class waited so long that it can hardly finish:
    /// serving old requests first would then make each one late.
    fn is_overloaded(&self, first: &Waiting) -> bool {
        self.queue.of_class(first.class) > self.depth()
    }

    fn cannot_finish(&self, now: Instant, request: &Waiting) -> bool {
        let left = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        left < self.mean(request.class)
    }

    /// Requests in progress that count as long.
    fn long(&self, now: Instant) -> usize {
        let counts = |running: &&Running| {
            let age = now.saturating_duration_since(running.begun);
            running.long || self.limits.contain && age >= self.limits.long_after
        };
        self.running.values().filter(counts).count()
    }

    fn may_begin(&self, now: Instant, short: bool, long: usize) -> bool {
        let slots = self.slots(now);
        let for_long = slots.saturating_sub(self.limits.reserved).max(1);
        self.running.len() < usize::from(slots) && (short || long < usize::from(for_long))
    }

    /// Whether a request that arrives now would wait past its time left.
    fn is_late(&self, now: Instant, class: usize, deadline: Instant) -> bool {
        let own = self.mean(class);
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        self.expected_wait(now, class, deadline) + own > left
    }

    /// Seconds until a request that arrives now would begin.
    fn expected_wait(&self, now: Instant, class: usize, deadline: Instant) -> f64 {
        let limits = self.class(class);
        if self.is_free(now, class) {
            return 0.0;
        }
        let tier = self.tier(class);
        let slots = usize::from(self.slots(now));
        let long = self.long(now);
        // Long work keeps its slot for longer than short work may wait, so
        // short work shares the other slots. Counting the rest of the long
        // work instead refused short work that had time enough.
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
            let age = now.saturating_duration_since(running.begun);
            let is_long = running.long || self.limits.contain && age >= self.limits.long_after;
            let counts = if limits.short {
                !(skips_long && is_long)
            } else {
                running.long
            };
            if counts {
                let mean = self.mean(running.class);
                work += (mean - age.as_secs_f64()).max(TAIL * mean);
            }
        }
        for waiting in self.queue.iter() {
            let before = waiting.tier > tier
                || waiting.tier == tier
                    && (self.limits.order == Order::Arrival || waiting.deadline <= deadline);
            if before && waiting.short == limits.short {
                work += self.mean(waiting.class);
            }
        }
        work / usable as f64
    }

    fn refuse(&self, now: Instant, id: u64, class: usize, reason: Reason) -> Action {
        Action::Refuse {
            id,
            reason,
            retry_after: self.retry_after(now, class),
        }
    }
}
