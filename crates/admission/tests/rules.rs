//! Rules of admission, one by one.

use std::time::{Duration, Instant};

use admission::{
    Action, Admission, Budget, ClassLimits, Ended, Event, Health, Limits, Order, Reason, Sibling,
    Siblings, Source, backoff,
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

/// Admission with a clock that the test moves.
struct Bench {
    admission: Admission,
    start: Instant,
    now: Instant,
    ids: u64,
}

impl Bench {
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

    /// Whether the request began at once.
    fn begins(&mut self, class: usize) -> bool {
        let (id, out) = self.arrive(class, 60_000);
        out == [Action::Begin { id }]
    }

    fn end(&mut self, id: u64, ended: Ended) -> Vec<Action> {
        self.handle(Event::End { id, ended })
    }

    /// Teaches the service time of a class.
    fn teach(&mut self, class: usize, time: u64) {
        for _ in 0..40 {
            let (id, _) = self.arrive(class, 3_600_000);
            self.now += ms(time);
            self.end(id, Ended::Answered);
        }
    }
}

fn refused(out: &[Action]) -> Vec<(u64, Reason)> {
    let refused = out.iter().filter_map(|action| match action {
        Action::Refuse { id, reason, .. } => Some((*id, *reason)),
        Action::Begin { .. } => None,
    });
    refused.collect()
}

fn limits() -> Limits {
    Limits {
        slots: 4,
        ..Limits::default()
    }
}

/// Guards against more work than slots, and long work in the reserved slot.
#[test]
fn slots_are_bounded_and_one_is_reserved() {
    let mut bench = Bench::new(limits());
    assert!((0..3).all(|_| bench.begins(LONG)));
    assert!(!bench.begins(LONG));
    assert!(bench.begins(SHORT));
    assert!(!bench.begins(SHORT));
    assert_eq!((bench.admission.busy(), bench.admission.waiting()), (4, 2));
    // The waiting short request passes the long one that came before it.
    assert_eq!(bench.end(5, Ended::Answered), [Action::Begin { id: 6 }]);
    assert_eq!(bench.end(1, Ended::Answered), [Action::Begin { id: 4 }]);
}

/// Guards against short classes whose stragglers let long work fill the slots.
#[test]
fn work_that_runs_long_counts_as_long() {
    let mut bench = Bench::new(limits());
    assert!((0..2).all(|_| bench.begins(SHORT)));
    assert!(bench.begins(LONG));
    bench.now += ms(1_001);
    assert!(!bench.begins(LONG));
    assert!(bench.begins(SHORT));
}

/// Guards against a limit below the reserved slots that starves long classes.
#[test]
fn long_work_always_has_one_slot() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        ..limits()
    });
    assert!(bench.begins(LONG));
    assert!(!bench.begins(SHORT));
}

/// Guards against a queue without bound, and refusal in another order than tiers.
#[test]
fn a_full_queue_gives_up_the_lowest_tier() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        queue: 2,
        ..limits()
    });
    assert!(bench.begins(SHORT));
    let (bulk, _) = bench.arrive(BULK, 60_000);
    let (normal, _) = bench.arrive(SHORT, 60_000);
    let (late, out) = bench.arrive(BULK, 60_000);
    assert_eq!(refused(&out), [(late, Reason::Full)]);
    let (first, out) = bench.arrive(CRITICAL, 60_000);
    assert_eq!(refused(&out), [(bulk, Reason::Displaced)]);
    let (_, out) = bench.arrive(CRITICAL, 60_000);
    assert_eq!(refused(&out), [(normal, Reason::Displaced)]);
    let (more, out) = bench.arrive(CRITICAL, 60_000);
    assert_eq!(refused(&out), [(more, Reason::Full)]);
    assert_eq!(bench.end(1, Ended::Answered), [Action::Begin { id: first }]);
}

/// Guards against one class that fills the queue against another of its tier.
#[test]
fn classes_of_a_tier_share_the_queue() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        queue: 4,
        ..limits()
    });
    assert!(bench.begins(SHORT));
    let flood: Vec<u64> = (0..4).map(|_| bench.arrive(SHORT, 60_000).0).collect();
    let (_, out) = bench.arrive(LONG, 60_000);
    assert_eq!(refused(&out), [(flood[3], Reason::Displaced)]);
    let (_, out) = bench.arrive(LONG, 60_000);
    assert_eq!(refused(&out), [(flood[2], Reason::Displaced)]);
    let (over, out) = bench.arrive(LONG, 60_000);
    assert_eq!(refused(&out), [(over, Reason::Full)]);
}

/// Guards against an order other than tier, then deadline.
#[test]
fn tiers_come_before_deadlines() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        ..limits()
    });
    bench.begins(SHORT);
    let (bulk, _) = bench.arrive(BULK, 1_000);
    let (later, _) = bench.arrive(SHORT, 9_000);
    let (sooner, _) = bench.arrive(SHORT, 5_000);
    let (critical, _) = bench.arrive(CRITICAL, 20_000);
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..4 {
        let out = bench.end(running, Ended::Cancelled);
        let [Action::Begin { id }] = out[..] else {
            panic!("{out:?}");
        };
        order.push(id);
        running = id;
    }
    assert_eq!(order, [critical, sooner, later, bulk]);
}

