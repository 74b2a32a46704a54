//! Names chosen by operators.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{kind} {text:?} is not valid: use 1 to {MAX_NAME_BYTES} lower-case letters, digits, '-' or '.', \
     starting with a letter or digit"
)]
pub struct NameError {
    /// Kind of name.
    pub kind: &'static str,
    /// The rejected text.
    pub text: Box<str>,
}

fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let first_byte = text.as_bytes().first().copied().unwrap_or(b'-');
    text.len() <= MAX_NAME_BYTES && first_byte.is_ascii_alphanumeric() && text.bytes().all(allowed)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if is_valid(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(NameError { kind: $kind, text: text.into() })
                }
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// Name of a backend server VM, balancer VM or control VM.
    HostName,
    "host name"
);
name_type!(
    /// Name of a data centre.
    DataCentre,
    "data centre"
);
name_type!(
    /// Name of a service.
    ServiceName,
    "service name"
);
name_type!(
    /// Name of a profile.
    ProfileName,
    "profile name"
);
name_type!(
    /// Name of a route.
    RouteName,
    "route name"
);
name_type!(
    /// Name of a company that owns services; each service has one tenant.
    TenantName,
    "tenant name"
);
name_type!(
    /// Name of a request class within a profile.
    ClassName,
    "class name"
);
