//! Parser for JSON with comments that reports the line and column of every error.
//!
//! The text is parsed into a syntax tree with positions, then deserialised
//! with serde. If serde rejects a value, the path of the value gives the
//! position in the text. Later checks use [`Document::position`].

use std::collections::BTreeMap;
use std::path::Path;

use jsonc_parser::ast::Value as Ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};
use thiserror::Error;

/// Maximum size of a file.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// Maximum nesting depth.
const MAX_NESTING: usize = 64;

/// Position in a text; line and column start at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number in characters.
    pub column: usize,
}

/// Error of reading, parsing or checking a file.
#[derive(Debug, Error)]
pub enum JsoncError {
    /// The file can't be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content is invalid.
    #[error("{file}:{}:{}: {path}{}{message}", position.line, position.column, if path.is_empty() { "" } else { ": " })]
    Invalid {
        /// Name of the file.
        file: Box<str>,
        /// Position of the error.
        position: Position,
        /// Path of the value, such as `profiles[0].retry`.
        path: Box<str>,
        /// What is wrong and what is expected.
        message: Box<str>,
    },
}

/// A deserialised value with the positions of its parts in the text.
#[derive(Debug, Clone)]
pub struct Document<T> {
    /// File name for error messages.
    pub file: Box<str>,
    /// Deserialised value.
    pub value: T,
    positions: BTreeMap<Box<str>, Position>,
}

impl<T> Document<T> {
    /// Wraps a value that was not parsed from a text; every position is the default.
    #[must_use]
    pub fn without_positions(value: T) -> Self {
        Self {
            file: "".into(),
            value,
            positions: BTreeMap::new(),
        }
    }

    /// Returns the position of a path, or of its nearest parent that is in the text.
    #[must_use]
    pub fn position(&self, path: &str) -> Position {
        nearest_position(&self.positions, path)
    }

    /// Creates an error at a path.
    pub fn invalid(&self, path: &str, message: impl Into<Box<str>>) -> JsoncError {
        JsoncError::Invalid {
            file: self.file.clone(),
            position: self.position(path),
            path: path.into(),
            message: message.into(),
        }
    }
}

fn nearest_position(positions: &BTreeMap<Box<str>, Position>, path: &str) -> Position {
    let mut path = path;
    loop {
        if let Some(position) = positions.get(path) {
            return *position;
        }
        match path.rfind(['.', '[']) {
            Some(end) => path = &path[..end],
            None => return positions.get("").copied().unwrap_or_default(),
        }
    }
}

/// Reads and parses a file.
///
/// # Errors
/// When the file can't be read or its text is not valid.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Document<T>, JsoncError> {
    let file: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).map_err(|source| JsoncError::Read {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Parses a text.
///
/// # Errors
/// When the text is not JSON with comments or does not match `T`.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<Document<T>, JsoncError> {
    let invalid = |position: Position, path: &str, message: Box<str>| JsoncError::Invalid {
        file: file.into(),
        position,
        path: path.into(),
        message,
    };
    if text.len() > MAX_FILE_BYTES {
        let message = format!(
            "the file has {} bytes; at most {MAX_FILE_BYTES} are accepted",
            text.len()
        );
        return Err(invalid(Position::default(), "", message.into()));
    }
    if max_nesting(text) > MAX_NESTING {
        let message = format!("nested deeper than {MAX_NESTING} levels");
        return Err(invalid(Position { line: 1, column: 1 }, "", message.into()));
    }
    let ast =
        parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).map_err(|e| {
            invalid(
                position(text, e.range().start),
                "",
                e.kind().to_string().into(),
            )
        })?;
    let Some(root) = ast.value else {
        return Err(invalid(
            Position { line: 1, column: 1 },
            "",
            "the file is empty; it must hold an object".into(),
        ));
    };
    let mut converter = Converter {
        text,
        positions: BTreeMap::new(),
    };
    let value = converter
        .convert(&root, "")
        .map_err(|(offset, path, message)| invalid(position(text, offset), &path, message))?;
    let positions = converter.positions;
    match serde_path_to_error::deserialize(value) {
        Ok(value) => Ok(Document {
            file: file.into(),
            value,
            positions,
        }),
        Err(e) => {
            let path = e.path().to_string();
            let path = if path == "." { "" } else { path.as_str() };
            Err(invalid(
                nearest_position(&positions, path),
                path,
                e.inner().to_string().into(),
            ))
        }
    }
}

/// Upper bound of the nesting depth; also counts brackets within strings.
fn max_nesting(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut max = 0;
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        max = max.max(depth);
    }
    max
}

/// Converts a byte offset to a position.
fn position(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |index| index + 1);
    Position {
        line: before.bytes().filter(|b| *b == b'\n').count() + 1,
        column: before[start..].chars().count() + 1,
    }
}

/// Byte offset, path and message of an error.
type ConvertError = (usize, Box<str>, Box<str>);

/// Converts a syntax tree to a JSON value and records the position of every path.
struct Converter<'a> {
    text: &'a str,
    positions: BTreeMap<Box<str>, Position>,
}

impl Converter<'_> {
    fn convert(&mut self, ast: &Ast<'_>, path: &str) -> Result<Value, ConvertError> {
        let start = ast.range().start;
        self.positions
            .entry(path.into())
            .or_insert(position(self.text, start));
        Ok(match ast {
            Ast::StringLit(text) => Value::String(text.value.to_string()),
            Ast::NumberLit(number) => {
                Value::Number(parse_number(number.value).ok_or_else(|| {
                    let message = format!("{} is not a number in range", number.value);
                    (start, path.into(), message.into())
                })?)
            }
            Ast::BooleanLit(flag) => Value::Bool(flag.value),
            Ast::NullKeyword(_) => Value::Null,
            Ast::Array(array) => {
                let mut items = Vec::new();
                for (index, item) in array.elements.iter().enumerate() {
                    items.push(self.convert(item, &format!("{path}[{index}]"))?);
                }
                Value::Array(items)
            }
            Ast::Object(object) => self.convert_object(object, path)?,
        })
    }

    fn convert_object(
        &mut self,
        object: &jsonc_parser::ast::Object<'_>,
        path: &str,
    ) -> Result<Value, ConvertError> {
        let mut map = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let start = property.range.start;
            let inner = if path.is_empty() {
                name.to_owned()
            } else {
                format!("{path}.{name}")
            };
            if map.contains_key(name) {
                let message = "stands twice in the same object; remove one".into();
                return Err((start, inner.into(), message));
            }
            self.positions
                .insert(inner.as_str().into(), position(self.text, start));
            let value = self.convert(&property.value, &inner)?;
            map.insert(name.to_owned(), value);
        }
        Ok(Value::Object(map))
    }
}

fn parse_number(text: &str) -> Option<Number> {
    if let Ok(value) = text.parse::<u64>() {
        return Some(value.into());
    }
    if let Ok(value) = text.parse::<i64>() {
        return Some(value.into());
    }
    Number::from_f64(text.parse().ok()?)
}
