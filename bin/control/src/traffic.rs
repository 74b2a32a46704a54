//! Reports what the replica sends, by kind.

use std::sync::Arc;
use std::time::Duration;

use api::path;
use cadence::Counted;
use rpc::{Client, Traffic};
use slog::{Logger, warn};
use tokio::time::interval;

use crate::node::Node;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Runs until the process ends.
pub async fn run(node: Arc<Node>, client: Client, log: Logger) {
    let mut ticks = interval(REPORT_INTERVAL);
    let mut last = Traffic::default();
    loop {
        ticks.tick().await;
        let now = client.traffic(path::REPLICATE);
        let failed = now.failed - last.failed;
        for (name, increase) in [
            ("replicate.calls", now.calls - last.calls),
            ("replicate.failed", failed),
            ("replicate.sent_bytes", now.sent - last.sent),
        ] {
            // Metrics are best effort.
            let _sent = node.metrics.count(name, increase);
        }
        if failed > 0 {
            warn!(log, "calls to other replicas failed"; "count" => failed,
                "calls" => now.calls - last.calls, "sent_bytes" => now.sent - last.sent);
        }
        last = now;
        let abandoned = node.take_abandoned();
        if abandoned > 0 {
            warn!(log, "nodes left before the end of a reply"; "path" => path::WATCH, "count" => abandoned);
        }
    }
}
