//! Delivery at a later time, in order of time and then of arrival.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// Items that may wait at a time.
const MAX_WAITING: usize = 65_536;

struct Item<T> {
    at: Instant,
    number: u64,
    value: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Handle to a task that delivers values at their times; the task ends with the last handle.
#[derive(Debug)]
pub struct Schedule<T>(mpsc::Sender<(Instant, T)>);

impl<T> Clone for Schedule<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Send + 'static> Schedule<T> {
    /// Starts the task; `deliver` must not block.
    pub fn start(deliver: impl FnMut(T) + Send + 'static) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        tokio::spawn(run(receiver, deliver));
        Self(sender)
    }

    /// Whether the value was taken; it is refused when too many wait.
    pub fn after(&self, delay: Duration, value: T) -> bool {
        self.0.try_send((Instant::now() + delay, value)).is_ok()
    }
}

async fn run<T>(mut receiver: mpsc::Receiver<(Instant, T)>, mut deliver: impl FnMut(T)) {
    let mut heap: BinaryHeap<Reverse<Item<T>>> = BinaryHeap::new();
    let mut number = 0;
    loop {
        let now = Instant::now();
        while heap.peek().is_some_and(|Reverse(item)| item.at <= now) {
            if let Some(Reverse(item)) = heap.pop() {
                deliver(item.value);
            }
        }
        let next = heap.peek().map(|Reverse(item)| item.at);
        let taken = tokio::select! {
            taken = receiver.recv(), if heap.len() < MAX_WAITING => Some(taken),
            () = sleep_until(next) => None,
        };
        match taken {
            Some(Some((at, value))) => {
                number += 1;
                heap.push(Reverse(Item { at, number, value }));
            }
            Some(None) => break,
            None => {}
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
