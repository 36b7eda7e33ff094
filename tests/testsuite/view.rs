//! The configuration that an instance goes by.

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
    }
}

/// An entry restarts. A control instance still believes it to have what it had before, and tells it
/// of a later change only; another one, behind, gives it an old configuration. The entry asked for
/// changes after the later one from then on, and refused callers of newer routes for many seconds.
#[test]
fn a_state_meant_for_the_process_before_does_not_hide_the_configuration() {
    let mut view = View::default();
    view.merge(&state(0, 116, Some((77, 116))));
    view.merge(&state(117, 118, None));
    assert_eq!(view.index(), 116, "changes up to 118 are taken as known");
    // It asks for what came after 116, and is told.
    view.merge(&state(116, 118, Some((80, 117))));
    assert_eq!(view.whole().map(|whole| whole.version), Some(80));
    assert_eq!(view.index(), 118);
}

/// The same state must not confirm what the entry goes by: it would send requests to a failure
/// domain that was taken out meanwhile.
#[test]
fn a_state_meant_for_the_process_before_confirms_nothing() {
    let mut view = View::default();
    view.merge(&state(117, 118, None));
    assert!(!view.is_fresh(Millis(10)));
    view.merge(&state(0, 118, Some((80, 117))));
    assert!(view.is_fresh(Millis(10)));
}
