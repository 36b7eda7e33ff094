//! The service document: the organisations of a service, their shares, and the requests that must
//! not be retried.
//!
//! A document is validated as a whole before it is accepted. If parts of an invalid document were
//! accepted, instances could apply a configuration that differs from what its author wrote.

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

/// The maximum size of a document, in bytes.
pub const MAX_DOCUMENT_LEN: usize = 4 << 20;
/// The maximum share of an organisation.
pub const MAX_SHARE: u32 = 10_000;

/// The kind of upstream that serves the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Streams its answers. The cost of a request is the number of events in its answer.
    ModelEngine,
    /// Sends complete answers instead of streams. Every request costs 1.
    PlainService,
}

/// The settings of one organisation in a document.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConfig {
    /// Its weight relative to the other organisations.
    pub share: u32,
    /// SHA-256 digests of its bearer tokens in lower-case hex. The document never contains the
    /// tokens themselves.
    pub token_digests: Vec<String>,
}

/// Matches requests, by method and path, that must not be sent more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPattern {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path below the service. A trailing `*` matches any suffix.
    pub path: String,
}

impl RequestPattern {
    /// Returns whether a request matches the pattern.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }

    fn overlaps(&self, other: &RequestPattern) -> bool {
        let literal = |pattern: &RequestPattern| pattern.path.trim_end_matches('*').to_owned();
        let meets = self.matches_path(&literal(other)) || other.matches_path(&literal(self));
        self.method == other.method && meets
    }
}

/// Limits on requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of queued requests per organisation and entry.
    pub queue_requests: usize,
    /// The maximum total size of the queued request bodies per organisation and entry, in bytes.
    pub queue_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long a request may take, including its time in the queue, in milliseconds.
    pub deadline_ms: u64,
    /// How long an answer may pause before it is treated as broken off, in milliseconds.
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

/// The maximum number of concurrent requests of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotLimits {
    /// The limit while the upstream is cold.
    pub cold: u32,
    /// The limit once the upstream has warmed up.
    pub warm: u32,
}

impl SlotLimits {
    /// Returns the number of slots that an entry may use as its static share while it cannot know
    /// whether a dispatcher also assigns slots of the same upstream. A dispatcher that cannot reach
    /// the entry uses the remaining slots.
    ///
    /// A single slot cannot be split. It goes to the dispatcher, which serves all callers of the
    /// failure domain except those of that one entry.
    pub fn static_slots(self) -> u32 {
        self.cold / 2
    }
}

/// The configuration of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The name of the service, which is the first segment of its request paths.
    pub service: Service,
    /// The kind of its upstreams.
    pub kind: ServiceKind,
    /// The models that its engines serve. Informational only.
    #[serde(default)]
    pub models: Vec<String>,
    /// The organisations that may call the service.
    #[serde(deserialize_with = "unique_organisations")]
    pub organisations: BTreeMap<Organisation, OrganisationConfig>,
    /// The requests that must not be sent more than once.
    #[serde(default)]
    pub never_repeat: Vec<RequestPattern>,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
    /// Limits on the concurrency of each upstream.
    pub slots: SlotLimits,
    /// The organisations by token digest. Every request looks up its token, and there may be
    /// thousands of digests.
    #[serde(skip)]
    by_digest: HashMap<String, Organisation>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DocumentInvalid`] with the location of the error and what is expected there.
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

    /// Returns the organisation that a bearer token belongs to.
    pub fn organisation_of(&self, token: &str) -> Option<&Organisation> {
        self.by_digest.get(&sha256_hex(token.as_bytes()))
    }

    fn index_tokens(&mut self) {
        let organisations = self.organisations.iter();
        let digests = organisations.flat_map(|(name, config)| {
            config.token_digests.iter().map(move |digest| (digest.clone(), name.clone()))
        });
        self.by_digest = digests.collect();
    }

    /// Returns whether a request must not be sent more than once.
    pub fn must_not_repeat(&self, method: &str, path: &str) -> bool {
        self.never_repeat.iter().any(|pattern| pattern.matches(method, path))
    }

    /// Returns the share of an organisation, or 1 if the document does not list it.
    pub fn share(&self, organisation: &Organisation) -> u32 {
        self.organisations.get(organisation).map_or(1, |config| config.share)
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
        for (name, config) in &self.organisations {
            if let Some(other) = tags.insert(name.tag(), name) {
                // Tags are 32-bit checksums of names, so one pair of names in 2^32 collides.
                // Service received by one organisation would then be counted for the other.
                return Err(format!(
                    "organisations: {other} and {name} can't be told apart by tag"
                ));
            }
            if !is_valid_name(name.as_str()) {
                return Err(format!("organisations: {:?} is no valid name", name.as_str()));
            }
            if !(1..=MAX_SHARE).contains(&config.share) {
                return Err(format!("organisations.{name}.share: expected 1 to {MAX_SHARE}"));
            }
            for digest in &config.token_digests {
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
            let has_inner_star = pattern.path.trim_end_matches('*').contains('*');
            if !pattern.path.starts_with('/') || has_inner_star || pattern.path.ends_with("**") {
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

/// Deserializes the organisations and rejects duplicate names. Deserializing into a plain map
/// would keep the last entry and silently drop the others.
fn unique_organisations<'de, D>(
    deserializer: D,
) -> Result<BTreeMap<Organisation, OrganisationConfig>, D::Error>
where
    D: Deserializer<'de>,
{
    struct Unique;

    impl<'de> Visitor<'de> for Unique {
        type Value = BTreeMap<Organisation, OrganisationConfig>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("organisations by name")
        }

        fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
            let mut organisations = BTreeMap::new();
            while let Some((name, config)) =
                access.next_entry::<Organisation, OrganisationConfig>()?
            {
                if organisations.contains_key(&name) {
                    return Err(de::Error::custom(format!("organisation {name} stands twice")));
                }
                organisations.insert(name, config);
            }
            Ok(organisations)
        }
    }

    deserializer.deserialize_map(Unique)
}

/// Returns the lower-case hex SHA-256 digest of `bytes`.
pub fn sha256_hex(bytes: &[u8]) -> String {
    to_hex(&Sha256::digest(bytes))
}
