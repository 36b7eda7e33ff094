//! Tests how an entry goes by what upstreams ask for on their answers: no requests for some time,
//! or no new ones at all.

use std::collections::BTreeMap;

use kingcup_support::traffic::{ENGINE_SLOTS, listed};
use kingcupgrade::{
    coordination::{
        dispatcher::{
            Dispatcher, DispatcherOutput,
            slots::{self, Listed},
        },
        notices::{Notices, SLOW_START, UpstreamNotice, slot_share},
        traffic::{ReportedLoad, SendEnd, Traffic, Verdict},
    },
    core::{Code, Document, Instance, Millis, UpstreamName},
    protocol::{
        Pool,
        dispatch::{
            DispatchBody, DispatchMessage, FinishedGrant, GrantId, GrantOutcome, QueuedRequests,
            ReportedNotice, Session,
        },
        fleet::ListedUpstream,
    },
};

use crate::{
    support::tutor_document,
    traffic::{assigned_upstream, demand, entry_names, finish, plain, traffic, traffic_for_entry},
};

const DELAY: Millis = Millis(3_000);
const LEAVING: UpstreamNotice = UpstreamNotice { backoff: None, is_leaving: true };
/// The incarnation that [`listed`] gives every upstream.
const INCARNATION: u64 = 1;

fn backoff(delay: Millis) -> UpstreamNotice {
    UpstreamNotice { backoff: Some(delay), is_leaving: false }
}

fn notice(traffic: &mut Traffic, now: Millis, upstream: &str, notice: UpstreamNotice) {
    traffic.on_notice(now, &UpstreamName::from(upstream), INCARNATION, notice);
}

fn engines(names: &[&str]) -> Vec<ListedUpstream> {
    names.iter().map(|name| listed("engine", name, Millis::ZERO)).collect()
}

/// Returns the upstream of a request that is sent at once and ends at once.
fn send(traffic: &mut Traffic, no: u64, now: Millis) -> Option<UpstreamName> {
    let upstream = assigned_upstream(traffic.admit(now, demand(no, now, "alder", no, 100)));
    match upstream {
        Some(_) => finish(traffic, now, no),
        None => traffic.cancel_waiting(no),
    }
    upstream
}

/// Guards against an upstream that has asked for no requests and gets one because all the others
/// look broken: those are tried before it.
#[test]
fn an_upstream_that_backs_off_is_no_way_out_when_the_others_look_broken() {
    let mut traffic = traffic(1e9, 3);
    notice(&mut traffic, Millis(100), "engine-1", backoff(DELAY));
    let mut sent: BTreeMap<UpstreamName, usize> = BTreeMap::new();
    for step in 0..200 {
        let now = Millis(110 + step * 10);
        let verdict = traffic.admit(now, demand(step, now, "alder", step, 100));
        match assigned_upstream(verdict) {
            Some(upstream) => {
                *sent.entry(upstream).or_default() += 1;
                traffic.on_end(now, step, SendEnd::Unreachable);
            }
            None => traffic.cancel_waiting(step),
        }
    }
    assert!(sent.values().sum::<usize>() > 4, "the others were not tried: {sent:?}");
    assert!(!sent.contains_key(&UpstreamName::from("engine-1")), "{sent:?}");
}

/// Guards against a waiting request that waits on, or is sent, when all upstreams have asked for no
/// requests since it began to wait: it is refused at once with the time left.
#[test]
fn a_waiting_request_is_refused_once_every_upstream_backs_off() {
    let mut traffic = traffic(1e9, 1);
    let now = Millis(100);
    for n in 0..3 {
        let load = ReportedLoad { running: 6, waiting: 20, slowdown: None };
        traffic.on_load(now, &UpstreamName::from(format!("plain-{n}").as_str()), load);
    }
    assert_eq!(traffic.admit(now, plain(1, now, "alder")), None);
    for (n, delay) in [(0, 5_000), (1, 3_000), (2, 4_000)] {
        notice(&mut traffic, Millis(110), &format!("plain-{n}"), backoff(Millis(delay)));
    }
    let mut verdicts = Vec::new();
    traffic.poll(Millis(170), &mut verdicts);
    let refused =
        Verdict::Refuse { code: Code::UpstreamsBackingOff, retry_after: Millis(3_000 - 60) };
    assert_eq!(verdicts, vec![(1, refused.clone())]);
    let refused_later = traffic.admit(Millis(170), plain(2, Millis(170), "alder"));
    assert_eq!(refused_later, Some(refused));
    let is_served = traffic.admit(Millis(3_111), plain(3, Millis(3_111), "alder"));
    assert_eq!(assigned_upstream(is_served), Some(UpstreamName::from("plain-1")));
}

