//! Measures the cost of one instance of each role, on its state machines alone.
//!
//! Each state machine gets the messages of its role at growing sizes. docs/CAPACITY.md multiplies
//! the resulting slopes by the size of the target fleet.

use std::{
    collections::BTreeMap, env, fs, hint::black_box, net::SocketAddr, process::Command,
    time::Instant,
};

use kingcup_support::fleet::document;
use kingcupgrade::{
    coordination::{
        dispatcher::{
            Dispatcher, DispatcherOutput,
            slots::{Listed, LoadReport},
        },
        entry::{Arrival, AttemptEnd, EntryMachine, EntryOutput},
        node::{Input, Node},
        view::View,
    },
    core::{Document, Instance, Millis, Organisation, RequestDigest, settings::Role},
    protocol::{
        Message, Pool,
        consensus::{LogEntry, Payload},
        dispatch::{
            DispatchBody, DispatchMessage, FinishedGrant, Grant, GrantId, GrantOutcome,
            QueuedRequests, Session,
        },
        frame::Channel,
        record::{ClaimId, Command as Change, RecordMessage, RequestKey, Settlement, StoredAnswer},
    },
    state::record::Record,
};
use serde_json::{Value, json};

use crate::synthetic::{self, FLEET_KEY, SERVICES, names};

/// Organisations at the smallest size; the other sizes are 4 and 16 times that.
const BASE_ORGANISATIONS: usize = 306;
/// Request keys at the smallest size.
const BASE_KEYS: usize = 4_000;
/// Entries of a failure domain in the target fleet.
const ENTRIES: usize = 32;
/// Upstreams of a pool in the target fleet.
const UPSTREAMS: usize = 24;
/// Slots of an upstream.
const SLOTS: u32 = 8;
/// Requests that a state machine handles in one measurement.
const REQUESTS: u64 = 20_000;

/// The parts that can be measured.
const PARTS: [&str; 4] = ["entry", "dispatcher", "control", "instance"];

/// Measures all parts at all sizes, prints one JSON object and returns true.
///
/// Each measurement runs in its own process, since the allocator could reuse memory freed by an
/// earlier measurement, which would hide the memory use of the next one.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let mut result = serde_json::Map::new();
    for part in PARTS {
        let mut sizes = Vec::new();
        for factor in ["1", "4", "16"] {
            let output =
                Command::new(env::current_exe()?).args(["slope", part, factor]).output()?;
            sizes.push(serde_json::from_slice::<Value>(&output.stdout)?);
        }
        result.insert(part.to_owned(), sizes.into());
    }
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(true)
}

/// Measures one part at one size, prints one JSON object and returns true.
pub(crate) fn exec_one(part: &str, factor: usize) -> anyhow::Result<bool> {
    let result = match part {
        "entry" => measure_entry(60 * factor),
        "dispatcher" => measure_dispatcher(BASE_ORGANISATIONS * factor),
        "control" => measure_record(BASE_KEYS * factor),
        "instance" => measure_node(BASE_ORGANISATIONS * factor),
        other => anyhow::bail!("unknown part {other}; expected one of {}", PARTS.join(", ")),
    };
    println!("{result}");
    Ok(true)
}

fn tutor_document(names: &[String]) -> Document {
    let organisations: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let rest = format!("slots: {{cold: 2, warm: {SLOTS}}}\nlimits: {{queue_requests: 1000}}\n");
    let text = document("tutor", "model-engine", &organisations, &rest);
    Document::parse(&text).expect("a valid document")
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000))
}

fn pool() -> Pool {
    Pool("tutor".into(), "north".into())
}

/// Returns the resident memory of this process, in bytes.
fn resident_memory() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn wire_len(message: DispatchMessage) -> usize {
    Channel::new(FLEET_KEY, [0; 16]).seal(&Message::Dispatch(message)).len()
}

fn listing() -> Vec<Listed> {
    let names = (0..UPSTREAMS).map(|n| format!("engine-{n}"));
    let listed = names.map(|name| Listed {
        upstream: name.as_str().into(),
        address: address(),
        leaving: false,
        incarnation: 1,
        report: Some(LoadReport { running: 0, warm: true, age_ms: 0 }),
        version: None,
    });
    listed.collect()
}

