//! Tests the admission rules.

use std::time::{Duration, Instant};

use admission::{
    Action, Admission, ClassLimits, Completion, Event, Health, HealthSource, Limits, QueueOrder,
    RefusalReason, RetryBudget, SiblingLoad, Siblings, backoff,
};
use profile::Tier;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SHORT: usize = 0;
const LONG: usize = 1;
const BULK: usize = 2;
const CRITICAL: usize = 3;

fn classes() -> Vec<ClassLimits> {
    let class = |tier, short| ClassLimits { tier, short };
    vec![
        class(Tier::Normal, true),
        class(Tier::Normal, false),
        class(Tier::Bulk, false),
        class(Tier::Critical, true),
    ]
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Admission state with a clock that the test advances.
struct Fixture {
    admission: Admission,
    start: Instant,
    now: Instant,
    ids: u64,
}

impl Fixture {
    fn new(limits: Limits) -> Self {
        let now = Instant::now();
        Self {
            admission: Admission::new(now, limits, classes()),
            start: now,
            now,
            ids: 0,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.admission.handle(self.now, event, &mut out);
        out
    }

    fn arrive(&mut self, class: usize, left: u64) -> (u64, Vec<Action>) {
        self.ids += 1;
        let (id, deadline) = (self.ids, self.now + ms(left));
        let event = Event::Arrive {
            id,
            class,
            deadline,
        };
        (id, self.handle(event))
    }

    /// Whether a new request of the class starts at once.
    fn starts_at_once(&mut self, class: usize) -> bool {
        let (id, out) = self.arrive(class, 60_000);
        out == [Action::Start { id }]
    }

    fn end(&mut self, id: u64, completion: Completion) -> Vec<Action> {
        self.handle(Event::End { id, completion })
    }

    /// Runs requests of a class until its measured service time is `time` ms.
    fn train(&mut self, class: usize, time: u64) {
        for _ in 0..40 {
            let (id, _) = self.arrive(class, 3_600_000);
            self.now += ms(time);
            self.end(id, Completion::Answered);
        }
    }
}

fn refused(out: &[Action]) -> Vec<(u64, RefusalReason)> {
    let refused = out.iter().filter_map(|action| match action {
        Action::Refuse { id, reason, .. } => Some((*id, *reason)),
        Action::Start { .. } => None,
    });
    refused.collect()
}

fn limits() -> Limits {
    Limits {
        slots: 4,
        ..Limits::default()
    }
}

/// Guards against more requests in progress than slots, and long requests in the reserved slot.
#[test]
fn slots_are_bounded_and_one_is_reserved() {
    let mut fixture = Fixture::new(limits());
    assert!((0..3).all(|_| fixture.starts_at_once(LONG)));
    assert!(!fixture.starts_at_once(LONG));
    assert!(fixture.starts_at_once(SHORT));
    assert!(!fixture.starts_at_once(SHORT));
    assert_eq!(
        (fixture.admission.busy(), fixture.admission.waiting()),
        (4, 2)
    );
    // The waiting short request overtakes the long one that arrived before it.
    assert_eq!(
        fixture.end(5, Completion::Answered),
        [Action::Start { id: 6 }]
    );
    assert_eq!(
        fixture.end(1, Completion::Answered),
        [Action::Start { id: 4 }]
    );
}

/// Guards against stragglers of short classes that fill all slots together with long requests.
#[test]
fn short_request_that_runs_long_counts_as_long() {
    let mut fixture = Fixture::new(limits());
    assert!((0..2).all(|_| fixture.starts_at_once(SHORT)));
    assert!(fixture.starts_at_once(LONG));
    fixture.now += ms(1_001);
    assert!(!fixture.starts_at_once(LONG));
    assert!(fixture.starts_at_once(SHORT));
}

/// Guards against starvation of long classes if the slots don't exceed the reserved ones.
#[test]
fn long_requests_always_have_one_slot() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        ..limits()
    });
    assert!(fixture.starts_at_once(LONG));
    assert!(!fixture.starts_at_once(SHORT));
}

