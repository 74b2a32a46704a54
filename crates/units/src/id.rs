//! Numeric identifiers and versions.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Display, From, FromStr, Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Next value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

numeric_id!(
    /// Version of a service's member table; increases with every change.
    Epoch,
    u64
);
numeric_id!(
    /// Version of the configuration; increases with every accepted change.
    Version,
    u64
);
numeric_id!(
    /// Number that operators assign to a complete configuration; the highest one takes effect.
    Revision,
    u64
);
numeric_id!(
    /// Start time of a process in Unix ms; increases with every start on a host.
    Incarnation,
    u64
);
numeric_id!(
    /// Region number.
    Region,
    u8
);
numeric_id!(
    /// Id of a control replica; never reused after its disk was lost.
    ReplicaId,
    u64
);
numeric_id!(
    /// Id of a service, with its region in the high 8 bits; never reused.
    ServiceId,
    u32
);

/// Number of bits of a service id below its region.
const SERVICE_BITS: u32 = 24;

impl ServiceId {
    /// Builds an id from a region and a number below 2^24.
    #[must_use]
    pub fn new(region: Region, number: u32) -> Self {
        Self(u32::from(region.0) << SERVICE_BITS | number & ((1 << SERVICE_BITS) - 1))
    }

    /// Region that manages the members of this service.
    #[must_use]
    pub fn region(self) -> Region {
        Region((self.0 >> SERVICE_BITS) as u8)
    }
}
