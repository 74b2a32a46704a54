//! Declarations: profiles, services and routes, as operators keep them in version control.
//!
//! A folder contains `*.jsonc` files, each with `profiles`, `services` and
//! `routes`. Reading rejects unknown fields and malformed values; the checks
//! reject contradictions and unsafe values. Every error names file, line, column,
//! value and remedy.

mod check;
mod diff;
mod folder;
mod model;

pub use check::{MAX_CLASSES, MAX_TARGETS, check, check_declaration, check_route};
pub use diff::{Change, ChangeKind, diff};
pub use folder::{DeclarationError, Declarations, read_folder};
pub use model::{
    Class, Concurrency, Declaration, Deployment, Drain, Health, Keys, Objective, Profile, Protocol,
    Retry, Route, Service, Target, Tier,
};