/// Guards against late refusals, and refusals on a guess before any measurement.
#[test]
fn a_request_that_would_wait_too_long_is_refused_at_arrival() {
    let mut bench = Bench::new(Limits {
        slots: 2,
        ..limits()
    });
    bench.begins(SHORT);
    bench.begins(SHORT);
    let (_, out) = bench.arrive(SHORT, 1);
    assert_eq!(out, []);
    let mut bench = Bench::new(Limits {
        slots: 2,
        ..limits()
    });
    bench.teach(SHORT, 100);
    for _ in 0..6 {
        bench.arrive(SHORT, 60_000);
    }
    // Six times 100 ms on two slots, and its own 100 ms.
    let (_, out) = bench.arrive(SHORT, 500);
    assert_eq!(out, []);
    let deadline = bench.now + ms(100);
    let preview = bench.admission.preview(bench.now, SHORT, deadline);
    assert_eq!(preview, Some(Reason::TooLate));
    let (id, out) = bench.arrive(SHORT, 100);
    assert_eq!(refused(&out), [(id, Reason::TooLate)]);
    let [Action::Refuse { retry_after, .. }] = out[..] else {
        panic!("{out:?}");
    };
    assert!((ms(200)..ms(600)).contains(&retry_after), "{retry_after:?}");
}

/// Guards against work that begins after its deadline or can't meet it, and
/// against a missing wake-up.
#[test]
fn expired_and_hopeless_requests_are_dropped() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        refuse_early: false,
        ..limits()
    });
    bench.teach(SHORT, 100);
    let (running, _) = bench.arrive(SHORT, 60_000);
    let (expires, _) = bench.arrive(SHORT, 50);
    let (hopeless, _) = bench.arrive(SHORT, 150);
    let (left, _) = bench.arrive(SHORT, 60_000);
    assert_eq!(bench.handle(Event::Leave { id: left }), []);
    let wake = bench.admission.next_wake(bench.now);
    assert_eq!(wake, Some(bench.now + ms(50)));
    bench.now += ms(50);
    assert_eq!(
        refused(&bench.handle(Event::Tick)),
        [(expires, Reason::Expired)]
    );
    bench.now += ms(60);
    let out = bench.end(running, Ended::Answered);
    assert_eq!(refused(&out), [(hopeless, Reason::TooLate)]);
    assert_eq!((bench.admission.busy(), bench.admission.waiting()), (0, 0));
    assert_eq!(bench.admission.next_wake(bench.now), None);
}

/// Guards against full load on a cold backend server.
#[test]
fn slots_rise_over_the_warm_up() {
    let mut bench = Bench::new(Limits {
        warmup: ms(3_000),
        ..limits()
    });
    assert!(bench.begins(SHORT));
    assert!(!bench.begins(SHORT));
    let wake = bench.admission.next_wake(bench.now).unwrap();
    assert!(wake <= bench.start + ms(1_001));
    bench.now = wake;
    assert_eq!(bench.handle(Event::Tick), [Action::Begin { id: 2 }]);
    bench.now = bench.start + ms(2_500);
    assert_eq!(bench.admission.slots(bench.now), 3);
    bench.now = bench.start + ms(3_000);
    assert_eq!(bench.admission.slots(bench.now), 4);
    bench.admission.restart(bench.now);
    assert_eq!(bench.admission.slots(bench.now), 1);
}

/// Guards against full load on a backend server that sheds, and against slots
/// that flap with single results.
#[test]
fn slots_follow_a_shedding_server_with_hysteresis() {
    let mut bench = Bench::new(limits());
    let result = |bench: &mut Bench, ended, step| {
        bench.now += ms(step);
        let (id, _) = bench.arrive(SHORT, 60_000);
        bench.end(id, ended);
        bench.admission.slots(bench.now)
    };
    assert_eq!(result(&mut bench, Ended::Shed, 1), 4);
    assert_eq!(result(&mut bench, Ended::Shed, 1), 4);
    assert_eq!(result(&mut bench, Ended::Shed, 1), 3);
    // Held for 500 ms, and cancelled requests tell nothing.
    for _ in 0..9 {
        assert_eq!(result(&mut bench, Ended::Shed, 1), 3);
    }
    assert_eq!(result(&mut bench, Ended::Shed, 500), 2);
    assert_eq!(result(&mut bench, Ended::Cancelled, 500), 2);
    assert_eq!(result(&mut bench, Ended::Answered, 1), 2);
    assert_eq!(result(&mut bench, Ended::Answered, 1), 3);
    assert_eq!(result(&mut bench, Ended::Answered, 1), 3);
    for _ in 0..20 {
        result(&mut bench, Ended::Shed, 500);
    }
    assert_eq!(bench.admission.slots(bench.now), 1);
}

