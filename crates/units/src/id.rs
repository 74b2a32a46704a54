//! Numeric identifiers and versions.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Display, From, FromStr, Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The value after this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number!(
    /// Version of a service's member table; rises with every change.
    Epoch,
    u64
);
number!(
    /// Version of the configuration; rises with every accepted change.
    Version,
    u64
);
number!(
    /// Number that operators give to a whole configuration; the highest one counts.
    Revision,
    u64
);
number!(
    /// Start time of a process in Unix ms; rises with every start on a host.
    Incarnation,
    u64
);
number!(
    /// Region number.
    Region,
    u8
);
number!(
    /// Control replica; never reused after its disk was lost.
    ReplicaId,
    u64
);
number!(
    /// Service; the high 8 bits hold its region. Never reused.
    ServiceId,
    u32
);

/// Bits of a service id below its region.
const SERVICE_BITS: u32 = 24;

impl ServiceId {
    /// Builds an id from a region and a number below 2^24.
    #[must_use]
    pub fn new(region: Region, number: u32) -> Self {
        Self(u32::from(region.0) << SERVICE_BITS | number & ((1 << SERVICE_BITS) - 1))
    }

    /// Region that decides the members of this service.
    #[must_use]
    pub fn region(self) -> Region {
        Region((self.0 >> SERVICE_BITS) as u8)
    }
}