/// Guards against a request that was granted an upstream, waited for a connection or for the
/// processor, and is sent although the upstream has asked for no requests meanwhile.
#[test]
fn a_grant_from_before_the_notice_is_not_used() {
    for asked in [backoff(DELAY), LEAVING] {
        let mut traffic = traffic(1e9, 1);
        let now = Millis(100);
        assert!(assigned_upstream(traffic.admit(now, demand(1, now, "alder", 1, 100))).is_some());
        assert!(traffic.may_send(now, 1));
        notice(&mut traffic, Millis(120), "engine-0", asked);
        assert!(!traffic.may_send(Millis(130), 1), "{asked:?}");
    }
}

/// Guards against notices that are forgotten with the list: when it is replaced, when the upstream
/// is missing from it for a moment, or when it shows the upstream at another address.
#[test]
fn a_notice_outlives_lists_without_the_upstream() {
    for asked in [backoff(Millis(30_000)), LEAVING] {
        let mut traffic = traffic(1e9, 0);
        traffic.set_listing(Millis(0), engines(&["a", "b"]));
        notice(&mut traffic, Millis(100), "b", asked);
        traffic.set_listing(Millis(200), engines(&["a"]));
        let mut moved = engines(&["a", "b"]);
        moved[1].address = "127.0.0.1:10".parse().expect("an address");
        traffic.set_listing(Millis(300), moved);
        for no in 0..50 {
            let upstream = send(&mut traffic, no, Millis(400 + no * 10));
            assert_eq!(upstream, Some(UpstreamName::from("a")), "{asked:?}");
        }
    }
}

/// Guards against an upstream that was listed as leaving and gets requests again because a list
/// that is late shows it as ready, also after it was missing for a moment.
#[test]
fn an_upstream_listed_as_leaving_does_not_come_back_by_a_late_list() {
    let mut traffic = traffic(1e9, 0);
    let mut leaving = engines(&["a", "b"]);
    leaving[1].is_ready = false;
    for (at, listing) in [leaving, engines(&["a"]), engines(&["a", "b"])].into_iter().enumerate() {
        traffic.set_listing(Millis(at as u64 * 100), listing);
    }
    for no in 0..50 {
        let upstream = send(&mut traffic, no, Millis(400 + no * 10));
        assert_eq!(upstream, Some(UpstreamName::from("a")));
    }
}

/// Guards against a new incarnation that gets no requests because of what the one before it, or an
/// answer of that one that arrives late, has asked for.
#[test]
fn a_new_incarnation_has_asked_for_nothing() {
    for asked in [backoff(Millis(600_000)), LEAVING] {
        let mut traffic = traffic(1e9, 0);
        traffic.set_listing(Millis(0), engines(&["a"]));
        notice(&mut traffic, Millis(100), "a", asked);
        assert_eq!(send(&mut traffic, 1, Millis(200)), None);
        let mut restarted = engines(&["a"]);
        restarted[0].started_unix_ms = INCARNATION + 1;
        traffic.set_listing(Millis(300), restarted);
        notice(&mut traffic, Millis(310), "a", asked);
        assert!(send(&mut traffic, 2, Millis(400)).is_some(), "{asked:?}");
    }
}

/// Guards against entries that all send to an upstream at once when its backoff ends: it looks idle
/// to each of them, and would be overloaded again. What all entries run there together rises over
/// the slow start, in a small fleet as in one with more entries than the upstream has slots; after
/// that nothing limits it.
#[test]
fn the_end_of_a_backoff_brings_no_rush() {
    for entries in [1, 7, 195] {
        let end = Millis(100) + DELAY;
        let (quarter, whole) = (Millis(SLOW_START.0 / 4), SLOW_START);
        let at_once = running_after_backoff(entries, end);
        let early = running_after_backoff(entries, end + quarter);
        let later = running_after_backoff(entries, end + whole);
        assert!((1..=1).contains(&at_once), "{entries} entries run {at_once} at the end");
        assert!(early <= ENGINE_SLOTS as usize / 4, "{entries} entries run {early} soon after");
        assert!(later > ENGINE_SLOTS as usize / 2, "{entries} entries run only {later} later");
    }
}

/// Returns how many requests all entries together run at an upstream at `at`, each with enough of
/// them to fill it alone. The upstream has asked each for a delay from 100 ms on.
fn running_after_backoff(entries: usize, at: Millis) -> usize {
    let names = entry_names(entries);
    let mut running = 0;
    for entry in 0..entries {
        let mut traffic = traffic_for_entry(entry, 1e9, 0);
        traffic.set_entries(names.clone());
        traffic.set_listing(Millis(0), engines(&["a"]));
        notice(&mut traffic, Millis(100), "a", backoff(DELAY));
        for no in 0..u64::from(ENGINE_SLOTS) {
            let verdict = traffic.admit(at, demand(no, at, "alder", 1, 1));
            running += usize::from(assigned_upstream(verdict).is_some());
        }
    }
    running
}

