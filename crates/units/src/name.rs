//! Names that operators write.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest accepted name in bytes.
pub const MAX_NAME: usize = 63;

/// A text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{kind} {text:?} is not valid: use 1 to {MAX_NAME} lower-case letters, digits, '-' or '.', \
     starting with a letter or digit"
)]
pub struct NameError {
    /// What the name is for.
    pub kind: &'static str,
    /// The rejected text.
    pub text: Box<str>,
}

fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let first = text.as_bytes().first().copied().unwrap_or(b'-');
    text.len() <= MAX_NAME && first.is_ascii_alphanumeric() && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
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

name!(
    /// Backend server VM, balancer VM or control VM.
    HostName,
    "host name"
);
name!(
    /// Data centre.
    DataCentre,
    "data centre"
);
name!(
    /// Service.
    ServiceName,
    "service name"
);
name!(
    /// Profile.
    ProfileName,
    "profile name"
);
name!(
    /// Route.
    RouteName,
    "route name"
);
name!(
    /// Firm that owns a service; tenants never share one.
    TenantName,
    "tenant name"
);
name!(
    /// Class of requests within a profile.
    ClassName,
    "class name"
);
