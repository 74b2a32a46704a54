//! Identifiers, versions, sizes and rates shared by every crate.
//!
//! Each value that crosses a process boundary has its own type, so that an
//! epoch can't be mistaken for a version or a service id for a port. All of
//! them implement `Display` and `FromStr`.

mod blob;
mod flow;
mod id;
mod name;
mod quantity;

pub use blob::Blob;
pub use flow::Flow;
pub use id::{Epoch, Incarnation, Region, ReplicaId, Revision, ServiceId, Version};
pub use name::{
    ClassName, DataCentre, HostName, NameError, ProfileName, RouteName, ServiceName, TenantName,
};
pub use quantity::{Bytes, Millis, Percent, QuantityError, Slots, Weight};
