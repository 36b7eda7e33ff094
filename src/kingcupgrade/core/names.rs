//! Names, with one type for each kind of named object. The compiler then rejects, for example, an
//! instance passed in place of an upstream.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Returns whether `name` is valid: 1 to 64 bytes of ASCII letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_LEN && name.bytes().all(allowed)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> $name {
                $name(name.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a process of the fleet.
    Instance
);
name_type!(
    /// The name of a group of hosts that fail, or are taken out of service, together.
    FailureDomain
);
name_type!(
    /// The name of a customer that has a share of the capacity.
    Organisation
);
name_type!(
    /// The name of a service.
    Service
);
name_type!(
    /// The name of a server that runs requests.
    UpstreamName
);

name_type!(
    /// The version of the software that an upstream runs.
    Version
);

/// A short identifier of an organisation: the CRC-32 checksum of its name, so that all instances
/// compute the same tag. A document with two organisations of the same tag is rejected, so a tag
/// identifies an organisation within a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrganisationTag(u32);

impl Organisation {
    /// Returns the tag.
    pub fn tag(&self) -> OrganisationTag {
        OrganisationTag(crc32fast::hash(self.as_str().as_bytes()))
    }
}
