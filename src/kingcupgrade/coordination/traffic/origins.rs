//! Which version began each recent stream, and which versions each service had.
//!
//! A caller whose stream broke off may come again at any entry, and the entry that began the stream
//! may have ended by then. Entries therefore tell each other which streams they began, with their
//! load reports, and one that knows nothing of a stream asks the others.

use std::collections::{BTreeMap, HashMap, VecDeque};

use sha2::{Digest, Sha256};

use super::Traffic;
use crate::{
    core::{Millis, Service, Version, configuration::Configuration, digest::first_bytes},
    protocol::fleet::{BegunStreams, ListedUpstream, OriginRequest, StreamKey, StreamOrigin},
};

/// A stream may last this much longer than its route's timeout.
const STREAM_SLACK: Millis = Millis(1_000);
/// The time for which the origins of streams are kept, in times that a stream may last: callers take
/// up what broke off near its end.
const KEPT_LIFETIMES: u64 = 2;

/// The longest time between two lists. An entry that gets none for longer may have missed a version that
/// came and went, or that has come since.
const MAX_LISTING_GAP: Millis = Millis(2_000);

/// Returns the key of the stream that the caller's request with this id began.
pub fn stream_key(request_id: &str) -> StreamKey {
    StreamKey(first_bytes(Sha256::new_with_prefix(request_id)))
}

/// The origins of recent streams, as one entry knows them.
#[derive(Debug, Default)]
pub(super) struct Origins {
    /// The longest time that a stream may last.
    lifetime: Millis,
    known: HashMap<StreamKey, (Service, Option<Version>)>,
    /// The known streams in the order in which they became known.
    by_age: VecDeque<(Millis, StreamKey)>,
    /// Streams that this entry began and has not reported yet.
    unreported: BTreeMap<(Service, Option<Version>), Vec<StreamKey>>,
    /// Since when the list of upstreams has been known without a gap, and when it last arrived.
    listed: Option<(Millis, Millis)>,
    /// When each version of a service was last listed.
    last_listed: BTreeMap<Service, BTreeMap<Option<Version>, Millis>>,
}

impl Origins {
    /// Applies a configuration.
    pub(super) fn set_configuration(&mut self, configuration: &Configuration) {
        let timeouts = configuration.routes.iter().map(|route| route.timeout);
        self.lifetime = timeouts.max().unwrap_or(Millis::ZERO) + STREAM_SLACK;
    }

    /// Applies a list of upstreams.
    pub(super) fn on_listing<'a>(
        &mut self,
        now: Millis,
        listed: impl Iterator<Item = &'a ListedUpstream>,
    ) {
        let since = self.listed.filter(|(_, last)| now.since(*last) <= MAX_LISTING_GAP);
        self.listed = Some((since.map_or(now, |(since, _)| since), now));
        for upstream in listed {
            let versions = self.last_listed.entry(upstream.service.clone()).or_default();
            versions.insert(upstream.version.clone(), now);
        }
    }

    /// Records a stream that this entry began.
    pub(super) fn on_begun(
        &mut self,
        now: Millis,
        stream: StreamKey,
        service: &Service,
        version: Option<&Version>,
    ) {
        let origin = (service.clone(), version.cloned());
        self.unreported.entry(origin.clone()).or_default().push(stream);
        self.insert(now, stream, origin);
    }

    /// Records streams that another entry began.
    pub(super) fn on_reported(&mut self, now: Millis, begun: Vec<BegunStreams>) {
        for BegunStreams { service, version, streams } in begun {
            for stream in streams {
                self.insert(now, stream, (service.clone(), version.clone()));
            }
        }
    }

    fn insert(&mut self, now: Millis, stream: StreamKey, origin: (Service, Option<Version>)) {
        self.known.insert(stream, origin);
        self.by_age.push_back((now, stream));
        let kept = Millis(self.lifetime.0 * KEPT_LIFETIMES);
        while let Some((at, oldest)) = self.by_age.front().copied()
            && now.since(at) > kept
        {
            self.by_age.pop_front();
            self.known.remove(&oldest);
        }
    }

    /// Returns the streams that this entry began since the last call.
    pub(super) fn take_unreported(&mut self) -> Vec<BegunStreams> {
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let begun = |((service, version), streams)| BegunStreams { service, version, streams };
        unreported.map(begun).collect()
    }

    /// Returns where a stream began, if this entry was told of the stream.
    pub(super) fn recorded(&self, request: &OriginRequest) -> StreamOrigin {
        let known = request.stream.and_then(|stream| self.known.get(&stream));
        known.map_or(StreamOrigin::Unknown, |(service, version)| {
            StreamOrigin::begun(service, version, true)
        })
    }

    /// Returns where a stream began, as far as this entry can show it.
    pub(super) fn origin(&self, now: Millis, request: &OriginRequest) -> StreamOrigin {
        let recorded = self.recorded(request);
        if recorded.is_known() {
            return recorded;
        }
        let Some(service) = &request.service else { return StreamOrigin::Unknown };
        match self.only_version(now, service) {
            Some(version) => StreamOrigin::begun(service, version, false),
            None => StreamOrigin::Unknown,
        }
    }

    /// Returns the version that alone was listed for as long as a stream can last.
    fn only_version(&self, now: Millis, service: &Service) -> Option<&Option<Version>> {
        let (since, last) = self.listed?;
        let is_current = now.since(last) <= MAX_LISTING_GAP;
        let is_known_long = is_current && now.since(since) >= self.lifetime;
        let versions = self.last_listed.get(service)?.iter();
        let mut recent = versions.filter(|(_, at)| now.since(**at) <= self.lifetime);
        let only = recent.next().filter(|_| is_known_long && recent.next().is_none());
        only.map(|(version, _)| version)
    }
}

impl Traffic {
    /// Records a stream of a caller that has begun here, at this version of its service.
    pub fn on_stream_begun(
        &mut self,
        now: Millis,
        request_id: &str,
        service: &Service,
        version: Option<&Version>,
    ) {
        self.origins.on_begun(now, stream_key(request_id), service, version);
    }

    /// Records streams that began at other entries.
    pub fn on_streams_begun(&mut self, now: Millis, begun: Vec<BegunStreams>) {
        self.origins.on_reported(now, begun);
    }

    /// Returns where a stream began, as far as this entry can show it.
    pub fn origin(&self, now: Millis, request: &OriginRequest) -> StreamOrigin {
        self.origins.origin(now, request)
    }

    /// Returns where a stream began, if this entry was told of the stream.
    pub fn recorded_origin(&self, request: &OriginRequest) -> StreamOrigin {
        self.origins.recorded(request)
    }
}
