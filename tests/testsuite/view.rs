//! Tests an instance's view of the configuration.

use kingcupgrade::{
    coordination::view::View,
    core::Millis,
    protocol::record::{RecordMessage, StoredConfiguration},
};

fn state(since: u64, index: u64, configuration: Option<(u64, u64)>) -> RecordMessage {
    let configuration = configuration.map(|(version, index)| StoredConfiguration {
        version,
        text: "{}".into(),
        index,
        services: Vec::new(),
    });
    RecordMessage::State {
        index,
        since,
        asked: Some(Millis::ZERO),
        age: Some(Millis::ZERO),
        documents: Vec::new(),
        domains: Vec::new(),
        upstreams: Vec::new(),
        orders: Vec::new(),
        configuration,
        rollouts: Vec::new(),
    }
}

/// Guards against an entry that misses configuration changes after a restart. One control instance
/// assumes that the entry still has what it had before the restart and sends only a later change;
/// another one, which lags, sends an old configuration. From then on the entry asked only for
/// changes after the later one, and refused callers of newer routes for many seconds.
#[test]
fn a_state_meant_for_the_process_before_does_not_hide_the_configuration() {
    let mut view = View::default();
    view.merge(&state(0, 116, Some((77, 116))));
    view.merge(&state(117, 118, None));
    assert_eq!(view.index(), 116, "changes up to index 118 are taken as known");
    // The entry asks for changes after index 116 and receives them.
    view.merge(&state(116, 118, Some((80, 117))));
    assert_eq!(view.configuration().map(|stored| stored.version), Some(80));
    assert_eq!(view.index(), 118);
}

/// Guards against a state meant for the earlier process that confirms the entry's configuration:
/// the entry would send requests to a failure domain that has been taken out of service meanwhile.
#[test]
fn a_state_meant_for_the_process_before_confirms_nothing() {
    let mut view = View::default();
    view.merge(&state(117, 118, None));
    assert!(!view.is_fresh(Millis(10)));
    view.merge(&state(0, 118, Some((80, 117))));
    assert!(view.is_fresh(Millis(10)));
}
