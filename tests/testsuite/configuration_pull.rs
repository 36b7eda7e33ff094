//! How an instance asks for the configuration.

use std::collections::BTreeMap;

use kingcupgrade::{
    coordination::client::RecordClient,
    core::{Instance, Millis},
    protocol::record::RecordMessage,
};

const TICK: u64 = 20;

/// Returns whom an instance asks in a span, if nobody answers and it holds this place in the record.
fn asked(have: u64, span: u64) -> Vec<Instance> {
    let controls = ["control-0", "control-1", "control-2"].map(Instance::from).to_vec();
    let mut client = RecordClient::new(&"entry-0".into(), controls, Vec::new());
    let mut out: Vec<(Instance, RecordMessage)> = Vec::new();
    for now in (0..span).step_by(TICK as usize) {
        client.pull(Millis(now), have, false, &mut out);
    }
    out.into_iter().map(|(instance, _)| instance).collect()
}

/// Guards against an entry that refuses all its callers for a second and more because the first
/// control instance that it asked is not up yet.
#[test]
fn an_instance_without_a_configuration_asks_all_control_instances_soon() {
    let first = asked(0, 800);
    assert!(first.len() >= 3, "{first:?}");
    let mut all = first[0..3].to_vec();
    all.sort();
    assert_eq!(all, ["control-0", "control-1", "control-2"].map(Instance::from));
    // One that has a configuration leaves the others time to answer.
    assert_eq!(asked(7, 800).len(), 1);
}

/// The same, where the first one answers that it can't vouch for what it has.
#[test]
fn an_instance_without_a_configuration_asks_the_next_after_a_word_that_vouches_for_nothing() {
    let controls = ["control-0", "control-1"].map(Instance::from).to_vec();
    let mut client = RecordClient::new(&"entry-0".into(), controls.clone(), Vec::new());
    let mut out = Vec::new();
    client.pull(Millis(0), 0, false, &mut out);
    client.on_state(Millis(2), &out[0].0.clone(), None);
    client.pull(Millis(120), 0, false, &mut out);
    let mut asked: Vec<&Instance> = out.iter().map(|(instance, _)| instance).collect();
    asked.sort();
    assert_eq!(asked, [&controls[0], &controls[1]]);
}

/// Guards against a fleet that comes to depend on one control instance, since all that leave
/// another go to the same next one.
#[test]
fn instances_that_leave_one_control_instance_spread_over_the_others() {
    let controls = ["control-0", "control-1", "control-2"].map(Instance::from);
    let mut next: BTreeMap<Instance, usize> = BTreeMap::new();
    for entry in 0..60 {
        let own = Instance::from(format!("entry-{entry}").as_str());
        let mut client = RecordClient::new(&own, controls.clone(), Vec::new());
        let mut out = Vec::new();
        client.pull(Millis(0), 7, false, &mut out);
        // The first one that was asked has not answered.
        client.pull(Millis(1_020), 7, false, &mut out);
        if out[0].0 == controls[0] {
            *next.entry(out[1].0.clone()).or_default() += 1;
        }
    }
    assert!(next.len() == 2 && next.values().all(|count| *count >= 5), "{next:?}");
}