/// Measures a dispatcher of which every tenth organisation is backlogged: the time of a request's
/// grant and end and of a tick, the size of an exchange, and its memory.
fn measure_dispatcher(organisations: usize) -> Value {
    let names = names(organisations);
    let before = resident_memory();
    let own: Instance = "entry-00".into();
    let entries: Vec<Instance> =
        (0..ENTRIES).map(|n| Instance::from(format!("entry-{n:02}").as_str())).collect();
    let mut dispatcher =
        Dispatcher::new(Millis(0), pool(), own.clone(), 1, tutor_document(&names), entries.clone());
    dispatcher.set_domains(entries.iter().map(|i| (i.clone(), "north".into())));
    let mut out = Vec::new();
    let backlogged: Vec<Organisation> =
        names.iter().step_by(10).map(|name| Organisation::from(name.as_str())).collect();
    let mut now = Millis(1_000);
    for (n, entry) in entries.iter().enumerate() {
        let mine = backlogged.iter().skip(n % 4).step_by(4);
        let waiting = mine.map(|o| QueuedRequests(o.clone(), 1_000_000)).collect();
        let body = DispatchBody::Open { session: Session(1, 1), waiting, held: Vec::new() };
        dispatcher.on_message(now, entry, 1, &body, &mut out);
    }
    dispatcher.on_listing(now, &listing(), &mut out);
    let memory = resident_memory().saturating_sub(before);

    let mut grants = Vec::new();
    let mut seqs: BTreeMap<Instance, (u64, u64)> = BTreeMap::new();
    let (mut messages, mut bytes, mut ended) = (0, 0, 0);
    let start = Instant::now();
    let mut excluded = Instant::now().elapsed();
    while ended < REQUESTS {
        for output in out.drain(..) {
            let DispatcherOutput::Send(entry, message) = output else { continue };
            if let DispatchBody::Grants { grants: new, .. } = &message.body {
                seqs.entry(entry.clone()).or_default().1 += new.len() as u64;
                grants.extend(new.iter().map(|grant| (entry.clone(), grant.id)));
            }
            // Encoding messages does not count as time of the dispatcher.
            let excluded_start = Instant::now();
            messages += 1;
            bytes += wire_len(message);
            excluded += excluded_start.elapsed();
        }
        now = now + Millis(1);
        let Some((entry, id)) = grants.pop() else {
            dispatcher.on_listing(now, &listing(), &mut out);
            dispatcher.tick(now, &mut out);
            continue;
        };
        let (seq, received) = seqs.entry(entry.clone()).or_default();
        *seq += 1;
        let body = DispatchBody::Report {
            session: Session(1, 1).tag(),
            seq: *seq,
            received: *received,
            waiting: Vec::new(),
            finished: vec![FinishedGrant {
                id,
                outcome: GrantOutcome::Completed,
                cost: 300,
                first_byte_ms: Some(400),
                may_run: false,
            }],
            progress: Vec::new(),
            notices: Vec::new(),
            begun: Vec::new(),
        };
        dispatcher.on_message(now, &entry, 1, &body, &mut out);
        ended += 1;
    }
    let per_request = (start.elapsed() - excluded).as_secs_f64() * 1e6 / ended as f64;
    out.clear();
    let start = Instant::now();
    for _ in 0..200 {
        now = now + Millis(10);
        dispatcher.tick(now, &mut out);
    }
    let per_tick = start.elapsed().as_secs_f64() * 1e6 / 200.0;
    let exchanges: Vec<usize> = out
        .drain(..)
        .filter_map(|output| match output {
            DispatcherOutput::SendToRemoteDispatchers(message) => Some(wire_len(message)),
            _ => None,
        })
        .collect();
    json!({
        "organisations": organisations,
        "backlogged": backlogged.len(),
        "entries": ENTRIES,
        "us_per_request": per_request,
        "us_per_tick": per_tick,
        "bytes_out_per_request": bytes as f64 / ended as f64,
        "messages_out_per_request": f64::from(messages) / ended as f64,
        "exchange_bytes_max": exchanges.iter().max(),
        "memory_bytes": memory,
        "memory_bytes_per_organisation": memory as f64 / organisations as f64,
    })
}

/// Measures an entry with `open` requests in flight: the time of a request from arrival to end, the
/// bytes that it sends, and its memory.
fn measure_entry(open: usize) -> Value {
    let names = names(BASE_ORGANISATIONS);
    let document = tutor_document(&names);
    let view = View::default();
    let holder: Instance = "entry-01".into();
    let mut entry_machine = EntryMachine::new("entry-1".into(), "north".into(), 1, Vec::new());
    let mut out = Vec::new();
    let mut now = Millis(1_000);
    entry_machine.ensure_session(now, pool(), &holder, 1, None, &mut out);
    let session = Session(1, 1).tag();
    let before = resident_memory();
    let (mut next, mut bytes, mut messages) = (1_u64, 0, 0);
    let mut open_requests = std::collections::VecDeque::new();
    let mut last_report = 0;
    let mut excluded = std::time::Duration::ZERO;
    let mut start = Instant::now();
    let mut measured_from = 0;
    while next < REQUESTS {
        now = now + Millis(18);
        let organisation = Organisation::from(names[next as usize % names.len()].as_str());
        let arrival = Arrival {
            id: next,
            digest: RequestDigest(next),
            service: "tutor".into(),
            organisation: organisation.clone(),
            bytes: 100,
            idempotent: true,
            needs_claim: false,
        };
        entry_machine.admit(now, arrival, &document, &mut out);
        let id = GrantId(1, next);
        let (upstream, address) = ("engine-01".into(), address());
        let grant = Grant { id, organisation, upstream, address, incarnation: 1, version: None };
        let body = DispatchBody::Grants { session, last_report, grants: vec![grant] };
        let message = DispatchMessage { pool: pool(), term: 1, origin: None, body };
        entry_machine.on_message(now, &view, &holder, &message, &mut out);
        open_requests.push_back(next);
        if open_requests.len() > open {
            let ended = open_requests.pop_front().unwrap_or_default();
            entry_machine.on_attempt_end(
                now,
                ended,
                AttemptEnd::Completed,
                300,
                Some(400),
                &mut out,
            );
        }
        entry_machine.report(now, &mut out);
        for output in out.drain(..) {
            let EntryOutput::Send(_, message) = output else { continue };
            if let DispatchBody::Report { seq, .. } = &message.body {
                last_report = *seq;
            }
            let excluded_start = Instant::now();
            messages += 1;
            bytes += wire_len(message);
            excluded += excluded_start.elapsed();
        }
        next += 1;
        if next as usize == open + 100 {
            // The number of open requests is constant from here on.
            (start, excluded) = (Instant::now(), std::time::Duration::ZERO);
            (bytes, messages, measured_from) = (0, 0, next);
        }
    }
    let count = (next - measured_from) as f64;
    let per_request = (start.elapsed() - excluded).as_secs_f64() * 1e6 / count;
    let memory = resident_memory().saturating_sub(before);
    black_box(&entry_machine);
    json!({
        "open_requests": open,
        "us_per_request": per_request,
        "bytes_out_per_request": bytes as f64 / count,
        "messages_out_per_request": f64::from(messages) / count,
        "memory_bytes": memory,
    })
}

