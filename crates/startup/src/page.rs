//! Metrics in the Prometheus text format, served over HTTP for collectors that scrape them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext, ServerBuilder,
    endpoint,
};
use hdrhistogram::Histogram;
use http::Response;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Upper bounds of the buckets of a latency histogram.
const BUCKET_BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Content type of the Prometheus text format.
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Aggregated values of all metrics emitted so far.
#[derive(Debug, Default)]
struct Aggregates {
    counters: BTreeMap<Box<str>, u64>,
    gauges: BTreeMap<Box<str>, u64>,
    /// Durations in ms.
    times: BTreeMap<Box<str>, Histogram<u64>>,
}

/// Metric sink that aggregates metrics and renders them as text; clones share the values.
#[derive(Debug, Clone, Default)]
pub struct MetricsPage(Arc<Mutex<Aggregates>>);

impl MetricsPage {
    fn aggregates(&self) -> MutexGuard<'_, Aggregates> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let aggregates = self.aggregates();
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = aggregates.write(&mut out);
        out
    }
}

impl Aggregates {
    fn write(&self, out: &mut String) -> std::fmt::Result {
        for (name, value) in &self.counters {
            writeln!(out, "# TYPE {name}_total counter\n{name}_total {value}")?;
        }
        for (name, value) in &self.gauges {
            writeln!(out, "# TYPE {name} gauge\n{name} {value}")?;
        }
        for (name, times) in &self.times {
            writeln!(out, "# TYPE {name}_seconds histogram")?;
            for bound in BUCKET_BOUNDS_MS {
                let count = times.count_between(0, bound);
                let seconds = bound as f64 / 1_000.0;
                writeln!(out, "{name}_seconds_bucket{{le=\"{seconds}\"}} {count}")?;
            }
            let (count, sum) = (times.len(), times.mean() * times.len() as f64 / 1_000.0);
            writeln!(out, "{name}_seconds_bucket{{le=\"+Inf\"}} {count}")?;
            writeln!(
                out,
                "{name}_seconds_sum {sum}\n{name}_seconds_count {count}"
            )?;
        }
        Ok(())
    }

    /// Records a metric of the form `name:value|kind`; `None` if it is malformed.
    fn record(&mut self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let value: u64 = value.parse().ok()?;
        let name: Box<str> = name.replace(['.', '-'], "_").into();
        match kind {
            "c" => *self.counters.entry(name).or_default() += value,
            "g" => {
                self.gauges.insert(name, value);
            }
            "ms" => {
                let times = match self.times.entry(name) {
                    std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
                    std::collections::btree_map::Entry::Vacant(entry) => {
                        entry.insert(Histogram::new(SIGNIFICANT_DIGITS).ok()?)
                    }
                };
                times.record(value).ok()?;
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for MetricsPage {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.aggregates()
            .record(metric)
            .map(|()| metric.len())
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, metric.to_owned()))
    }
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(request: RequestContext<MetricsPage>) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
        .body(request.context().text().into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Serves the page until the returned server is dropped.
pub(crate) fn serve(
    address: SocketAddr,
    page: MetricsPage,
    log: &Logger,
) -> Result<HttpServer<MetricsPage>, Box<dyn std::error::Error + Send + Sync>> {
    let mut api = ApiDescription::new();
    api.register(metrics)?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    // Only warnings are logged, because the server logs each request at a lower level.
    let drain = LevelFilter::new(log.clone(), Level::Warning);
    let server = ServerBuilder::new(api, page, Logger::root(drain.fuse(), o!()));
    Ok(server.config(config).start()?)
}
