//! How an instance asks for the configuration.

use kingcupgrade::{
    coordination::client::RecordClient,
    core::{Instance, Millis},
    protocol::record::RecordMessage,
};

const TICK: u64 = 20;

/// Returns whom an instance asks in a span, if nobody answers and it holds this place in the record.
fn asked(have: u64, span: u64) -> Vec<Instance> {
    let controls = ["control-0", "control-1", "control-2"].map(Instance::from).to_vec();
    let mut client = RecordClient::new(controls, Vec::new(), 0);
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
    assert_eq!(first[0..3], ["control-0", "control-1", "control-2"].map(Instance::from));
    // One that has a configuration leaves the others time to answer.
    assert_eq!(asked(7, 800).len(), 1);
}

/// The same, where the first one answers that it can't vouch for what it has.
#[test]
fn an_instance_without_a_configuration_asks_the_next_after_a_word_that_vouches_for_nothing() {
    let controls = ["control-0", "control-1"].map(Instance::from).to_vec();
    let mut client = RecordClient::new(controls.clone(), Vec::new(), 0);
    let mut out = Vec::new();
    client.pull(Millis(0), 0, false, &mut out);
    client.on_state(Millis(2), &controls[0], None);
    client.pull(Millis(120), 0, false, &mut out);
    let asked: Vec<&Instance> = out.iter().map(|(instance, _)| instance).collect();
    assert_eq!(asked, [&controls[0], &controls[1]]);
}
