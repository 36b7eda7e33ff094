//! The software version that has to serve a request.
//!
//! What two versions of an upstream's software write doesn't fit together, and upstreams don't check
//! it. A stream that has begun therefore goes on at the version that began it, or not at all.

use crate::core::Version;

/// The versions that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequiredVersion {
    /// Any version.
    #[default]
    Any,
    /// The version that began the stream; `None` if its upstream states none.
    Exactly(Option<Version>),
}

impl RequiredVersion {
    /// Returns whether an upstream of this version may serve the request.
    pub fn allows(&self, version: Option<&Version>) -> bool {
        match self {
            RequiredVersion::Any => true,
            RequiredVersion::Exactly(required) => required.as_ref() == version,
        }
    }

    /// Returns whether the request goes on with what one version has begun.
    pub fn is_exact(&self) -> bool {
        matches!(self, RequiredVersion::Exactly(_))
    }
}
