//! Parsed log lines.

use chrono::DateTime;
use serde_json::{Map, Value};

/// Fields that every record has.
const COMMON_FIELDS: [&str; 5] = ["ts", "level", "node", "program", "msg"];

/// A log line.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Line {
    /// Unix time in microseconds, by the clock of the VM.
    pub time_us: i64,
    /// Name of the node that the process runs on.
    pub node: Box<str>,
    /// Name of the program.
    pub program: Box<str>,
    /// Message of the record.
    pub msg: Box<str>,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it contains no log record.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let text_field = |name: &str| Some(Box::from(fields.get(name)?.as_str()?));
        let time: Box<str> = text_field("ts")?;
        let time_us = DateTime::parse_from_rfc3339(&time).ok()?.timestamp_micros();
        let (node, program, msg) = (
            text_field("node")?,
            text_field("program")?,
            text_field("msg")?,
        );
        fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
        Some(Self {
            time_us,
            node,
            program,
            msg,
            fields,
        })
    }

    /// Returns the flow that the line is about.
    #[must_use]
    pub fn flow(&self) -> Option<&str> {
        self.fields.get("flow")?.as_str()
    }

    /// Whether a field equals the id or is a flow with the id as an endpoint or its address.
    #[must_use]
    pub fn mentions(&self, id: &str) -> bool {
        let matches = |value: &Value| match value {
            Value::String(text) => {
                &**text == id
                    || text
                        .split('>')
                        .any(|endpoint| endpoint == id || address(endpoint) == id)
            }
            Value::Number(number) => number.to_string() == id,
            _ => false,
        };
        &*self.node == id || self.fields.values().any(matches)
    }
}

/// Address of an endpoint without the port.
fn address(endpoint: &str) -> &str {
    endpoint
        .rsplit_once(':')
        .map_or(endpoint, |(address, _)| address)
}