/// Guards against retries above their share, bursts after idle time, and waits
/// that are all alike.
#[test]
fn retries_have_a_budget_and_spread() {
    let mut budget = Budget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.request();
        retries += usize::from(budget.take());
    }
    assert!((100..=101).contains(&retries), "{retries}");
    for _ in 0..10_000 {
        budget.request();
    }
    assert_eq!((0..1_000).filter(|_| budget.take()).count(), 10);
    budget.set_share(0.0);
    budget.request();
    assert!(!budget.take());
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

/// Guards against a health endpoint that hides failing requests, and flapping.
#[test]
fn requests_overrule_probes() {
    let now = Instant::now();
    let mut health = Health::new(2, 3);
    for n in 0..3 {
        assert!(health.is_healthy());
        assert!(!health.observe(now, Source::Probe, true));
        assert_eq!(health.observe(now, Source::Direct, false), n == 2);
    }
    assert!(!health.is_healthy());
    for _ in 0..9 {
        health.observe(now + ms(1_999), Source::Probe, true);
    }
    assert!(!health.is_healthy());
    assert!(!health.observe(now + ms(2_000), Source::Probe, true));
    assert!(health.observe(now + ms(2_001), Source::Probe, true));
    health.observe(now, Source::Direct, false);
    health.observe(now, Source::Direct, false);
    health.observe(now, Source::Direct, true);
    health.observe(now, Source::Direct, false);
    assert!(health.is_healthy());
}

/// Guards against siblings that are full, leaving, silent or tried, and against
/// sending every request to the same one.
#[test]
fn siblings_are_chosen_by_their_own_loads() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let address = |n: u8| format!("10.0.0.{n}:1").parse().expect("valid");
    let members: Vec<_> = (0..6).map(address).collect();
    let mut siblings = Siblings::default();
    siblings.set(&members);
    assert_eq!(siblings.choose(now, &[], &mut rng), None);
    let load = |busy| Sibling {
        busy,
        slots: 4,
        waiting: 0,
        serving: true,
    };
    siblings.observe(now, members[0], load(4));
    siblings.observe(now, members[1], load(2));
    let leaving = Sibling {
        serving: false,
        ..load(0)
    };
    siblings.observe(now, members[2], leaving);
    siblings.observe(now, members[3], load(0));
    siblings.failed(members[3]);
    siblings.observe(now, members[4], load(0));
    siblings.observe(now, address(99), load(0));
    let mut sent = vec![0; 6];
    for _ in 0..100 {
        let Some(chosen) = siblings.choose(now, &[], &mut rng) else {
            break;
        };
        sent[members.iter().position(|m| *m == chosen).unwrap()] += 1;
    }
    assert_eq!(sent, [0, 2, 0, 0, 4, 0]);
    assert!(!siblings.has_free(now));
    // An answer frees the slot again, a refusal takes all until the next report.
    siblings.answered(members[1]);
    assert_eq!(siblings.choose(now, &[], &mut rng), Some(members[1]));
    siblings.answered(members[1]);
    siblings.declined(members[1]);
    assert!(!siblings.has_free(now));
    siblings.observe(now, members[1], load(0));
    assert!(siblings.has_free(now + ms(3_000)) && !siblings.has_free(now + ms(3_001)));
    assert_eq!(siblings.choose(now, &[members[1]], &mut rng), None);
    siblings.set(&members[2..]);
    assert_eq!(siblings.choose(now, &[], &mut rng), None);
}

/// Guards against a baseline that is not first-in-first-out.
#[test]
fn the_baseline_keeps_the_order_of_arrival() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        order: Order::Arrival,
        tiers: false,
        ..limits()
    });
    bench.begins(SHORT);
    let (first, _) = bench.arrive(BULK, 9_000);
    bench.arrive(CRITICAL, 1_000);
    assert_eq!(bench.end(1, Ended::Answered), [Action::Begin { id: first }]);
}

/// Guards against requests without a chance that wait until their deadline
/// before their caller is told.
#[test]
fn an_overload_displaces_what_has_no_chance() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        ..limits()
    });
    bench.teach(SHORT, 100);
    bench.begins(SHORT);
    let (bulk, _) = bench.arrive(BULK, 60_000);
    let (oldest, _) = bench.arrive(SHORT, 2_000);
    for _ in 0..3 {
        assert_eq!(refused(&bench.arrive(SHORT, 2_000).1), []);
    }
    // More than four requests of higher tiers wait: the bulk one gives way.
    bench.arrive(SHORT, 2_000);
    assert_eq!(
        refused(&bench.arrive(SHORT, 2_000).1),
        [(bulk, Reason::Displaced)]
    );
    for _ in 0..3 {
        assert_eq!(refused(&bench.arrive(SHORT, 2_000).1), []);
    }
    // More than eight of the class wait, for more than half of the time left.
    assert_eq!(
        refused(&bench.arrive(SHORT, 1_900).1),
        [(oldest, Reason::Displaced)]
    );
}