/// Measures the record with `keys` request keys: the time of a command, memory, snapshot and
/// recovery.
fn measure_record(keys: usize) -> Value {
    let before = resident_memory();
    let mut record = Record::default();
    let mut index = 0;
    let mut log_bytes = 0;
    let start = Instant::now();
    for n in 0..keys {
        let key = RequestKey {
            service: "orders".into(),
            organisation: format!("organisation-{:05}", n % 490).as_str().into(),
            key: format!("deposit-{n:012}"),
        };
        let id = ClaimId(n as u64, 1);
        let answer = StoredAnswer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: Some("{\"accepted\":true}".to_owned()),
        };
        let claim = Change::Claim { id, key: key.clone(), digest: n as u128, span: Millis(70_000) };
        let settle = Change::Settle { id, key, settlement: Settlement::Done(answer) };
        for command in [claim, settle] {
            index += 1;
            let payload = Payload::Command(command);
            let entry = LogEntry { index, term: 1, unix_ms: 1_000 + index, payload };
            if n == 0 {
                let mut buf = Vec::new();
                ciborium::into_writer(&entry, &mut buf).expect("writing to a vector can't fail");
                log_bytes += buf.len();
            }
            black_box(record.apply(&entry));
        }
    }
    let per_command = start.elapsed().as_secs_f64() * 1e6 / index as f64;
    let memory = resident_memory().saturating_sub(before);
    let start = Instant::now();
    let data = record.encode();
    let snapshot_ms = start.elapsed().as_secs_f64() * 1e3;
    let start = Instant::now();
    black_box(Record::decode(&data).expect("a readable snapshot"));
    let recovery_ms = start.elapsed().as_secs_f64() * 1e3;
    json!({
        "keys": keys,
        "us_per_command": per_command,
        "log_bytes_per_key": log_bytes,
        "memory_bytes_per_key": memory as f64 / keys as f64,
        "snapshot_ms": snapshot_ms,
        "snapshot_bytes": data.len(),
        "recovery_ms": recovery_ms,
    })
}

/// Measures the node of an idle entry of 410 instances: the time of a tick, of which there are a
/// hundred per second, and the memory of its configuration.
///
/// There are 38 services, which have `organisations` organisations in total.
fn measure_node(organisations: usize) -> Value {
    const NODES: usize = 410;
    let peers = synthetic::peers("entry", NODES, Role::Entry, address());
    let settings = synthetic::settings(peers, address());
    let before = resident_memory();
    let mut node = Node::new(Millis(0), settings, 1, 1, None);
    let members = organisations / SERVICES + 1;
    let documents = synthetic::documents(members, "slots: {cold: 2, warm: 8}\n");
    let state = RecordMessage::State {
        index: SERVICES as u64,
        since: 0,
        asked: Some(Millis(0)),
        age: Some(Millis(0)),
        documents,
        domains: Vec::new(),
        upstreams: Vec::new(),
        orders: Vec::new(),
        configuration: None,
        rollouts: Vec::new(),
    };
    let mut out = Vec::new();
    let start = Instant::now();
    let input = Input::Received("entry-001".into(), Message::Record(state));
    node.handle(Millis(1), 1, input, &mut out);
    let configuration_ms = start.elapsed().as_secs_f64() * 1e3;
    let memory = resident_memory().saturating_sub(before);
    out.clear();
    let start = Instant::now();
    for n in 0..500 {
        node.handle(Millis(10 + n), 1, Input::Tick, &mut out);
        node.flush(Millis(10 + n), 1, &mut out);
        out.clear();
    }
    let per_tick = start.elapsed().as_secs_f64() * 1e6 / 500.0;
    json!({
        "organisations": organisations,
        "services": SERVICES,
        "us_per_tick": per_tick,
        "configuration_ms": configuration_ms,
        "memory_bytes": memory,
    })
}