/// Guards against notices that pile up over the restarts of months, and against a backoff that is
/// dropped before it ends: only what is unseen for long and asks for nothing any more is dropped.
#[test]
fn notices_of_incarnations_unseen_for_long_are_dropped() {
    let (hour, name) = (Millis(3_600_000), UpstreamName::from("a"));
    let mut notices = Notices::default();
    notices.on_notice(Millis(0), &name, 1, LEAVING);
    notices.on_notice(Millis(0), &name, 2, LEAVING);
    notices.on_notice(Millis(0), &name, 3, backoff(hour));
    notices.on_listing(Millis(500_000), [(&name, 2, false)].into_iter());
    notices.expire(Millis(700_000));
    let takes = |incarnation| notices.state(&name, incarnation).takes_requests(Millis(700_000));
    assert_eq!([1, 2, 3].map(takes), [true, false, false]);
}

/// A dispatcher with one warm engine, and an entry where requests wait.
struct PoolDriver {
    dispatcher: Dispatcher,
    entry: Instance,
    session: Session,
    seq: u64,
    /// Grants in use.
    granted: Vec<GrantId>,
    received: u64,
}

impl PoolDriver {
    fn start() -> PoolDriver {
        let entry = Instance::from("entry-1");
        let pool = Pool("tutor".into(), "north".into());
        let document = Document::parse(&tutor_document()).expect("a valid document");
        let holder = Instance::from("entry-0");
        let mut dispatcher = Dispatcher::new(Millis(0), pool, holder, 1, document, Vec::new());
        let session = Session(1, 1);
        let waiting = vec![QueuedRequests("alder".into(), 1_000)];
        let open = DispatchBody::Open { session, waiting, held: Vec::new() };
        let mut out = Vec::new();
        dispatcher.on_message(Millis(1_000), &entry, 1, &open, &mut out);
        let listed = Listed {
            upstream: "engine".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            leaving: false,
            incarnation: INCARNATION,
            report: Some(slots::LoadReport { running: 0, warm: true, age_ms: 0 }),
            version: None,
        };
        dispatcher.on_listing(Millis(1_000), &[listed], &mut out);
        let mut driver =
            PoolDriver { dispatcher, entry, session, seq: 0, granted: Vec::new(), received: 0 };
        driver.collect(&out);
        driver
    }

    fn collect(&mut self, out: &[DispatcherOutput]) {
        for output in out {
            if let DispatcherOutput::Send(_, DispatchMessage { body, .. }) = output
                && let DispatchBody::Grants { grants, .. } = body
            {
                self.received += grants.len() as u64;
                self.granted.extend(grants.iter().map(|grant| grant.id));
            }
        }
    }

    /// Completes the grants in use and reports a notice; returns how many are in use after that.
    fn report(&mut self, now: Millis, notices: Vec<ReportedNotice>) -> usize {
        self.seq += 1;
        let done = |id| FinishedGrant {
            id,
            outcome: GrantOutcome::Completed,
            cost: 10,
            first_byte_ms: Some(5),
            may_run: false,
        };
        let report = DispatchBody::Report {
            session: self.session.tag(),
            seq: self.seq,
            received: self.received,
            waiting: Vec::new(),
            finished: std::mem::take(&mut self.granted).into_iter().map(done).collect(),
            progress: Vec::new(),
            notices,
            begun: Vec::new(),
        };
        let mut out = Vec::new();
        self.dispatcher.on_message(now, &self.entry, 1, &report, &mut out);
        self.collect(&out);
        self.granted.len()
    }

    /// Lets time pass; returns how many grants are in use after that.
    fn tick(&mut self, now: Millis) -> usize {
        let mut out = Vec::new();
        self.dispatcher.tick(now, &mut out);
        self.collect(&out);
        self.granted.len()
    }
}

/// Guards against a dispatcher that grants slots of an upstream within a backoff that an entry has
/// reported, and against one that gives it its full load at once when that ends: it starts from the
/// cold limit again, also if the answer that asked was no rejection.
#[test]
fn a_dispatcher_keeps_a_backoff_and_starts_from_the_cold_limit() {
    let mut driver = PoolDriver::start();
    let full = (0..10).map(|step| driver.report(Millis(1_100 + step * 10), Vec::new())).last();
    assert_eq!(full, Some(4), "the engine is not given its warm limit");
    let asked = ReportedNotice {
        upstream: "engine".into(),
        incarnation: INCARNATION,
        backoff_left: Millis(1_000),
        is_leaving: false,
    };
    assert_eq!(driver.report(Millis(1_300), vec![asked]), 0);
    assert_eq!(driver.tick(Millis(2_290)), 0, "a slot was granted within the backoff");
    assert_eq!(driver.tick(Millis(2_310)), 2, "the engine is not given its cold limit");
}

/// Guards against parts of an upstream's slots that add up to more, or fewer, than it has.
#[test]
fn the_parts_of_all_entries_add_up_to_the_slots() {
    for (slots, count) in [(1, 7), (6, 7), (64, 7), (12, 195), (128, 3)] {
        let names = entry_names(count);
        for upstream in ["a", "b"].map(UpstreamName::from) {
            let parts = names.iter().map(|entry| slot_share(slots, &upstream, entry, &names));
            assert_eq!(parts.sum::<u32>(), slots, "{count} entries");
        }
    }
}
