//! Tests the state machine of an entry directly.

use kingcupgrade::{
    coordination::{
        entry::{Arrival, EntryMachine, EntryOutput, RequestId},
        notices::UpstreamNotice,
        view::View,
    },
    core::{Code, Document, Instance, Millis, RequestDigest},
    protocol::{
        Pool,
        crash::{BarredCause, CrashCause, CrashNews},
        dispatch::{DispatchBody, DispatchMessage, Grant, GrantId, Session},
    },
};

use crate::support::orders_document;

/// An entry that asks for the claim of a deposit, request 7, under its first grant.
struct ClaimingEntry {
    entry: EntryMachine,
    document: Document,
    pool: Pool,
    holder: Instance,
}

impl ClaimingEntry {
    fn start() -> ClaimingEntry {
        let document = Document::parse(&orders_document()).expect("a valid document");
        let pool = Pool("orders".into(), "north".into());
        let holder = Instance::from("entry-1");
        let mut entry = EntryMachine::new("entry-1".into(), "north".into(), 1, Vec::new());
        let mut out = Vec::new();
        entry.ensure_session(Millis(0), pool.clone(), &holder, 1, None, &mut out);
        let mut claiming = ClaimingEntry { entry, document, pool, holder };
        claiming.arrive(7, true, &mut out);
        claiming.grant(Millis(10), 1, &mut out);
        assert!(out.iter().any(|output| matches!(output, EntryOutput::Claim(7))));
        claiming
    }

    fn arrive(&mut self, id: RequestId, needs_claim: bool, out: &mut Vec<EntryOutput>) {
        let arrival = Arrival {
            id,
            digest: RequestDigest(id),
            service: "orders".into(),
            organisation: "alder".into(),
            bytes: 2,
            idempotent: false,
            needs_claim,
        };
        self.entry.admit(Millis(0), arrival, &self.document, out);
    }

    fn grant(&mut self, now: Millis, number: u64, out: &mut Vec<EntryOutput>) {
        let grant = Grant {
            id: GrantId(1, number),
            organisation: "alder".into(),
            upstream: "orders-0".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            incarnation: 1,
            version: None,
        };
        let session = Session(1, 1).tag();
        let body = DispatchBody::Grants { session, last_report: 0, grants: vec![grant] };
        let message = DispatchMessage { pool: self.pool.clone(), term: 1, origin: None, body };
        self.entry.on_message(now, &View::default(), &self.holder, &message, out);
    }
}

// Guards against sending a deposit whose claim took a moment to an upstream that has asked for no
// requests meanwhile, and against using a grant that was on its way by then: the deposit waits for
// another slot, and the dispatcher is told.
#[test]
fn a_claim_that_comes_after_a_notice_sends_nothing() {
    let mut claiming = ClaimingEntry::start();
    let mut out = Vec::new();
    claiming.arrive(8, false, &mut out);
    claiming.grant(Millis(20), 2, &mut out);
    assert!(out.iter().any(|output| matches!(output, EntryOutput::Start { id: 8, .. })));
    out.clear();
    let notice = UpstreamNotice { backoff: Some(Millis(1_000)), is_leaving: false };
    claiming.entry.on_notice(Millis(30), 8, notice, &mut out);
    let must_be_released = claiming.entry.on_claimed(Millis(40), 7, Ok(()), &mut out);
    assert!(!must_be_released && claiming.entry.is_open(7), "the deposit is lost");
    claiming.grant(Millis(50), 3, &mut out);
    claiming.entry.report(Millis(100), &mut out);
    assert!(!out.iter().any(|output| matches!(output, EntryOutput::Start { .. })), "{out:?}");
    let is_told = |output: &EntryOutput| match output {
        EntryOutput::Send(_, DispatchMessage { body, .. }) => {
            matches!(body, DispatchBody::Report { notices, .. } if notices.len() == 1)
        }
        _ => false,
    };
    assert!(out.iter().any(is_told), "{out:?}");
    claiming.grant(Millis(1_040), 4, &mut out);
    assert!(out.iter().any(|output| matches!(output, EntryOutput::Start { id: 7, .. })));
}

// Guards against sending a deposit whose claim is granted only after the caller's deadline because
// the record is slow. If it were sent then, it could only time out with an unknown outcome; unsent,
// it certainly has not run.
#[test]
fn a_claim_that_comes_after_the_deadline_sends_nothing() {
    let ClaimingEntry { mut entry, document, .. } = ClaimingEntry::start();
    let mut out = Vec::new();
    let late = Millis(document.limits.deadline_ms + 1);
    assert!(entry.on_claimed(late, 7, Ok(()), &mut out), "the claim is not released");
    let given_up = |o: &EntryOutput| {
        matches!(o, EntryOutput::GiveUp { id: 7, code: Code::DeadlineQueued, .. })
    };
    assert!(out.iter().any(given_up), "{out:?}");
    assert!(!out.iter().any(|output| matches!(output, EntryOutput::Start { .. })), "{out:?}");
}

/// Guards against sending a deposit whose claim took a moment after another entry has found that it
/// crashes upstreams, and against keeping its key claimed though it was not sent.
#[test]
fn a_claim_that_comes_after_the_request_was_blamed_sends_nothing() {
    let mut claiming = ClaimingEntry::start();
    let mut out = Vec::new();
    let cause = CrashCause::Request(RequestDigest(7));
    let barred = vec![BarredCause { cause, age: Millis::ZERO }];
    let news = CrashNews { barred, ..CrashNews::default() };
    claiming.entry.on_crash_news(Millis(20), news, &mut out);
    assert!(
        claiming.entry.on_claimed(Millis(40), 7, Ok(()), &mut out),
        "the claim is not released"
    );
    let given_up =
        |o: &EntryOutput| matches!(o, EntryOutput::GiveUp { id: 7, code: Code::RequestBarred, .. });
    assert!(out.iter().any(given_up), "{out:?}");
    assert!(!out.iter().any(|output| matches!(output, EntryOutput::Start { .. })), "{out:?}");
}

/// Guards against a request that waits for a slot after it was found to crash upstreams: its caller
/// would wait for nothing, until the deadline.
#[test]
fn a_request_that_waits_is_refused_once_it_is_blamed() {
    let mut claiming = ClaimingEntry::start();
    let mut out = Vec::new();
    claiming.arrive(8, false, &mut out);
    let cause = CrashCause::Request(RequestDigest(8));
    let barred = vec![BarredCause { cause, age: Millis::ZERO }];
    let news = CrashNews { barred, ..CrashNews::default() };
    claiming.entry.on_crash_news(Millis(20), news, &mut out);
    let given_up = |o: &EntryOutput| match o {
        EntryOutput::GiveUp { id: 8, code, retry_after } => {
            *code == Code::RequestBarred && *retry_after > Millis::ZERO
        }
        _ => false,
    };
    assert!(out.iter().any(given_up), "{out:?}");
    assert!(!claiming.entry.is_open(8));
}
