//! Rounds of the soak with fixed seeds; `examples/soak.rs` plays others.

use e2e::soak::{ROUND_MS, play, schedule};
use e2e::turn;
use quickcheck::quickcheck;

/// Guards against promises that hold under each fault alone and break under several at once.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_in_a_round_with_overlapping_faults() {
    let _turn = turn().await;
    let report = play(1).await;
    assert!(report.broken.is_empty(), "{report:#?}");
}

quickcheck! {
    /// Guards against rounds that differ from one run of a seed to the next, and against faults
    /// that never end.
    fn rounds_repeat_and_faults_end(seed: u64) -> bool {
        let steps = schedule(seed);
        let ends = steps.iter().filter(|step| !step.begins).count();
        steps == schedule(seed)
            && ends * 2 == steps.len()
            && steps.iter().all(|step| step.at_ms <= ROUND_MS)
    }
}