/// Guards against an unbounded queue, and evictions in another order than tiers.
#[test]
fn full_queue_evicts_the_lowest_tier() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        queue: 2,
        ..limits()
    });
    assert!(fixture.starts_at_once(SHORT));
    let (bulk, _) = fixture.arrive(BULK, 60_000);
    let (normal, _) = fixture.arrive(SHORT, 60_000);
    let (late, out) = fixture.arrive(BULK, 60_000);
    assert_eq!(refused(&out), [(late, RefusalReason::Full)]);
    let (first, out) = fixture.arrive(CRITICAL, 60_000);
    assert_eq!(refused(&out), [(bulk, RefusalReason::Displaced)]);
    let (_, out) = fixture.arrive(CRITICAL, 60_000);
    assert_eq!(refused(&out), [(normal, RefusalReason::Displaced)]);
    let (more, out) = fixture.arrive(CRITICAL, 60_000);
    assert_eq!(refused(&out), [(more, RefusalReason::Full)]);
    assert_eq!(
        fixture.end(1, Completion::Answered),
        [Action::Start { id: first }]
    );
}

/// Guards against one class that crowds another of its tier out of the queue.
#[test]
fn classes_of_a_tier_share_the_queue() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        queue: 4,
        ..limits()
    });
    assert!(fixture.starts_at_once(SHORT));
    let flood: Vec<u64> = (0..4).map(|_| fixture.arrive(SHORT, 60_000).0).collect();
    let (_, out) = fixture.arrive(LONG, 60_000);
    assert_eq!(refused(&out), [(flood[3], RefusalReason::Displaced)]);
    let (_, out) = fixture.arrive(LONG, 60_000);
    assert_eq!(refused(&out), [(flood[2], RefusalReason::Displaced)]);
    let (over, out) = fixture.arrive(LONG, 60_000);
    assert_eq!(refused(&out), [(over, RefusalReason::Full)]);
}

/// Guards against a queue order other than by tier, then by deadline.
#[test]
fn tiers_come_before_deadlines() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        ..limits()
    });
    fixture.starts_at_once(SHORT);
    let (bulk, _) = fixture.arrive(BULK, 1_000);
    let (later, _) = fixture.arrive(SHORT, 9_000);
    let (sooner, _) = fixture.arrive(SHORT, 5_000);
    let (critical, _) = fixture.arrive(CRITICAL, 20_000);
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..4 {
        let out = fixture.end(running, Completion::Cancelled);
        let [Action::Start { id }] = out[..] else {
            panic!("{out:?}");
        };
        order.push(id);
        running = id;
    }
    assert_eq!(order, [critical, sooner, later, bulk]);
}

/// Guards against late refusals, and refusals before any service time was measured.
#[test]
fn request_that_would_wait_too_long_is_refused_on_arrival() {
    let mut fixture = Fixture::new(Limits {
        slots: 2,
        ..limits()
    });
    fixture.starts_at_once(SHORT);
    fixture.starts_at_once(SHORT);
    let (_, out) = fixture.arrive(SHORT, 1);
    assert_eq!(out, []);
    let mut fixture = Fixture::new(Limits {
        slots: 2,
        ..limits()
    });
    fixture.train(SHORT, 100);
    for _ in 0..6 {
        fixture.arrive(SHORT, 60_000);
    }
    // Six earlier requests of 100 ms on two slots take 300 ms, and the request itself 100 ms: it
    // ends after 400 ms, before its deadline.
    let (_, out) = fixture.arrive(SHORT, 500);
    assert_eq!(out, []);
    let deadline = fixture.now + ms(100);
    let reason = fixture
        .admission
        .refusal_reason(fixture.now, SHORT, deadline);
    assert_eq!(reason, Some(RefusalReason::TooLate));
    let (id, out) = fixture.arrive(SHORT, 100);
    assert_eq!(refused(&out), [(id, RefusalReason::TooLate)]);
    let [Action::Refuse { retry_after, .. }] = out[..] else {
        panic!("{out:?}");
    };
    assert!((ms(200)..ms(600)).contains(&retry_after), "{retry_after:?}");
}

/// Guards against starting requests that are past their deadline or can't meet it,
/// and against a missing wake-up.
#[test]
fn expired_and_late_requests_are_dropped() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        refuse_early: false,
        ..limits()
    });
    fixture.train(SHORT, 100);
    let (running, _) = fixture.arrive(SHORT, 60_000);
    let (expires, _) = fixture.arrive(SHORT, 50);
    let (late, _) = fixture.arrive(SHORT, 150);
    let (left, _) = fixture.arrive(SHORT, 60_000);
    assert_eq!(fixture.handle(Event::Cancel { id: left }), []);
    let wake = fixture.admission.next_wakeup(fixture.now);
    assert_eq!(wake, Some(fixture.now + ms(50)));
    fixture.now += ms(50);
    assert_eq!(
        refused(&fixture.handle(Event::Tick)),
        [(expires, RefusalReason::Expired)]
    );
    fixture.now += ms(60);
    let out = fixture.end(running, Completion::Answered);
    assert_eq!(refused(&out), [(late, RefusalReason::TooLate)]);
    assert_eq!(
        (fixture.admission.busy(), fixture.admission.waiting()),
        (0, 0)
    );
    assert_eq!(fixture.admission.next_wakeup(fixture.now), None);
}

