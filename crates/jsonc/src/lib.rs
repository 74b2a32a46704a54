//! JSON with comments, with the line and column of every error.
//!
//! The text is parsed into a tree that keeps positions, then deserialised
//! through serde. When serde refuses a value, its path leads back to the
//! position in the text. Checks that run later use [`Document::position`].

use std::collections::BTreeMap;
use std::path::Path;

use jsonc_parser::ast::Value as Ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};
use thiserror::Error;

/// Longest accepted file in bytes.
pub const MAX_TEXT: usize = 4 << 20;

/// Deepest accepted nesting.
const MAX_DEPTH: usize = 64;

/// Place in a text; both numbers start at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column in characters.
    pub column: usize,
}

/// A file that can't be read or does not hold what it should.
#[derive(Debug, Error)]
pub enum JsoncError {
    /// The file can't be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// File.
        file: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// The text is not valid.
    #[error("{file}:{}:{}: {path}{}{message}", at.line, at.column, if path.is_empty() { "" } else { ": " })]
    Invalid {
        /// File.
        file: Box<str>,
        /// Place of the error.
        at: Position,
        /// Path of the value, such as `profiles[0].retry`.
        path: Box<str>,
        /// What is wrong and what would be right.
        message: Box<str>,
    },
}

/// A deserialised value with the position of each of its parts.
#[derive(Debug, Clone)]
pub struct Document<T> {
    /// File name for messages.
    pub file: Box<str>,
    /// The value.
    pub value: T,
    positions: BTreeMap<Box<str>, Position>,
}

impl<T> Document<T> {
    /// Value that did not come from a text; every position is the default.
    #[must_use]
    pub fn unplaced(value: T) -> Self {
        Self {
            file: "".into(),
            value,
            positions: BTreeMap::new(),
        }
    }

    /// Position of a path, or of its nearest parent that stands in the text.
    #[must_use]
    pub fn position(&self, path: &str) -> Position {
        lookup(&self.positions, path)
    }

    /// Error at a path.
    pub fn invalid(&self, path: &str, message: impl Into<Box<str>>) -> JsoncError {
        JsoncError::Invalid {
            file: self.file.clone(),
            at: self.position(path),
            path: path.into(),
            message: message.into(),
        }
    }
}

fn lookup(positions: &BTreeMap<Box<str>, Position>, path: &str) -> Position {
    let mut path = path;
    loop {
        if let Some(at) = positions.get(path) {
            return *at;
        }
        match path.rfind(['.', '[']) {
            Some(cut) => path = &path[..cut],
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
    let invalid = |at: Position, path: &str, message: Box<str>| JsoncError::Invalid {
        file: file.into(),
        at,
        path: path.into(),
        message,
    };
    if text.len() > MAX_TEXT {
        let message = format!(
            "the file has {} bytes; at most {MAX_TEXT} are accepted",
            text.len()
        );
        return Err(invalid(Position::default(), "", message.into()));
    }
    if nesting(text) > MAX_DEPTH {
        let message = format!("nested deeper than {MAX_DEPTH} levels");
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
        let at = Position { line: 1, column: 1 };
        return Err(invalid(
            at,
            "",
            "the file is empty; it must hold an object".into(),
        ));
    };
    let mut walk = Walk {
        text,
        positions: BTreeMap::new(),
    };
    let value = walk
        .convert(&root, "")
        .map_err(|(at, path, message)| invalid(position(text, at), &path, message))?;
    let positions = walk.positions;
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
                lookup(&positions, path),
                path,
                e.inner().to_string().into(),
            ))
        }
    }
}

/// Upper bound of the nesting depth; brackets within strings count too.
fn nesting(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut most = 0;
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        most = most.max(depth);
    }
    most
}

fn position(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    Position {
        line: before.bytes().filter(|b| *b == b'\n').count() + 1,
        column: before[start..].chars().count() + 1,
    }
}

type WalkError = (usize, Box<str>, Box<str>);

struct Walk<'a> {
    text: &'a str,
    positions: BTreeMap<Box<str>, Position>,
}

impl Walk<'_> {
    fn convert(&mut self, ast: &Ast<'_>, path: &str) -> Result<Value, WalkError> {
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
    ) -> Result<Value, WalkError> {
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
