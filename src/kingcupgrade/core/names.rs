//! Names, one type for each kind, so that an instance is never passed where an upstream is meant.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Tells whether `name` may be used as a name: letters, digits, `-`, `_` and `.`, 1 to 64 bytes.
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
            /// Returns the name as text.
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
    /// A process of the fleet.
    Instance
);
name_type!(
    /// A zone whose machines fail or are taken out together.
    FailureDomain
);
name_type!(
    /// A customer with a share of the capacity.
    Organisation
);
name_type!(
    /// A service with a document of its own.
    Service
);
name_type!(
    /// A back end that runs requests.
    UpstreamName
);

/// A short name of an organisation, the same wherever it is worked out. A document refuses two
/// organisations with one tag, so within a service it stands for its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrganisationTag(u32);

impl Organisation {
    /// Returns the tag.
    pub fn tag(&self) -> OrganisationTag {
        OrganisationTag(crc32fast::hash(self.as_str().as_bytes()))
    }
}
