//! Common set-up of every binary: settings, logs, metrics, sockets and signals.

mod budget;
mod clock_monitor;
mod logs;
mod metrics;
mod page;
mod reload;
mod settings;
mod socket;
mod stop;
mod telemetry;

pub use budget::{LineBudget, LinePriority};
pub use clock_monitor::ClockMonitor;
pub use logs::{LogFlush, LogFormat, LogSettings, logger};
pub use metrics::{Metrics, MetricsError, MetricsSettings};
pub use page::MetricsPage;
pub use reload::Reload;
pub use settings::load;
pub use socket::packet_socket;
pub use stop::{Stop, StopError, Urgency};
pub use telemetry::Telemetry;
