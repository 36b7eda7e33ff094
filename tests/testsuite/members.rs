//! Members of the record, decided by one replica that is driven message by message.

use kingcupgrade::{
    coordination::consensus::{Consensus, ConsensusOutput},
    core::{Code, Millis},
    protocol::consensus::{ConsensusBody, ConsensusMessage, Member, ReplicaId},
    state::log::Stored,
};

fn leader() -> Consensus {
    let id = ReplicaId("a".into(), 1);
    let founding = Stored::founding(vec![Member { id: id.clone(), voter: true }]);
    let mut leader = Consensus::new(Millis(0), id, founding, 7);
    leader.tick(Millis(5_000), &mut Vec::new());
    assert!(leader.is_leader());
    leader
}

fn hello(leader: &mut Consensus, now: Millis, replica: u64) {
    let from = ReplicaId("b".into(), replica);
    let to = ReplicaId("a".into(), 0);
    let message = ConsensusMessage { from, to, term: 0, body: ConsensusBody::Hello };
    leader.on_message(now, &message, &mut Vec::<ConsensusOutput>::new());
}

/// A replica is added and its disk is lost before it gets a vote, so an operator removes it and adds
/// the one that came back in its place. If that one has not been heard yet, the lost one must not
/// be added a second time: it never catches up, and the record stays one vote short for good.
#[test]
fn a_replica_that_was_removed_is_not_added_again_for_its_last_hello() {
    let mut leader = leader();
    let (now, out) = (Millis(5_100), &mut Vec::new());
    hello(&mut leader, now, 77);
    leader.add_member(now, 1, &"b".into(), out).expect("a replica that was heard");
    leader.tick(now + Millis(10), out);
    leader.remove_member(now + Millis(20), 1, &"b".into(), Some(77), out).expect("a member");
    leader.tick(now + Millis(30), out);
    let again = leader.add_member(now + Millis(40), 1, &"b".into(), out);
    assert_eq!(again.map_err(|err| err.code), Err(Code::MemberRefused));
    hello(&mut leader, now + Millis(50), 78);
    leader.add_member(now + Millis(60), 1, &"b".into(), out).expect("the one that came back");
    let added = ReplicaId("b".into(), 78);
    assert!(leader.members().iter().any(|member| member.id == added));
}
