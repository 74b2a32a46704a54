//! Declarations: profiles and services, as operators keep them in version control.
//!
//! A folder holds `*.jsonc` files; each has `profiles` and `services`. Reading
//! refuses unknown fields and malformed values, checking refuses
//! contradictions and unsafe values. Every error names file, line, column,
//! value and remedy.

mod check;
mod diff;
mod folder;
mod model;

pub use check::{MAX_CLASSES, check, check_one};
pub use diff::{Change, ChangeKind, diff};
pub use folder::{DeclarationError, Declarations, read_folder};
pub use model::{
    Class, Concurrency, Declaration, Drain, Health, Keys, Objective, Profile, Protocol, Retry,
    Service, Tier,
};
