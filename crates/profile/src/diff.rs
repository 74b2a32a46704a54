//! Differences between the desired and the accepted declarations.

use std::cmp::Reverse;

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;

use crate::Declaration;

/// Kind of change to a declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The declaration is new.
    Create,
    /// The declaration differs from the accepted one.
    Change,
    /// The declaration is accepted but no longer desired.
    Retire,
}

/// Difference in one declaration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Kind of change.
    pub change: ChangeKind,
    /// `profile`, `service` or `route`.
    pub kind: Box<str>,
    /// Name.
    pub name: Box<str>,
    /// Fields that differ, as `path: old -> new`.
    pub fields: Vec<Box<str>>,
}

/// Differences in an order in which they can be applied: profiles before the
/// services that use them, then routes; retirements follow in reverse order.
#[must_use]
pub fn diff(accepted: &[Declaration], desired: &[Declaration]) -> Vec<Change> {
    let find = |list: &[Declaration], d: &Declaration| {
        list.iter()
            .find(|other| other.kind() == d.kind() && other.name() == d.name())
            .cloned()
    };
    let entry = |change, d: &Declaration, fields| Change {
        change,
        kind: d.kind().into(),
        name: d.name().into(),
        fields,
    };
    let mut changes = Vec::new();
    for d in desired {
        match find(accepted, d) {
            None => changes.push(entry(ChangeKind::Create, d, Vec::new())),
            Some(old) if old != *d => {
                changes.push(entry(ChangeKind::Change, d, changed_fields(&old, d)));
            }
            Some(_) => {}
        }
    }
    changes.sort_by_key(|change| dependency_rank(&change.kind));
    let mut retired: Vec<_> = accepted
        .iter()
        .filter(|d| find(desired, d).is_none())
        .map(|d| entry(ChangeKind::Retire, d, Vec::new()))
        .collect();
    retired.sort_by_key(|change| Reverse(dependency_rank(&change.kind)));
    changes.extend(retired);
    changes
}

/// Position of a kind in dependency order: each kind depends on the ones before it.
fn dependency_rank(kind: &str) -> usize {
    let order = ["profile", "service", "route"];
    order.iter().position(|k| *k == kind).unwrap_or(order.len())
}

fn changed_fields(old: &Declaration, new: &Declaration) -> Vec<Box<str>> {
    let value = |d: &Declaration| match d {
        Declaration::Profile(profile) => serde_json::to_value(profile),
        Declaration::Service(service) => serde_json::to_value(service),
        Declaration::Route(route) => serde_json::to_value(route),
    };
    let mut out = Vec::new();
    if let (Ok(old), Ok(new)) = (value(old), value(new)) {
        compare("", &old, &new, &mut out);
    }
    out
}

fn compare(path: &str, old: &Value, new: &Value, out: &mut Vec<Box<str>>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            for key in a.keys().chain(b.keys().filter(|key| !a.contains_key(*key))) {
                let field_path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                let value = |map: &serde_json::Map<String, Value>| {
                    map.get(key).cloned().unwrap_or_default()
                };
                compare(&field_path, &value(a), &value(b), out);
            }
        }
        (Value::Array(a), Value::Array(b)) if a.len() == b.len() => {
            for (index, (a, b)) in a.iter().zip(b).enumerate() {
                compare(&format!("{path}[{index}]"), a, b, out);
            }
        }
        _ => out.push(format!("{path}: {old} -> {new}").into()),
    }
}
