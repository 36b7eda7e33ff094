//! Tests the state machine of an entry directly.

use kingcupgrade::{
    coordination::{
        entry::{Arrival, EntryMachine, EntryOutput},
        view::View,
    },
    core::{Code, Document, Instance, Millis},
    protocol::{
        Pool,
        dispatch::{DispatchBody, DispatchMessage, Grant, GrantId, Session},
    },
};

use crate::support::orders_document;

// Guards against sending a deposit whose claim is granted only after the caller's deadline because
// the record is slow. If it were sent then, it could only time out with an unknown outcome; unsent,
// it certainly has not run.
#[test]
fn a_claim_that_comes_after_the_deadline_sends_nothing() {
    let document = Document::parse(&orders_document()).expect("a valid document");
    let pool = Pool("orders".into(), "north".into());
    let holder = Instance::from("entry-1");
    let mut entry = EntryMachine::new("north".into(), 1);
    let mut out = Vec::new();
    entry.ensure_session(Millis(0), pool.clone(), &holder, 1, None, &mut out);
    let arrival = Arrival {
        id: 7,
        service: "orders".into(),
        organisation: "alder".into(),
        bytes: 2,
        idempotent: false,
        needs_claim: true,
    };
    entry.admit(Millis(0), arrival, &document, &mut out);
    let grant = Grant {
        id: GrantId(1, 1),
        organisation: "alder".into(),
        upstream: "orders-0".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    let session = Session(1, 1).tag();
    let body = DispatchBody::Grants { session, last_report: 0, grants: vec![grant] };
    let message = DispatchMessage { pool, term: 1, origin: None, body };
    entry.on_message(Millis(10), &View::default(), &holder, &message, &mut out);
    assert!(out.iter().any(|output| matches!(output, EntryOutput::Claim(7))));
    out.clear();
    let late = Millis(document.limits.deadline_ms + 1);
    assert!(entry.on_claimed(late, 7, Ok(()), &mut out), "the claim is not released");
    let given_up = |o: &EntryOutput| {
        matches!(o, EntryOutput::GiveUp { id: 7, code: Code::DeadlineQueued, .. })
    };
    assert!(out.iter().any(given_up), "{out:?}");
    assert!(!out.iter().any(|output| matches!(output, EntryOutput::Start { .. })), "{out:?}");
}
