//! Tests which control instances an instance asks for the configuration, and when.

use std::collections::BTreeMap;

use kingcupgrade::{
    coordination::client::RecordClient,
    core::{Instance, Millis},
    protocol::record::RecordMessage,
};

const TICK_MS: u64 = 20;

/// Returns the control instances that an instance asks within `span`, if none answers and it has
/// the configuration as of index `have`.
fn asked_instances(have: u64, span: u64) -> Vec<Instance> {
    let controls = ["control-0", "control-1", "control-2"].map(Instance::from).to_vec();
    let mut client = RecordClient::new(&"entry-0".into(), controls, Vec::new(), 1);
    let mut out: Vec<(Instance, RecordMessage)> = Vec::new();
    for now in (0..span).step_by(TICK_MS as usize) {
        client.pull(Millis(now), have, false, &mut out);
    }
    out.into_iter().map(|(instance, _)| instance).collect()
}

/// Guards against an entry that refuses all callers for a second or more because the first control
/// instance that it asked is not running yet.
#[test]
fn an_instance_without_a_configuration_asks_all_control_instances_soon() {
    let first = asked_instances(0, 800);
    assert!(first.len() >= 3, "{first:?}");
    let mut all = first[0..3].to_vec();
    all.sort();
    assert_eq!(all, ["control-0", "control-1", "control-2"].map(Instance::from));
    // An instance that has a configuration allows more time for an answer.
    assert_eq!(asked_instances(7, 800).len(), 1);
}

/// Guards against the same when the first control instance answers without confirming its state.
#[test]
fn an_instance_without_a_configuration_asks_the_next_after_an_unconfirmed_answer() {
    let controls = ["control-0", "control-1"].map(Instance::from).to_vec();
    let mut client = RecordClient::new(&"entry-0".into(), controls.clone(), Vec::new(), 1);
    let mut out = Vec::new();
    client.pull(Millis(0), 0, false, &mut out);
    client.on_state(Millis(2), &out[0].0.clone(), None);
    client.pull(Millis(120), 0, false, &mut out);
    let mut asked: Vec<&Instance> = out.iter().map(|(instance, _)| instance).collect();
    asked.sort();
    assert_eq!(asked, [&controls[0], &controls[1]]);
}

/// Guards against concentrating the fleet's load on one control instance: if another one fails, the
/// instances that used it must not all choose the same successor.
#[test]
fn instances_that_leave_one_control_instance_spread_over_the_others() {
    let controls = ["control-0", "control-1", "control-2"].map(Instance::from);
    let mut successors: BTreeMap<Instance, usize> = BTreeMap::new();
    for entry in 0..60 {
        let own = Instance::from(format!("entry-{entry}").as_str());
        let mut client = RecordClient::new(&own, controls.clone(), Vec::new(), 1);
        let mut out = Vec::new();
        client.pull(Millis(0), 7, false, &mut out);
        // The first control instance has not answered.
        client.pull(Millis(1_020), 7, false, &mut out);
        if out[0].0 == controls[0] {
            *successors.entry(out[1].0.clone()).or_default() += 1;
        }
    }
    assert!(
        successors.len() == 2 && successors.values().all(|count| *count >= 5),
        "{successors:?}"
    );
}
