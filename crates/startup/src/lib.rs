//! What every binary does at its start: settings, logs, metrics and stop signals.

mod logs;
mod metrics;
mod reload;
mod settings;
mod socket;
mod stop;

pub use logs::{LogFormat, LogSettings, logger};
pub use metrics::{MetricsError, MetricsSettings, metrics};
pub use reload::Reload;
pub use settings::load;
pub use socket::packet_socket;
pub use stop::{Stop, StopError, Urgency};