/// Guards against full load on a backend server that has just started.
#[test]
fn slots_increase_during_ramp_up() {
    let mut fixture = Fixture::new(Limits {
        warmup: ms(3_000),
        ..limits()
    });
    assert!(fixture.starts_at_once(SHORT));
    assert!(!fixture.starts_at_once(SHORT));
    let wake = fixture.admission.next_wakeup(fixture.now).unwrap();
    assert!(wake <= fixture.start + ms(1_001));
    fixture.now = wake;
    assert_eq!(fixture.handle(Event::Tick), [Action::Start { id: 2 }]);
    fixture.now = fixture.start + ms(2_500);
    assert_eq!(fixture.admission.slots(fixture.now), 3);
    fixture.now = fixture.start + ms(3_000);
    assert_eq!(fixture.admission.slots(fixture.now), 4);
    fixture.admission.restart_ramp_up(fixture.now);
    assert_eq!(fixture.admission.slots(fixture.now), 1);
}

/// Guards against full load on a backend server that sheds load, and against
/// changing the slots on single results.
#[test]
fn slots_follow_a_shedding_server_with_hysteresis() {
    let mut fixture = Fixture::new(limits());
    let result = |fixture: &mut Fixture, completion, step| {
        fixture.now += ms(step);
        let (id, _) = fixture.arrive(SHORT, 60_000);
        fixture.end(id, completion);
        fixture.admission.slots(fixture.now)
    };
    assert_eq!(result(&mut fixture, Completion::Shed, 1), 4);
    assert_eq!(result(&mut fixture, Completion::Shed, 1), 4);
    assert_eq!(result(&mut fixture, Completion::Shed, 1), 3);
    // No change for 500 ms after the last one; cancelled requests don't count.
    for _ in 0..9 {
        assert_eq!(result(&mut fixture, Completion::Shed, 1), 3);
    }
    assert_eq!(result(&mut fixture, Completion::Shed, 500), 2);
    assert_eq!(result(&mut fixture, Completion::Cancelled, 500), 2);
    assert_eq!(result(&mut fixture, Completion::Answered, 1), 2);
    assert_eq!(result(&mut fixture, Completion::Answered, 1), 3);
    assert_eq!(result(&mut fixture, Completion::Answered, 1), 3);
    for _ in 0..20 {
        result(&mut fixture, Completion::Shed, 500);
    }
    assert_eq!(fixture.admission.slots(fixture.now), 1);
}

/// Guards against retries above their share, large bursts after idle time, and
/// retries without jitter.
#[test]
fn retries_have_a_budget_and_jitter() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += usize::from(budget.try_withdraw());
    }
    assert!((100..=101).contains(&retries), "{retries}");
    for _ in 0..10_000 {
        budget.deposit();
    }
    assert_eq!((0..1_000).filter(|_| budget.try_withdraw()).count(), 10);
    budget.set_share(0.0);
    budget.deposit();
    assert!(!budget.try_withdraw());
    let mut rng = SmallRng::seed_from_u64(1);
    for retry in 0..3 {
        let waits: Vec<_> = (0..1_000)
            .map(|_| backoff(ms(20), retry, &mut rng))
            .collect();
        let mean = waits.iter().sum::<Duration>() / 1_000;
        let expected = ms(20) * 2_u32.pow(retry);
        assert!(mean > expected.mul_f64(0.9) && mean < expected.mul_f64(1.1));
        assert!(waits.iter().all(|wait| *wait <= expected * 2));
    }
    assert!(backoff(ms(20), 40, &mut rng) <= ms(1_000));
}

