//! Operators' changes that reach the record after later ones.

use kingcupgrade::{
    core::{Code, Millis},
    protocol::{
        consensus::{LogEntry, Payload},
        order::SetupChange,
        record::{Command, RecordMessage, Reply},
        rollout::{RolloutOrder, RolloutStage},
    },
    state::record::Record,
};

const DOMAIN: &str = "north";

/// A record, to which commands are applied at successive indexes.
#[derive(Default)]
struct Log {
    record: Record,
    index: u64,
}

impl Log {
    fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let payload = Payload::Command(command);
        let entry = LogEntry { term: 1, index: self.index, unix_ms: self.index * 1_000, payload };
        self.record.apply(&entry).expect("a reply")
    }

    /// Applies a change that was made at the index `since`; returns the code of a refusal.
    fn apply_since(&mut self, since: u64, command: Command) -> Result<(), Code> {
        let command = Box::new(command);
        match self.apply(Command::IfUnchanged { since, command }) {
            Reply::Accepted { .. } => Ok(()),
            Reply::Refused(err) => Err(err.code),
            other => panic!("unexpected reply {other:?}"),
        }
    }

    /// Applies a change of an operator who knows the whole record.
    fn apply_now(&mut self, command: Command) {
        assert_eq!(self.apply_since(self.index, command), Ok(()));
    }

    fn is_out(&self) -> bool {
        let RecordMessage::State { domains, .. } = self.record.state_since(0, None, None) else {
            panic!("expected the state")
        };
        domains.iter().any(|domain| domain.name.as_str() == DOMAIN && domain.out)
    }
}

fn set_domain(change: &str, out: bool) -> Command {
    Command::SetDomain { change: change.to_owned(), domain: DOMAIN.into(), out }
}

fn start_rollout(to: &str) -> Command {
    let order = RolloutOrder { service: "orders".into(), to: to.into(), duration: Millis(12_000) };
    Command::StartRollout { change: None, order }
}

/// A record that knows the service of [`start_rollout`].
fn with_service() -> Log {
    let mut log = Log::default();
    let text = kingcup_support::fleet::document("orders", "plain-service", &[("alder", 1)], "");
    let change = "document".to_owned();
    log.apply(Command::ApplyDocument { change, service: "orders".into(), base: 0, text });
    log
}

/// Starts and completes a rollout; returns the index of its start.
fn complete_rollout(log: &mut Log, to: &str) -> u64 {
    log.apply_now(start_rollout(to));
    let id = log.index;
    let (from, to) = (RolloutStage::Canary(0), RolloutStage::Complete);
    log.apply(Command::AdvanceRollout { id, service: "orders".into(), from, to });
    id
}

/// Guards against a copy of an order, sent to another instance before a later order, that is carried
/// out after it: a failure domain that is out would get requests.
#[test]
fn a_copy_of_an_order_does_not_undo_a_later_one() {
    let mut log = Log::default();
    log.apply_now(set_domain("out-1", true));
    let known = log.index;
    log.apply_now(set_domain("in-1", false));
    log.apply_now(set_domain("out-2", true));
    assert_eq!(log.apply_since(known, set_domain("in-2", false)), Err(Code::Overtaken));
    assert!(log.is_out());
    // The operator sends it again, and an instance that knows of the last order passes it on.
    log.apply_now(set_domain("in-2", false));
    assert!(!log.is_out());
}

/// Guards against a resend of an accepted order that is refused: its operator would not know that it
/// is in force.
#[test]
fn a_resend_of_an_accepted_order_is_accepted_again() {
    let mut log = Log::default();
    assert_eq!(log.apply_since(0, set_domain("out-1", true)), Ok(()));
    let index = log.record.index();
    assert_eq!(log.apply_since(0, set_domain("out-1", true)), Ok(()), "the same proposal");
    assert_eq!(log.apply_since(0, set_domain("out-2", true)), Ok(()), "at another instance");
    assert_eq!(log.record.index(), index, "a resend counts as a change");
    log.apply_now(set_domain("in-1", false));
    assert_eq!(log.apply_since(0, set_domain("out-1", true)), Ok(()), "the reply was lost");
    assert!(!log.is_out(), "a resend undoes a later order");
}

/// Guards against late orders to upstreams, which would load models or mark upstreams as leaving
/// that later orders have changed.
#[test]
fn late_orders_to_upstreams_are_not_carried_out() {
    let mut log = Log::default();
    let mark = |change: &str, leaving| Command::SetLeaving {
        change: change.to_owned(),
        upstream: "engine".into(),
        leaving,
    };
    let load = |change: &str, model: &str| Command::Order {
        change: change.to_owned(),
        upstream: "engine".into(),
        setup: SetupChange::Load(model.to_owned()),
    };
    log.apply_now(mark("leave", true));
    log.apply_now(load("first", "a"));
    let known = log.index;
    log.apply_now(mark("stay", false));
    log.apply_now(load("second", "b"));
    assert_eq!(log.apply_since(known, mark("leave-late", true)), Err(Code::Overtaken));
    assert_eq!(log.apply_since(known, load("late", "a")), Err(Code::Overtaken));
    assert_eq!(log.apply_since(known, load("first", "a")), Ok(()), "a resend of an accepted order");
}

/// Guards against an order for a rollout that is taken for a resend of an earlier one with the same
/// content, and not carried out.
#[test]
fn a_rollout_back_and_forth_is_carried_out_each_time() {
    let mut log = with_service();
    let known = log.index;
    complete_rollout(&mut log, "v2");
    complete_rollout(&mut log, "v1");
    assert_eq!(log.apply_since(known, start_rollout("v2")), Err(Code::Overtaken), "a late copy");
    log.apply_now(start_rollout("v2"));
    let running: Vec<_> = log.record.running_rollouts().map(|r| r.order.to.clone()).collect();
    assert_eq!(running, ["v2".into()]);
    assert_eq!(log.apply_since(known, start_rollout("v2")), Ok(()), "a resend of the last order");
}
