//! Tests which version of a service's upstreams a stream goes on at.

use kingcupgrade::{
    coordination::{
        required_version::RequiredVersion,
        traffic::{Demand, SendEnd, Traffic, Verdict, stream_key},
    },
    core::{Code, Millis, UpstreamName, Version},
    protocol::fleet::{ListedUpstream, OriginRequest, StreamOrigin},
};

use crate::traffic::{assigned_upstream, demand, traffic};

/// Longer than a stream of the test configuration can last.
const STREAM_LIFETIME: Millis = Millis(20_000);

fn engine(name: &str, version: &str, started_unix_ms: u64) -> ListedUpstream {
    let listed = kingcup_support::traffic::listed("engine", name, Millis::ZERO);
    ListedUpstream { version: Some(version.into()), started_unix_ms, ..listed }
}

fn going_on(no: u64, now: Millis, version: &str) -> Demand {
    let version = RequiredVersion::Exactly(Some(version.into()));
    Demand { version, ..demand(no, now, "alder", no, 100) }
}

fn ask(stream: Option<&str>) -> OriginRequest {
    OriginRequest { number: 1, stream: stream.map(stream_key), service: Some("engine".into()) }
}

fn version_of(origin: StreamOrigin) -> Option<Version> {
    match origin {
        StreamOrigin::Begun { version, .. } => version,
        StreamOrigin::Unknown => None,
    }
}

/// Guards against a stream that goes on at the least loaded upstream, whatever its version.
#[test]
fn a_stream_goes_on_only_at_its_version() {
    let mut traffic = traffic(1e9, 0);
    let now = Millis(100);
    let listing = vec![engine("old", "v1", 1), engine("new", "v2", 1), engine("newer", "v2", 1)];
    traffic.set_listing(now, listing);
    for no in 0..20 {
        let upstream = assigned_upstream(traffic.admit(now, going_on(no, now, "v1")));
        assert_eq!(upstream, Some(UpstreamName::from("old")), "stream {no}");
        traffic.on_end(now, no, SendEnd::Answered);
    }
    let gone = traffic.admit(now, going_on(30, now, "v0"));
    let Some(Verdict::Refuse { code, retry_after }) = gone else { panic!("{gone:?}") };
    assert_eq!(code, Code::NoUpstreamOfVersion);
    assert!(retry_after > Millis::ZERO);
}

/// Guards against a stream that is sent to an upstream that has restarted at another version under
/// the same name since the stream was placed.
#[test]
fn a_stream_is_not_sent_to_the_next_incarnation() {
    let mut traffic = traffic(1e9, 0);
    let now = Millis(100);
    traffic.set_listing(now, vec![engine("one", "v1", 1)]);
    assert!(assigned_upstream(traffic.admit(now, going_on(1, now, "v1"))).is_some());
    assert!(traffic.may_send(now, 1));
    traffic.set_listing(Millis(200), vec![engine("one", "v2", 2)]);
    assert!(!traffic.may_send(Millis(200), 1));
}

/// Guards against an entry that doesn't know of the streams that another one began, and against one
/// that takes a stream for its own version's because no other version is listed any more.
#[test]
fn an_entry_knows_the_streams_that_others_began() {
    let (mut first, mut second) = (traffic(1e9, 0), traffic(1e9, 0));
    let now = Millis(100);
    for traffic in [&mut first, &mut second] {
        traffic.set_listing(now, vec![engine("one", "v1", 1), engine("two", "v2", 1)]);
    }
    let version = Version::from("v1");
    first.on_stream_begun(now, "a-request", &"engine".into(), Some(&version));
    let report = first.take_report(now);
    second.on_report(now, "e-127.0.0.9".into(), report);
    second.set_listing(Millis(200), vec![engine("two", "v2", 1)]);
    let origin = second.origin(Millis(300), &ask(Some("a-request")));
    assert_eq!(version_of(origin), Some(version));
    assert!(first.take_report(now).begun.is_empty(), "a stream is reported twice");
}

/// Applies a list every second from one time to another.
fn list_each_second(traffic: &mut Traffic, from: Millis, to: Millis, listing: &[ListedUpstream]) {
    for at in (from.0..=to.0).step_by(1_000) {
        traffic.set_listing(Millis(at), listing.to_vec());
    }
}

/// Guards against a guess at the version of a stream that nobody knows: only a service that had one
/// version for as long as a stream can last needs no record.
#[test]
fn a_stream_that_nobody_knows_has_a_version_only_if_the_service_had_just_one() {
    let mut traffic: Traffic = traffic(1e9, 0);
    let origin = |traffic: &Traffic, at| version_of(traffic.origin(at, &ask(None)));
    let both = [engine("one", "v1", 1), engine("two", "v2", 1)];
    let [one, two] = both.clone();
    traffic.set_listing(Millis(100), vec![one.clone()]);
    assert_eq!(origin(&traffic, Millis(200)), None, "right after the start");
    list_each_second(&mut traffic, Millis(1_000), STREAM_LIFETIME, &[one]);
    traffic.set_listing(STREAM_LIFETIME, both.to_vec());
    assert_eq!(origin(&traffic, STREAM_LIFETIME), None, "two versions");
    let later = STREAM_LIFETIME + Millis(1_000);
    traffic.set_listing(later, vec![two.clone()]);
    assert_eq!(origin(&traffic, later), None, "two versions a moment ago");
    let much_later = later + STREAM_LIFETIME;
    list_each_second(&mut traffic, later, much_later, &[two]);
    assert_eq!(origin(&traffic, much_later), Some(Version::from("v2")));
}

/// Guards against an entry that was out of step for seconds and takes the only version on its list for
/// the only one there was meanwhile.
#[test]
fn a_list_that_did_not_arrive_for_seconds_shows_no_only_version() {
    let mut traffic: Traffic = traffic(1e9, 0);
    let origin = |traffic: &Traffic, at| version_of(traffic.origin(at, &ask(None)));
    let one = [engine("one", "v1", 1)];
    let known = STREAM_LIFETIME + Millis(1_000);
    list_each_second(&mut traffic, Millis(1_000), known, &one);
    assert_eq!(origin(&traffic, known), Some(Version::from("v1")));
    let back = known + Millis(5_000);
    assert_eq!(origin(&traffic, back), None, "the list is old");
    traffic.set_listing(back, one.to_vec());
    assert_eq!(origin(&traffic, back), None, "a version may have come and gone");
    let long_back = back + STREAM_LIFETIME;
    list_each_second(&mut traffic, back, long_back, &one);
    assert_eq!(origin(&traffic, long_back), Some(Version::from("v1")));
}
