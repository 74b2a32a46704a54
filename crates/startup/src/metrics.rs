//! Metrics in the statsd format.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Metrics settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the statsd collector; no metrics are sent without one.
    pub collector: Option<SocketAddr>,
}

/// The metrics socket can't be opened.
#[derive(Debug, Error)]
#[error("cannot send metrics to {collector}: {source}")]
pub struct MetricsError {
    /// Collector.
    pub collector: SocketAddr,
    /// Cause.
    pub source: Box<dyn std::error::Error + Send + Sync>,
}

/// Metrics that wait for the sending thread.
const QUEUE: usize = 4096;

/// Client with the program name as prefix.
///
/// # Errors
/// When no socket can be opened.
pub fn metrics(settings: &MetricsSettings, program: &str) -> Result<StatsdClient, MetricsError> {
    let prefix = format!("jacinthsill.{program}");
    let Some(collector) = settings.collector else {
        return Ok(StatsdClient::from_sink(&prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|e| MetricsError {
            collector,
            source: e.into(),
        })?;
    let sink = BufferedUdpMetricSink::from(collector, socket).map_err(|e| MetricsError {
        collector,
        source: e.into(),
    })?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
    Ok(StatsdClient::from_sink(&prefix, sink))
}
