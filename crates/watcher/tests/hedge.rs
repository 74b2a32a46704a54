//! Hedged requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use watcher::hedge;

const INTERVAL: Duration = Duration::from_millis(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a delay after a power failure of all data centres: a request to a replica that had
/// no power yet hung for 300 ms, and the next one was sent only after that.
#[tokio::test(start_paused = true)]
async fn starting_replica_is_reached_within_one_interval() {
    for starts in [0, 10, 61, 130, 290, 500] {
        let begin = Instant::now();
        let send = || async move {
            if begin.elapsed() >= ms(starts) {
                return Ok(());
            }
            sleep(ms(300)).await;
            Err(())
        };
        hedge(INTERVAL, 6, send).await;
        let late = begin.elapsed() - ms(starts);
        assert!(late <= INTERVAL + ms(2), "{late:?} after {starts} ms");
    }
}

/// Guards against an unbounded number of open requests to a replica that accepts connections but
/// never replies.
#[tokio::test(start_paused = true)]
async fn open_requests_are_bounded() {
    let (open, max_open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let send = || {
        let (open, max_open) = (Arc::clone(&open), Arc::clone(&max_open));
        async move {
            max_open.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            sleep(ms(600)).await;
            open.fetch_sub(1, Ordering::SeqCst);
            Err::<(), ()>(())
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(20), hedge(INTERVAL, 4, send)).await;
    assert!(result.is_err());
    assert_eq!(max_open.load(Ordering::SeqCst), 4);
}

/// Guards against a flood of requests to a replica that rejects them immediately.
#[tokio::test(start_paused = true)]
async fn failures_do_not_shorten_the_interval() {
    let sent = AtomicUsize::new(0);
    let send = || {
        sent.fetch_add(1, Ordering::SeqCst);
        async { Err::<(), ()>(()) }
    };
    let _ = tokio::time::timeout(Duration::from_secs(6), hedge(INTERVAL, 6, send)).await;
    let count = sent.load(Ordering::SeqCst);
    assert!((90..=101).contains(&count), "{count}");
}
