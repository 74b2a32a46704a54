//! Metrics, pushed to a statsd collector, served in the Prometheus text format, or both.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use derive_more::{Debug, Deref};
use dropshot::HttpServer;
use serde::{Deserialize, Serialize};
use slog::Logger;
use thiserror::Error;

use crate::page::{self, MetricsPage};

/// Metrics settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the statsd collector; nothing is pushed without one.
    pub collector: Option<SocketAddr>,
    /// Address at which `GET /metrics` is served; nothing is served without one.
    pub listen: Option<SocketAddr>,
}

/// Metrics can't be pushed or served.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The collector socket can't be opened.
    #[error("cannot send metrics to {collector}: {source}")]
    Push {
        /// Address of the collector.
        collector: SocketAddr,
        /// Underlying error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The metrics server can't be started.
    #[error("cannot serve metrics at {address}: {source}; is another process using the port?")]
    Serve {
        /// Listen address from the settings.
        address: SocketAddr,
        /// Underlying error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Metrics client of a program; clones share the client and the server.
#[derive(Debug, Clone, Deref)]
pub struct Metrics {
    #[deref(forward)]
    client: Arc<StatsdClient>,
    /// Stops when the last clone is dropped.
    #[debug(skip)]
    _server: Option<Arc<HttpServer<MetricsPage>>>,
}

/// Maximum number of metrics queued for the sending thread.
const QUEUE_CAPACITY: usize = 4096;

/// Sends each metric to the metrics page and to the collector.
struct TeeSink {
    page: MetricsPage,
    collector: QueuingMetricSink,
}

impl MetricSink for TeeSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.page.emit(metric)?;
        self.collector.emit(metric)
    }
}

/// Creates a client with the program name as prefix; serving requires a Tokio runtime.
pub(crate) fn metrics(
    settings: &MetricsSettings,
    program: &str,
    log: &Logger,
) -> Result<Metrics, MetricsError> {
    let prefix = format!("jacinthsill.{program}");
    let page = settings
        .listen
        .map(|address| (address, MetricsPage::default()));
    let server = match &page {
        Some((address, page)) => Some(serve(*address, page, log)?),
        None => None,
    };
    let collector = settings.collector.map(collector_sink).transpose()?;
    let client = match (page, collector) {
        (None, None) => StatsdClient::from_sink(&prefix, NopMetricSink),
        (None, Some(collector)) => StatsdClient::from_sink(&prefix, collector),
        (Some((_, page)), None) => StatsdClient::from_sink(&prefix, page),
        (Some((_, page)), Some(collector)) => {
            StatsdClient::from_sink(&prefix, TeeSink { page, collector })
        }
    };
    Ok(Metrics {
        client: Arc::new(client),
        _server: server.map(Arc::new),
    })
}

fn serve(
    address: SocketAddr,
    page: &MetricsPage,
    log: &Logger,
) -> Result<HttpServer<MetricsPage>, MetricsError> {
    let served = page::serve(address, page.clone(), log);
    served.map_err(|source| MetricsError::Serve { address, source })
}

fn collector_sink(collector: SocketAddr) -> Result<QueuingMetricSink, MetricsError> {
    let failed = |source| MetricsError::Push { collector, source };
    let socket = UdpSocket::bind(("0.0.0.0", 0))
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|e| failed(e.into()))?;
    let sink = BufferedUdpMetricSink::from(collector, socket).map_err(|e| failed(e.into()))?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY))
}
