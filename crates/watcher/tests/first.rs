//! Questions that are repeated while earlier ones are open.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use watcher::hedge;

const GAP: Duration = Duration::from_millis(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against time lost after a loss of power everywhere: a question to a replica that was still
/// dark hung for 300 ms, and only then the next one found it running.
#[tokio::test(start_paused = true)]
async fn a_replica_that_starts_is_found_within_a_gap() {
    for starts in [0, 10, 61, 130, 290, 500] {
        let begin = Instant::now();
        let ask = || async move {
            if begin.elapsed() >= ms(starts) {
                return Ok(());
            }
            sleep(ms(300)).await;
            Err(())
        };
        hedge(GAP, 6, ask).await;
        let late = begin.elapsed() - ms(starts);
        assert!(late <= GAP + ms(2), "{late:?} after {starts} ms");
    }
}

/// Guards against questions without bound to a replica that takes them and never answers.
#[tokio::test(start_paused = true)]
async fn open_questions_are_bounded() {
    let (open, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let ask = || {
        let (open, most) = (Arc::clone(&open), Arc::clone(&most));
        async move {
            most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            sleep(ms(600)).await;
            open.fetch_sub(1, Ordering::SeqCst);
            Err::<(), ()>(())
        }
    };
    let asked = tokio::time::timeout(Duration::from_secs(20), hedge(GAP, 4, ask)).await;
    assert!(asked.is_err());
    assert_eq!(most.load(Ordering::SeqCst), 4);
}

/// Guards against a flood of questions to a replica that refuses them at once.
#[tokio::test(start_paused = true)]
async fn refusals_do_not_shorten_the_gap() {
    let asked = AtomicUsize::new(0);
    let ask = || {
        asked.fetch_add(1, Ordering::SeqCst);
        async { Err::<(), ()>(()) }
    };
    let _ = tokio::time::timeout(Duration::from_secs(6), hedge(GAP, 6, ask)).await;
    let count = asked.load(Ordering::SeqCst);
    assert!((90..=101).contains(&count), "{count}");
}