/// Guards against a health endpoint that hides failing requests, and against flapping.
#[test]
fn requests_take_precedence_over_probes() {
    let now = Instant::now();
    let mut health = Health::new(2, 3);
    for n in 0..3 {
        assert!(health.is_healthy());
        assert!(!health.record(now, HealthSource::Probe, true));
        assert_eq!(health.record(now, HealthSource::Request, false), n == 2);
    }
    assert!(!health.is_healthy());
    for _ in 0..9 {
        health.record(now + ms(1_999), HealthSource::Probe, true);
    }
    assert!(!health.is_healthy());
    assert!(!health.record(now + ms(2_000), HealthSource::Probe, true));
    assert!(health.record(now + ms(2_001), HealthSource::Probe, true));
    health.record(now, HealthSource::Request, false);
    health.record(now, HealthSource::Request, false);
    health.record(now, HealthSource::Request, true);
    health.record(now, HealthSource::Request, false);
    assert!(health.is_healthy());
}

/// Guards against choosing siblings that are full, draining, silent or already tried,
/// and against sending every request to the same one.
#[test]
fn siblings_are_chosen_by_their_reported_loads() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let address = |n: u8| format!("10.0.0.{n}:1").parse().expect("valid");
    let members: Vec<_> = (0..6).map(address).collect();
    let mut siblings = Siblings::default();
    siblings.set_members(&members);
    assert_eq!(siblings.choose(now, &[], &mut rng), None);
    let load = |busy| SiblingLoad {
        busy,
        slots: 4,
        waiting: 0,
        serving: true,
    };
    siblings.update_load(now, members[0], load(4));
    siblings.update_load(now, members[1], load(2));
    let draining = SiblingLoad {
        serving: false,
        ..load(0)
    };
    siblings.update_load(now, members[2], draining);
    siblings.update_load(now, members[3], load(0));
    siblings.mark_unreachable(members[3]);
    siblings.update_load(now, members[4], load(0));
    siblings.update_load(now, address(99), load(0));
    let mut sent = vec![0; 6];
    for _ in 0..100 {
        let Some(chosen) = siblings.choose(now, &[], &mut rng) else {
            break;
        };
        sent[members.iter().position(|m| *m == chosen).unwrap()] += 1;
    }
    assert_eq!(sent, [0, 2, 0, 0, 4, 0]);
    assert!(!siblings.has_free(now));
    // An answer frees a slot; after a refusal, the sibling counts as full until its next report.
    siblings.record_answer(members[1]);
    assert_eq!(siblings.choose(now, &[], &mut rng), Some(members[1]));
    siblings.record_answer(members[1]);
    siblings.mark_full(members[1]);
    assert!(!siblings.has_free(now));
    siblings.update_load(now, members[1], load(0));
    assert!(siblings.has_free(now + ms(3_000)) && !siblings.has_free(now + ms(3_001)));
    assert_eq!(siblings.choose(now, &[members[1]], &mut rng), None);
    siblings.set_members(&members[2..]);
    assert_eq!(siblings.choose(now, &[], &mut rng), None);
}

/// Guards against a baseline that is not first in, first out.
#[test]
fn baseline_is_first_in_first_out() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        order: QueueOrder::Fifo,
        tiers: false,
        ..limits()
    });
    fixture.starts_at_once(SHORT);
    let (first, _) = fixture.arrive(BULK, 9_000);
    fixture.arrive(CRITICAL, 1_000);
    assert_eq!(
        fixture.end(1, Completion::Answered),
        [Action::Start { id: first }]
    );
}

/// Guards against refusing requests only at their deadline that could no longer meet it
/// long before.
#[test]
fn overload_displaces_requests_that_would_miss_their_deadline() {
    let mut fixture = Fixture::new(Limits {
        slots: 1,
        ..limits()
    });
    fixture.train(SHORT, 100);
    fixture.starts_at_once(SHORT);
    let (bulk, _) = fixture.arrive(BULK, 60_000);
    let (oldest, _) = fixture.arrive(SHORT, 2_000);
    for _ in 0..3 {
        assert_eq!(refused(&fixture.arrive(SHORT, 2_000).1), []);
    }
    // More than four requests of higher tiers wait, so the bulk one is displaced.
    fixture.arrive(SHORT, 2_000);
    assert_eq!(
        refused(&fixture.arrive(SHORT, 2_000).1),
        [(bulk, RefusalReason::Displaced)]
    );
    for _ in 0..3 {
        assert_eq!(refused(&fixture.arrive(SHORT, 2_000).1), []);
    }
    // More than eight requests of the class wait, and the expected wait exceeds half of the time
    // left, so the oldest is displaced.
    assert_eq!(
        refused(&fixture.arrive(SHORT, 1_900).1),
        [(oldest, RefusalReason::Displaced)]
    );
}
