//! Echo flows that check every byte and its order.

use std::time::Duration;

use netstack::{FlowEnd, pipe::Pipe};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use units::Flow;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Caller;

/// Bytes written at a time.
const BLOCK: usize = 64;

/// Longest wait for the last bytes after the end was asked for.
const LAST: Duration = Duration::from_secs(20);

/// What an echo flow saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EchoReport {
    /// Flow.
    pub flow: Flow,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received, all of them right.
    pub received: u64,
    /// Offset of the first wrong byte.
    pub wrong: Option<u64>,
    /// Whether it ended before it was asked to, in whatever way.
    pub early: bool,
    /// How the connection ended; `None` if it did not end in time.
    pub end: Option<FlowEnd>,
}

impl EchoReport {
    /// Whether the flow lived until it was asked to end, with every byte in order.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.end == Some(FlowEnd::Closed)
            && self.wrong.is_none()
            && !self.early
            && self.sent == self.received
            && self.sent > 0
    }
}

/// A running echo flow.
#[derive(Debug)]
pub struct EchoFlow {
    stop: watch::Sender<bool>,
    received: watch::Receiver<u64>,
    task: JoinHandle<EchoReport>,
}

/// Block of the stream of a flow.
fn block(flow: Flow, number: u64) -> [u8; BLOCK] {
    let mut out = [0; BLOCK];
    for (index, chunk) in out.chunks_mut(8).enumerate() {
        let seed = number * (BLOCK as u64 / 8) + index as u64;
        chunk.copy_from_slice(&xxh3_64_with_seed(&flow.to_bytes(), seed).to_be_bytes());
    }
    out
}

impl EchoFlow {
    /// Opens a flow that sends a block every `pace`.
    #[must_use]
    pub fn start(caller: &Caller, service: std::net::SocketAddrV4, pace: Duration) -> Self {
        let stream = caller.connect(service);
        let (stop, stopped) = watch::channel(false);
        let (progress, received) = watch::channel(0);
        let task = tokio::spawn(async move {
            let flow = stream.flow;
            let (input, output) = tokio::io::split(stream.pipe);
            let write = tokio::spawn(write(output, flow, pace, stopped.clone()));
            let read = read(input, flow, progress);
            // The reading side ends with the stream, or some time after the end was asked for.
            let (received, wrong) = read.await;
            let early = !*stopped.borrow();
            write.abort();
            let sent = write.await.unwrap_or(u64::MAX);
            let end = tokio::time::timeout(LAST, stream.end).await;
            EchoReport {
                flow,
                sent,
                received,
                wrong,
                early,
                end: end.ok().and_then(Result::ok),
            }
        });
        Self {
            stop,
            received,
            task,
        }
    }

    /// Waits until the first bytes came back; false if they don't within `limit`.
    pub async fn established(&mut self, limit: Duration) -> bool {
        let first = self.received.wait_for(|received| *received > 0);
        matches!(tokio::time::timeout(limit, first).await, Ok(Ok(_)))
    }

    /// Bytes received so far.
    #[must_use]
    pub fn received(&self) -> u64 {
        *self.received.borrow()
    }

    /// Whether the flow ended by itself.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Closes the sending side, waits for the rest and reports.
    pub async fn finish(mut self) -> Option<EchoReport> {
        self.stop.send_replace(true);
        let report = tokio::time::timeout(LAST, &mut self.task).await;
        if report.is_err() {
            self.task.abort();
        }
        report.ok()?.ok()
    }
}

async fn write(
    mut output: WriteHalf<Pipe>,
    flow: Flow,
    pace: Duration,
    mut stop: watch::Receiver<bool>,
) -> u64 {
    let mut number = 0;
    loop {
        if output.write_all(&block(flow, number)).await.is_err() {
            break;
        }
        number += 1;
        let stopped = tokio::time::timeout(pace, stop.wait_for(|stop| *stop)).await;
        if stopped.is_ok() {
            break;
        }
    }
    let _ = output.shutdown().await;
    number * BLOCK as u64
}

/// Returns the number of right bytes and the offset of the first wrong one.
async fn read(
    mut input: ReadHalf<Pipe>,
    flow: Flow,
    progress: watch::Sender<u64>,
) -> (u64, Option<u64>) {
    let mut buf = [0; BLOCK * 16];
    let mut offset = 0_u64;
    while let Ok(size) = input.read(&mut buf).await {
        if size == 0 {
            break;
        }
        let mut expected = [0; BLOCK];
        for (index, byte) in buf[..size].iter().enumerate() {
            let at = offset + index as u64;
            let within = (at % BLOCK as u64) as usize;
            if within == 0 || index == 0 {
                expected = block(flow, at / BLOCK as u64);
            }
            if *byte != expected[within] {
                return (at, Some(at));
            }
        }
        offset += size as u64;
        progress.send_replace(offset);
    }
    (offset, None)
}
