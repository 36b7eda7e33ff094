//! Digests by which the attempts of one request are recognised.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a request by what it asks for.
///
/// Each attempt of a caller has an id of its own and may arrive at any entry; its digest is the same.
/// Requests of several callers that ask for the same have the same digest, too.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Computes the digest of a request from the fields that no attempt changes, in a fixed order.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> RequestDigest {
        RequestDigest(first_bytes(hash_fields(fields)))
    }

    /// Like [`RequestDigest::of`], with a body as the last field, given by its length in bytes and its
    /// parts in order.
    pub fn with_body<'a>(
        fields: impl IntoIterator<Item = &'a [u8]>,
        len: usize,
        parts: impl IntoIterator<Item = &'a [u8]>,
    ) -> RequestDigest {
        let mut hasher = hash_fields(fields);
        hasher.update((len as u64).to_be_bytes());
        for part in parts {
            hasher.update(part);
        }
        RequestDigest(first_bytes(hasher))
    }
}

fn hash_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Sha256 {
    let mut hasher = Sha256::new();
    for field in fields {
        // Without the lengths, bytes could move from one field to the next unnoticed.
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    hasher
}

/// Returns the first eight bytes of a hash as a number.
pub fn first_bytes(hasher: Sha256) -> u64 {
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_at(size_of::<u64>());
    u64::from_be_bytes(first.try_into().expect("eight bytes"))
}
