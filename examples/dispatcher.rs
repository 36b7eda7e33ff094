//! Embeds a dispatcher: two organisations with shares 1 and 3 compete for the slot of one upstream.

use kingcupgrade::{
    coordination::dispatcher::{
        Dispatcher, DispatcherOutput,
        slots::{Listed, LoadReport},
    },
    core::{Document, Instance, Millis},
    protocol::{
        Pool,
        dispatch::{DispatchBody, FinishedGrant, GrantOutcome, QueuedRequests, Session},
    },
};

const DOCUMENT: &str = "
service: tutor
kind: model-engine
organisations:
  alder: {share: 1, token_digests: []}
  birch: {share: 3, token_digests: []}
slots: {cold: 1, warm: 1}
";

fn main() -> anyhow::Result<()> {
    let entry = Instance::from("entry-0");
    let pool = Pool("tutor".into(), "north".into());
    let document = Document::parse(DOCUMENT)?;
    let mut dispatcher = Dispatcher::new(Millis(0), pool, entry.clone(), 1, document, Vec::new());
    let mut out = Vec::new();

    let session = Session(1, 1);
    let waiting = vec![QueuedRequests("alder".into(), 8), QueuedRequests("birch".into(), 8)];
    let open = DispatchBody::Open { session, waiting, held: Vec::new() };
    let mut now = Millis(1_000);
    dispatcher.on_message(now, &entry, 1, &open, &mut out);
    let listed = Listed {
        upstream: "engine-0".into(),
        address: "127.0.0.1:9000".parse()?,
        leaving: false,
        incarnation: 1,
        report: Some(LoadReport { running: 0, warm: true, age_ms: 0 }),
        version: None,
    };
    dispatcher.on_listing(now, &[listed], &mut out);

    for seq in 1..=8 {
        let Some(grant) = take_grant(&mut out) else { break };
        println!("slot {seq} goes to {}", grant.organisation);
        now = now + Millis(100);
        let done = FinishedGrant {
            id: grant.id,
            outcome: GrantOutcome::Completed,
            cost: 10,
            first_byte_ms: Some(5),
            may_run: false,
        };
        let report = DispatchBody::Report {
            session: session.tag(),
            seq,
            received: seq,
            waiting: Vec::new(),
            finished: vec![done],
            progress: Vec::new(),
            notices: Vec::new(),
            begun: Vec::new(),
        };
        dispatcher.on_message(now, &entry, 1, &report, &mut out);
    }
    Ok(())
}

/// Drains the outputs and returns the first grant among them.
fn take_grant(out: &mut Vec<DispatcherOutput>) -> Option<kingcupgrade::protocol::dispatch::Grant> {
    let grants = out.drain(..).filter_map(|output| match output {
        DispatcherOutput::Send(_, message) => match message.body {
            DispatchBody::Grants { grants, .. } => Some(grants),
            _ => None,
        },
        _ => None,
    });
    grants.flatten().next()
}
