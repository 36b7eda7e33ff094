//! Tests the order in which a dispatcher serves the entries at which an organisation's requests wait.

use kingcupgrade::{
    coordination::dispatcher::{
        Dispatcher, DispatcherOutput,
        slots::{self, Listed},
    },
    core::{Document, Instance, Millis},
    protocol::{
        Pool,
        dispatch::{
            DispatchBody, DispatchMessage, FinishedGrant, GrantId, GrantOutcome, QueuedRequests,
            Session,
        },
    },
};

use crate::support::tutor_document;

/// An entry whose callers each send their next request when the previous one has ended.
struct Entry {
    name: Instance,
    session: Session,
    seq: u64,
    waiting: u32,
    held: Vec<GrantId>,
    received: u64,
}

/// A dispatcher with one warm engine, and entries where requests of one organisation wait.
struct Driver {
    dispatcher: Dispatcher,
    entries: Vec<Entry>,
    now: Millis,
}

impl Driver {
    /// Starts with an entry for each number of callers.
    fn start(callers: &[u32]) -> Driver {
        let pool = Pool("tutor".into(), "north".into());
        let document = Document::parse(&tutor_document()).expect("a valid document");
        let holder = Instance::from("dispatcher");
        let dispatcher = Dispatcher::new(Millis(0), pool, holder, 1, document, Vec::new());
        let entries = callers.iter().zip(1..).map(|(callers, no)| Entry {
            name: format!("entry-{no}").as_str().into(),
            session: Session(no, 1),
            seq: 0,
            waiting: *callers,
            held: Vec::new(),
            received: 0,
        });
        let entries = entries.collect();
        let mut driver = Driver { dispatcher, entries, now: Millis(1_000) };
        for no in 0..driver.entries.len() {
            let entry = &driver.entries[no];
            let waiting = vec![QueuedRequests("alder".into(), entry.waiting)];
            driver.send(
                no,
                &DispatchBody::Open { session: entry.session, waiting, held: Vec::new() },
            );
        }
        let listed = Listed {
            upstream: "engine".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            leaving: false,
            incarnation: 1,
            report: Some(slots::LoadReport { running: 0, warm: true, age_ms: 0 }),
            version: None,
        };
        let mut out = Vec::new();
        driver.dispatcher.on_listing(driver.now, &[listed], &mut out);
        driver.collect(out);
        driver
    }

    fn send(&mut self, no: usize, body: &DispatchBody) {
        let mut out = Vec::new();
        let from = self.entries[no].name.clone();
        self.dispatcher.on_message(self.now, &from, 1, body, &mut out);
        self.collect(out);
    }

    fn collect(&mut self, out: Vec<DispatcherOutput>) {
        for output in out {
            let DispatcherOutput::Send(to, DispatchMessage { body, .. }) = output else { continue };
            let DispatchBody::Grants { grants, .. } = body else { continue };
            let entry = self.entries.iter_mut().find(|entry| entry.name == to);
            let entry = entry.expect("an entry that asked");
            entry.received += grants.len() as u64;
            entry.waiting -= grants.len() as u32;
            entry.held.extend(grants.iter().map(|grant| grant.id));
        }
    }

    /// Ends the requests that run, entry by entry; their callers send the next ones.
    fn end_all(&mut self) {
        for no in 0..self.entries.len() {
            self.now = self.now + Millis(10);
            let entry = &mut self.entries[no];
            let done = |id| FinishedGrant {
                id,
                outcome: GrantOutcome::Completed,
                cost: 10,
                first_byte_ms: Some(5),
                may_run: false,
            };
            entry.seq += 1;
            entry.waiting += entry.held.len() as u32;
            let report = DispatchBody::Report {
                session: entry.session.tag(),
                seq: entry.seq,
                received: entry.received,
                waiting: vec![QueuedRequests("alder".into(), entry.waiting)],
                finished: std::mem::take(&mut entry.held).into_iter().map(done).collect(),
                progress: Vec::new(),
                notices: Vec::new(),
                begun: Vec::new(),
            };
            self.send(no, &report);
        }
    }

    /// Returns how many requests of each entry have been granted a slot.
    fn granted(&self) -> Vec<u64> {
        self.entries.iter().map(|entry| entry.received).collect()
    }
}

/// Guards against callers who wait until their deadline because they came in through one entry,
/// while callers of the same organisation at other entries are served all the time.
#[test]
fn entries_with_as_many_callers_are_served_alike() {
    let mut driver = Driver::start(&[3, 3, 3]);
    (0..100).for_each(|_| driver.end_all());
    let granted = driver.granted();
    let least = granted.iter().sum::<u64>() / 3 * 8 / 10;
    assert!(granted.iter().all(|count| *count >= least), "{granted:?}");
}

/// Guards against a caller at an entry with few requests who waits for as long as another entry has
/// more: each request has to wait about as long, wherever it waits.
#[test]
fn a_short_queue_gets_its_turn_beside_a_long_one() {
    let mut driver = Driver::start(&[20, 1]);
    (0..200).for_each(|_| driver.end_all());
    let granted = driver.granted();
    let per_caller = [granted[0] / 20, granted[1]];
    assert!(per_caller[1] * 2 >= per_caller[0], "{granted:?}");
    assert!(per_caller[1] <= per_caller[0] * 2, "{granted:?}");
}
