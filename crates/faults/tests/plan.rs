//! Decisions by seed.

use std::time::Duration;

use faults::{Fate, Plan, Roll, Way};
use quickcheck::quickcheck;

fn lossy() -> Plan {
    Plan {
        loss: 0.2,
        duplicate: 0.1,
        reorder: 0.1,
        delay_ms: 3,
        jitter_ms: 4,
        ..Plan::default()
    }
}

quickcheck! {
    /// Guards against decisions that depend on anything but the seed: a failing run could not be repeated.
    fn same_seed_same_fates(seed: u64) -> bool {
        let fates = |seed| {
            let mut roll = Roll::new(seed);
            (0..64).map(|_| roll.datagram(&lossy(), Way::Forth)).collect::<Vec<_>>()
        };
        fates(seed) == fates(seed)
    }

    /// Guards against delays outside the declared range.
    fn delays_stay_in_range(seed: u64) -> bool {
        let mut roll = Roll::new(seed);
        (0..64).all(|_| match roll.datagram(&lossy(), Way::Back) {
            Fate::Deliver { delay, reordered, .. } => {
                let most = if reordered { 17 } else { 7 };
                delay >= Duration::from_millis(3) && delay <= Duration::from_millis(most)
            }
            Fate::Lost => true,
            Fate::Cut => false,
        })
    }
}

/// Guards against shares that are off: tests would claim faults that hardly happen.
#[test]
fn shares_are_met() {
    let mut roll = Roll::new(7);
    let (mut lost, mut twice) = (0, 0);
    for _ in 0..10_000 {
        match roll.datagram(&lossy(), Way::Forth) {
            Fate::Lost => lost += 1,
            Fate::Deliver { copy, .. } => twice += u32::from(copy.is_some()),
            Fate::Cut => panic!("nothing is cut"),
        }
    }
    assert!(
        (1_800..2_200).contains(&lost),
        "lost {lost} of 10000 at 20%"
    );
    assert!(
        (700..900).contains(&twice),
        "copied {twice} of 10000 at 10% of the rest"
    );
}

/// Guards against a cut in the wrong direction.
#[test]
fn cut_is_one_way() {
    let plan = Plan {
        cut: (true, false),
        ..Plan::default()
    };
    let mut roll = Roll::new(1);
    assert_eq!(roll.datagram(&plan, Way::Forth), Fate::Cut);
    assert!(matches!(
        roll.datagram(&plan, Way::Back),
        Fate::Deliver { .. }
    ));
}

/// Guards against values out of range that would act as another fault than the one declared.
#[test]
fn ranges_are_checked() {
    let just_above = [
        Plan {
            loss: 1.001,
            ..Plan::default()
        },
        Plan {
            duplicate: -0.001,
            ..Plan::default()
        },
        Plan {
            reorder: f64::NAN,
            ..Plan::default()
        },
        Plan {
            delay_ms: 60_001,
            ..Plan::default()
        },
        Plan {
            jitter_ms: 60_001,
            ..Plan::default()
        },
    ];
    for plan in just_above {
        assert!(plan.check().is_err(), "{plan:?}");
    }
    assert!(lossy().check().is_ok());
}
