//! The document of a service: its organisations, their shares, and what must never repeat.
//!
//! A document is checked whole before it is accepted, because a document accepted in part would
//! be in force on some instances in another form than its author wrote.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
};

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{self, MapAccess, Visitor},
};
use sha2::{Digest, Sha256};

use super::{
    code::{Code, CodedError},
    names::{Organisation, Service, is_valid_name},
};
use crate::util::hex::to_hex;

/// The largest document accepted, in bytes.
pub const MAX_DOCUMENT_LEN: usize = 4 << 20;
/// The largest share an organisation may have.
pub const MAX_SHARE: u32 = 10_000;

/// What kind of upstream serves the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Streams answers; a request's cost is the number of events of its answer.
    ModelEngine,
    /// Answers whole; each request costs one.
    PlainService,
}

/// An organisation's part of the document.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its weight against the other organisations.
    pub share: u32,
    /// Lower-case hex SHA-256 digests of its bearer tokens; the tokens themselves stay out.
    pub token_digests: Vec<String>,
}

/// A method and path that must never be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path below the service; a final `*` matches any rest.
    pub path: String,
}

impl Pattern {
    /// Tells whether a request falls under the pattern.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }

    fn overlaps(&self, other: &Pattern) -> bool {
        let literal = |pattern: &Pattern| pattern.path.trim_end_matches('*').to_owned();
        let meets = self.matches_path(&literal(other)) || other.matches_path(&literal(self));
        self.method == other.method && meets
    }
}

/// Limits on requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests of one organisation that may wait at one entry.
    pub queue_requests: usize,
    /// Bytes of one organisation's bodies that may wait at one entry.
    pub queue_bytes: usize,
    /// The largest body of one request, in bytes.
    pub body_bytes: usize,
    /// How long a request may take, waiting included, in milliseconds.
    pub deadline_ms: u64,
    /// How long an answer may stand still before it counts as broken, in milliseconds.
    pub silence_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue_requests: 256,
            queue_bytes: 8 << 20,
            body_bytes: 1 << 20,
            deadline_ms: 60_000,
            silence_ms: 10_000,
        }
    }
}

/// How many requests an upstream may run at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotLimits {
    /// While it is cold.
    pub cold: u32,
    /// Once it has warmed up.
    pub warm: u32,
}

impl SlotLimits {
    /// Returns the slots that are an entry's by static share while it can't know whether others
    /// dispatch the same upstream; a dispatcher that can't hear the entry has all others.
    ///
    /// A single slot can't be parted. It is left to the dispatcher, which serves all callers of the
    /// failure domain but those of one entry.
    pub fn static_part(self) -> u32 {
        self.cold / 2
    }
}

