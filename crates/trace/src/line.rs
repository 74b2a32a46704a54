//! A line of a log.

use chrono::DateTime;
use serde_json::{Map, Value};

/// Fields that stand in front of the others.
const HEAD: [&str; 5] = ["ts", "level", "node", "program", "msg"];

/// A line of a log.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Line {
    /// Unix time in microseconds, by the clock of the VM.
    pub time_us: i64,
    /// Host of the process.
    pub node: Box<str>,
    /// Program.
    pub program: Box<str>,
    /// What happened.
    pub msg: Box<str>,
    /// Everything else.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` if it holds no record of a program.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let head = |name: &str| Some(Box::from(fields.get(name)?.as_str()?));
        let time: Box<str> = head("ts")?;
        let time_us = DateTime::parse_from_rfc3339(&time).ok()?.timestamp_micros();
        let (node, program, msg) = (head("node")?, head("program")?, head("msg")?);
        fields.retain(|name, _| !HEAD.contains(&name.as_str()));
        Some(Self {
            time_us,
            node,
            program,
            msg,
            fields,
        })
    }

    /// Flow that the line is about.
    #[must_use]
    pub fn flow(&self) -> Option<&str> {
        self.fields.get("flow")?.as_str()
    }

    /// Whether a field is the id, or a flow that the id is an end of.
    #[must_use]
    pub fn names(&self, id: &str) -> bool {
        let is = |value: &Value| match value {
            Value::String(text) => {
                &**text == id || text.split('>').any(|end| end == id || host(end) == id)
            }
            Value::Number(number) => number.to_string() == id,
            _ => false,
        };
        &*self.node == id || self.fields.values().any(is)
    }
}

/// Address without its port.
fn host(end: &str) -> &str {
    end.rsplit_once(':').map_or(end, |(host, _)| host)
}
