//! Times as operators write and read them.

use std::time::{SystemTime, UNIX_EPOCH};

use chrono::{DateTime, SecondsFormat};
use units::Millis;

use crate::error::CliError;

/// Current Unix time.
#[must_use]
pub fn now() -> Millis {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from(span.unwrap_or_default())
}

/// Reads `now`, a span such as `+30s`, an RFC 3339 time or Unix ms.
///
/// # Errors
/// With the accepted forms.
pub fn parse(text: &str, base: Millis) -> Result<Millis, CliError> {
    let error = || {
        let message =
            format!("{text:?} is not a time; use now, +30s, +5m, +2h, RFC 3339 or Unix ms");
        CliError::Usage(message.into())
    };
    if text == "now" {
        return Ok(base);
    }
    if let Some(span) = text.strip_prefix('+') {
        let unit = match span.chars().last() {
            Some('s') => 1_000,
            Some('m') => 60_000,
            Some('h') => 3_600_000,
            _ => return Err(error()),
        };
        let count: u64 = span[..span.len() - 1].parse().map_err(|_| error())?;
        let span = count.checked_mul(unit).ok_or_else(error)?;
        return Ok(Millis(base.0.checked_add(span).ok_or_else(error)?));
    }
    if let Ok(unix) = text.parse() {
        return Ok(Millis(unix));
    }
    let time = DateTime::parse_from_rfc3339(text).map_err(|_| error())?;
    Ok(Millis(
        u64::try_from(time.timestamp_millis()).map_err(|_| error())?,
    ))
}

/// RFC 3339 in UTC.
#[must_use]
pub fn show(time: Millis) -> String {
    let time = i64::try_from(time.0)
        .ok()
        .and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || "-".into(),
        |time| time.to_rfc3339_opts(SecondsFormat::Millis, true),
    )
}

/// RFC 3339 in UTC from microseconds.
#[must_use]
pub fn show_us(time_us: i64) -> String {
    DateTime::from_timestamp_micros(time_us).map_or_else(
        || "-".into(),
        |time| time.to_rfc3339_opts(SecondsFormat::Micros, true),
    )
}