/// The document of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The service's name, the first part of its callers' paths.
    pub service: Service,
    /// What kind of upstream serves it.
    pub kind: Kind,
    /// The models its engines serve, for information.
    #[serde(default)]
    pub models: Vec<String>,
    /// The organisations that may call it.
    #[serde(deserialize_with = "unique_organisations")]
    pub organisations: BTreeMap<Organisation, Member>,
    /// Which requests must never be repeated.
    #[serde(default)]
    pub never_repeat: Vec<Pattern>,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
    /// Limits on upstreams.
    pub slots: SlotLimits,
    /// Organisations by token digest; thousands of them are looked up in with every request.
    #[serde(skip)]
    by_digest: HashMap<String, Organisation>,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DocumentInvalid`] with the place and what is expected there.
    pub fn parse(text: &str) -> Result<Document, CodedError> {
        let invalid = |detail| CodedError::new(Code::DocumentInvalid, detail);
        if text.len() > MAX_DOCUMENT_LEN {
            return Err(invalid(format!("the document exceeds {MAX_DOCUMENT_LEN} bytes")));
        }
        let mut document: Document =
            serde_norway::from_str(text).map_err(|err| invalid(err.to_string()))?;
        document.check().map_err(invalid)?;
        document.index_tokens();
        Ok(document)
    }

    /// Finds the organisation a bearer token belongs to.
    pub fn organisation_of(&self, token: &str) -> Option<&Organisation> {
        self.by_digest.get(&sha256_hex(token.as_bytes()))
    }

    fn index_tokens(&mut self) {
        let members = self.organisations.iter();
        let digests = members.flat_map(|(name, member)| {
            member.token_digests.iter().map(move |digest| (digest.clone(), name.clone()))
        });
        self.by_digest = digests.collect();
    }

    /// Tells whether a request must never be repeated.
    pub fn must_not_repeat(&self, method: &str, path: &str) -> bool {
        self.never_repeat.iter().any(|pattern| pattern.matches(method, path))
    }

    /// Returns an organisation's share, 1 for one the document does not name.
    pub fn share(&self, organisation: &Organisation) -> u32 {
        self.organisations.get(organisation).map_or(1, |member| member.share)
    }

    fn check(&self) -> Result<(), String> {
        if !is_valid_name(self.service.as_str()) {
            return Err(format!("service: {:?} is no valid name", self.service.as_str()));
        }
        if self.organisations.is_empty() {
            return Err("organisations: expected at least one".to_owned());
        }
        if self.slots.cold == 0 || self.slots.cold > self.slots.warm {
            return Err("slots: expected 1 <= cold <= warm".to_owned());
        }
        if [self.limits.queue_requests as u64, self.limits.deadline_ms, self.limits.silence_ms]
            .contains(&0)
        {
            return Err(
                "limits: expected queue_requests, deadline_ms and silence_ms of at least 1"
                    .to_owned(),
            );
        }
        self.check_organisations()?;
        self.check_patterns()
    }

    fn check_organisations(&self) -> Result<(), String> {
        let mut digests = BTreeSet::new();
        let mut tags = BTreeMap::new();
        for (name, member) in &self.organisations {
            if let Some(other) = tags.insert(name.tag(), name) {
                // One of four thousand million pairs of names; service of one would be counted
                // as the other's.
                return Err(format!(
                    "organisations: {other} and {name} can't be told apart by tag"
                ));
            }
            if !is_valid_name(name.as_str()) {
                return Err(format!("organisations: {:?} is no valid name", name.as_str()));
            }
            if !(1..=MAX_SHARE).contains(&member.share) {
                return Err(format!("organisations.{name}.share: expected 1 to {MAX_SHARE}"));
            }
            for digest in &member.token_digests {
                let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
                if digest.len() != 64 || !digest.bytes().all(is_hex) {
                    return Err(format!(
                        "organisations.{name}.token_digests: expected 64 lower-case hex digits"
                    ));
                }
                if !digests.insert(digest) {
                    return Err(format!(
                        "organisations.{name}.token_digests: a digest stands twice"
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_patterns(&self) -> Result<(), String> {
        for (i, pattern) in self.never_repeat.iter().enumerate() {
            let inner_star = pattern.path.trim_end_matches('*').contains('*');
            if !pattern.path.starts_with('/') || inner_star || pattern.path.ends_with("**") {
                return Err(format!(
                    "never_repeat[{i}].path: expected /path, with * at its end at most"
                ));
            }
            if pattern.method.is_empty() || !pattern.method.bytes().all(|b| b.is_ascii_uppercase())
            {
                return Err(format!("never_repeat[{i}].method: expected a method in capitals"));
            }
            if let Some(j) = self.never_repeat[..i].iter().position(|other| other.overlaps(pattern))
            {
                return Err(format!("never_repeat[{i}]: overlaps never_repeat[{j}]"));
            }
        }
        Ok(())
    }
}

/// Reads the organisations and refuses one that stands twice: a plain map would keep the last and
/// silently drop the share its author wrote first.
fn unique_organisations<'de, D>(deserializer: D) -> Result<BTreeMap<Organisation, Member>, D::Error>
where
    D: Deserializer<'de>,
{
    struct Unique;

    impl<'de> Visitor<'de> for Unique {
        type Value = BTreeMap<Organisation, Member>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("organisations by name")
        }

        fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
            let mut members = BTreeMap::new();
            while let Some((name, member)) = access.next_entry::<Organisation, Member>()? {
                if members.contains_key(&name) {
                    return Err(de::Error::custom(format!("organisation {name} stands twice")));
                }
                members.insert(name, member);
            }
            Ok(members)
        }
    }

    deserializer.deserialize_map(Unique)
}

/// Returns the lower-case hex SHA-256 digest of `bytes`.
pub fn sha256_hex(bytes: &[u8]) -> String {
    to_hex(&Sha256::digest(bytes))
}
