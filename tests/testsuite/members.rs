//! Members of the record, decided by one replica that is driven message by message.

use kingcupgrade::{
    coordination::consensus::{Consensus, ConsensusOutput},
    core::{Code, Millis},
    protocol::consensus::{ConsensusBody, ConsensusMessage, Member, ReplicaId},
    state::log::Stored,
};

fn leader() -> Consensus {
    let id = ReplicaId("a".into(), 1);
    let founding = Stored::initial(vec![Member { id: id.clone(), voter: true }]);
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

/// Returns a leader that has added a replica as a learner.
fn leader_that_added(now: Millis, replica: u64, out: &mut Vec<ConsensusOutput>) -> Consensus {
    let mut leader = leader();
    hello(&mut leader, now, replica);
    leader.add_member(now, 1, &"b".into(), out).expect("a replica that was heard");
    leader.tick(now + Millis(10), out);
    leader
}

/// A replica is added and its disk is lost before it gets a vote, so an operator removes it and adds
/// the one that came back in its place. If that one has not been heard yet, the lost one must not
/// be added a second time: it never catches up, and the record stays one vote short for good.
#[test]
fn a_replica_that_was_removed_is_not_added_again_for_its_last_hello() {
    let (now, out) = (Millis(5_100), &mut Vec::new());
    let mut leader = leader_that_added(now, 77, out);
    leader.remove_member(now + Millis(20), 1, &"b".into(), Some(77), out).expect("a member");
    leader.tick(now + Millis(30), out);
    let again = leader.add_member(now + Millis(40), 1, &"b".into(), out);
    assert_eq!(again.map_err(|err| err.code), Err(Code::MemberRefused));
    hello(&mut leader, now + Millis(50), 78);
    leader.add_member(now + Millis(60), 1, &"b".into(), out).expect("the one that came back");
    let added = ReplicaId("b".into(), 78);
    assert!(leader.members().iter().any(|member| member.id == added));
}

/// An operator adds a replica and the answer is lost, so the operator asks again. Refused then, the
/// operator would believe that nothing was added, and try for good.
#[test]
fn adding_a_replica_again_after_a_lost_answer_is_accepted_and_changes_nothing() {
    let (now, out) = (Millis(5_100), &mut Vec::new());
    let mut leader = leader_that_added(now, 77, out);
    let members = leader.members().to_vec();
    leader.add_member(now + Millis(20), 1, &"b".into(), out).expect("a resend");
    assert_eq!(leader.members(), members);
}

/// Guards against a removal whose answer was lost and that is refused for good when it is sent
/// again.
#[test]
fn removing_a_replica_again_after_a_lost_answer_is_accepted_and_changes_nothing() {
    let (now, out) = (Millis(5_100), &mut Vec::new());
    let mut leader = leader_that_added(now, 77, out);
    leader.remove_member(now + Millis(20), 1, &"b".into(), Some(77), out).expect("a member");
    leader.tick(now + Millis(30), out);
    let members = leader.members().to_vec();
    for replica in [Some(77), None] {
        leader.remove_member(now + Millis(40), 1, &"b".into(), replica, out).expect("a resend");
        leader.tick(now + Millis(50), out);
    }
    assert_eq!(leader.members(), members);
    let never = leader.remove_member(now + Millis(60), 1, &"b".into(), Some(78), out);
    assert_eq!(never.map_err(|err| err.code), Err(Code::MemberRefused));
}

/// A voter's disk is lost and the replica in its place is added at once, while the lost one was
/// heard a moment ago. The newcomer must wait for its vote until the lost one is removed: with four
/// voters of which one is lost, the loss of the newcomer too would stop the record for good.
#[test]
fn a_newcomer_waits_for_its_vote_beside_a_replica_that_was_just_lost() {
    let voters = ["a", "b", "c"].map(|name| ReplicaId(name.into(), 1));
    let founding: Vec<Member> =
        voters.iter().map(|id| Member { id: id.clone(), voter: true }).collect();
    let mut leader = Consensus::new(Millis(0), voters[0].clone(), Stored::initial(founding), 7);
    let out = &mut Vec::new();
    leader.tick(Millis(5_000), out);
    for pre in [true, false] {
        let body = ConsensusBody::VoteReply { pre, granted: true };
        let term = leader.term();
        leader.on_message(Millis(5_010), &reply(&voters[1], &voters[0], term, body), out);
    }
    assert!(leader.is_leader());
    let acknowledge = |leader: &mut Consensus, from: &ReplicaId, now: u64, out: &mut _| {
        let index = leader.log().last().index;
        let body = ConsensusBody::AppendReply { matched: true, index, sent: Millis(now) };
        let message = reply(from, &voters[0], leader.term(), body);
        leader.on_message(Millis(now), &message, out);
    };
    for voter in &voters[1..] {
        acknowledge(&mut leader, voter, 5_100, out);
    }
    hello(&mut leader, Millis(5_200), 77);
    leader.add_member(Millis(5_210), 1, &"b".into(), out).expect("a replica that was heard");
    let newcomer = ReplicaId("b".into(), 77);
    acknowledge(&mut leader, &voters[2], 5_220, out);
    acknowledge(&mut leader, &newcomer, 5_230, out);
    for now in (5_240..5_900).step_by(20) {
        leader.tick(Millis(now), out);
        acknowledge(&mut leader, &voters[2], now, out);
        acknowledge(&mut leader, &newcomer, now, out);
    }
    let has_vote = leader.members().iter().any(|m| m.id == newcomer && m.voter);
    assert!(!has_vote, "{:?}", leader.members());
}

/// The lead changes while a lost voter's newcomer catches up. The new leader has heard nobody yet, and
/// must not count the lost voter as there: the newcomer's vote beside it would make four voters of
/// which one is gone.
#[test]
fn a_new_leader_counts_a_voter_only_once_it_has_answered() {
    let voters = ["a", "b", "c"].map(|name| ReplicaId(name.into(), 1));
    let newcomer = ReplicaId("b".into(), 77);
    let mut members: Vec<Member> =
        voters.iter().map(|id| Member { id: id.clone(), voter: true }).collect();
    members.push(Member { id: newcomer.clone(), voter: false });
    let founding = Stored::initial(members);
    let mut leader = Consensus::new(Millis(0), voters[0].clone(), founding, 7);
    let out = &mut Vec::new();
    hello(&mut leader, Millis(4_000), 77);
    leader.tick(Millis(5_000), out);
    for pre in [true, false] {
        let body = ConsensusBody::VoteReply { pre, granted: true };
        let term = leader.term();
        leader.on_message(Millis(5_010), &reply(&voters[2], &voters[0], term, body), out);
    }
    assert!(leader.is_leader());
    for now in (5_020..5_800).step_by(20) {
        for from in [&voters[2], &newcomer] {
            let index = leader.log().last().index;
            let body = ConsensusBody::AppendReply { matched: true, index, sent: Millis(now) };
            let message = reply(from, &voters[0], leader.term(), body);
            leader.on_message(Millis(now), &message, out);
        }
        leader.tick(Millis(now), out);
    }
    let has_vote = leader.members().iter().any(|m| m.id == newcomer && m.voter);
    assert!(!has_vote, "{:?}", leader.members());
}

fn reply(from: &ReplicaId, to: &ReplicaId, term: u64, body: ConsensusBody) -> ConsensusMessage {
    ConsensusMessage { from: from.clone(), to: to.clone(), term, body }
}
