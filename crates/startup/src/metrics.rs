//! Metrics, pushed to a statsd collector or served as text, or both.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use derive_more::{Debug, Deref};
use dropshot::HttpServer;
use serde::{Deserialize, Serialize};
use slog::Logger;
use thiserror::Error;

use crate::page::{self, Page};

/// Metrics settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the statsd collector; nothing is pushed without one.
    pub collector: Option<SocketAddr>,
    /// Address at which `GET /metrics` answers with text; nothing is served without one.
    pub listen: Option<SocketAddr>,
}

/// Metrics can't be pushed or served.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// Pushed.
    #[error("cannot send metrics to {collector}: {source}")]
    Push {
        /// Collector.
        collector: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// Served.
    #[error("cannot serve metrics at {address}: {source}; is another process using the port?")]
    Serve {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Metrics of a program; clones share everything.
#[derive(Debug, Clone, Deref)]
pub struct Metrics {
    #[deref(forward)]
    client: Arc<StatsdClient>,
    /// Ends with the last clone.
    #[debug(skip)]
    _server: Option<Arc<HttpServer<Page>>>,
}

/// Metrics that wait for the sending thread.
const QUEUE: usize = 4096;

/// Sends each metric to everybody who wants it.
struct Both {
    page: Page,
    collector: QueuingMetricSink,
}

impl MetricSink for Both {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.page.emit(metric)?;
        self.collector.emit(metric)
    }
}

/// Client with the program name as prefix; needs a runtime to serve.
pub(crate) fn metrics(
    settings: &MetricsSettings,
    program: &str,
    log: &Logger,
) -> Result<Metrics, MetricsError> {
    let prefix = format!("jacinthsill.{program}");
    let page = settings.listen.map(|address| (address, Page::default()));
    let server = match &page {
        Some((address, page)) => Some(serve(*address, page, log)?),
        None => None,
    };
    let collector = settings.collector.map(push).transpose()?;
    let client = match (page, collector) {
        (None, None) => StatsdClient::from_sink(&prefix, NopMetricSink),
        (None, Some(collector)) => StatsdClient::from_sink(&prefix, collector),
        (Some((_, page)), None) => StatsdClient::from_sink(&prefix, page),
        (Some((_, page)), Some(collector)) => {
            StatsdClient::from_sink(&prefix, Both { page, collector })
        }
    };
    Ok(Metrics {
        client: Arc::new(client),
        _server: server.map(Arc::new),
    })
}

fn serve(address: SocketAddr, page: &Page, log: &Logger) -> Result<HttpServer<Page>, MetricsError> {
    let served = page::serve(address, page.clone(), log);
    served.map_err(|source| MetricsError::Serve { address, source })
}

fn push(collector: SocketAddr) -> Result<QueuingMetricSink, MetricsError> {
    let failed = |source| MetricsError::Push { collector, source };
    let socket = UdpSocket::bind(("0.0.0.0", 0))
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|e| failed(e.into()))?;
    let sink = BufferedUdpMetricSink::from(collector, socket).map_err(|e| failed(e.into()))?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE))
}
