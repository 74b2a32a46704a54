//! What every binary does at its start: settings, logs, metrics and stop signals.

mod budget;
mod logs;
mod metrics;
mod page;
mod pauses;
mod reload;
mod settings;
mod socket;
mod stop;
mod telemetry;

pub use budget::{Budget, Rank};
pub use logs::{LogFlush, LogFormat, LogSettings, logger};
pub use metrics::{Metrics, MetricsError, MetricsSettings};
pub use page::Page;
pub use pauses::Pauses;
pub use reload::Reload;
pub use settings::load;
pub use socket::packet_socket;
pub use stop::{Stop, StopError, Urgency};
pub use telemetry::Telemetry;
