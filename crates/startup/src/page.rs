//! Metrics as text, for collectors that fetch them.

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

/// Upper bounds of the buckets of a latency histogram, in ms.
const BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

/// Significant digits of recorded times.
const DIGITS: u8 = 2;

/// Content type of the text.
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Sums of everything that was sent.
#[derive(Debug, Default)]
struct Sums {
    counters: BTreeMap<Box<str>, u64>,
    gauges: BTreeMap<Box<str>, u64>,
    /// Times in ms.
    times: BTreeMap<Box<str>, Histogram<u64>>,
}

/// Sums up metrics and shows them.
#[derive(Debug, Clone, Default)]
pub struct Page(Arc<Mutex<Sums>>);

impl Page {
    fn sums(&self) -> MutexGuard<'_, Sums> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The text, in the format of Prometheus.
    #[must_use]
    pub fn text(&self) -> String {
        let sums = self.sums();
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = sums.write(&mut out);
        out
    }
}

impl Sums {
    fn write(&self, out: &mut String) -> std::fmt::Result {
        for (name, value) in &self.counters {
            writeln!(out, "# TYPE {name}_total counter\n{name}_total {value}")?;
        }
        for (name, value) in &self.gauges {
            writeln!(out, "# TYPE {name} gauge\n{name} {value}")?;
        }
        for (name, times) in &self.times {
            writeln!(out, "# TYPE {name}_seconds histogram")?;
            for bound in BOUNDS_MS {
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

    /// Takes `name:value|kind`; `None` if it is not that.
    fn take(&mut self, metric: &str) -> Option<()> {
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
                        entry.insert(Histogram::new(DIGITS).ok()?)
                    }
                };
                times.record(value).ok()?;
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for Page {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.sums()
            .take(metric)
            .map(|()| metric.len())
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, metric.to_owned()))
    }
}

/// Metrics as text.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(request: RequestContext<Page>) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
        .body(request.context().text().into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Serves a page until the result is dropped.
pub(crate) fn serve(
    address: SocketAddr,
    page: Page,
    log: &Logger,
) -> Result<HttpServer<Page>, Box<dyn std::error::Error + Send + Sync>> {
    let mut api = ApiDescription::new();
    api.register(metrics)?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    // The server logs each request.
    let drain = LevelFilter::new(log.clone(), Level::Warning);
    let server = ServerBuilder::new(api, page, Logger::root(drain.fuse(), o!()));
    Ok(server.config(config).start()?)
}
