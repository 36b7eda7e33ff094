//! Membership changes of the replicated record, tested on a single replica that is driven message
//! by message.

use kingcupgrade::{
    coordination::consensus::{Consensus, ConsensusOutput},
    core::{Code, Millis},
    protocol::consensus::{ConsensusBody, ConsensusMessage, Member, ReplicaId},
    state::log::Stored,
};

/// Returns the leader of a record with a single voter.
fn leader() -> Consensus {
    let id = ReplicaId("a".into(), 1);
    let stored = Stored::initial(vec![Member { id: id.clone(), voter: true }]);
    let mut leader = Consensus::new(Millis(0), id, stored, 7);
    leader.tick(Millis(5_000), &mut Vec::new());
    assert!(leader.is_leader());
    leader
}

/// Delivers a `Hello` from a replica of instance `b` to the leader.
fn send_hello(leader: &mut Consensus, now: Millis, replica: u64) {
    let from = ReplicaId("b".into(), replica);
    let to = ReplicaId("a".into(), 0);
    let message = ConsensusMessage { from, to, term: 0, body: ConsensusBody::Hello };
    leader.on_message(now, &message, &mut Vec::<ConsensusOutput>::new());
}

/// Returns a leader that has added a replica of instance `b` as a learner.
fn leader_with_learner(now: Millis, replica: u64, out: &mut Vec<ConsensusOutput>) -> Consensus {
    let mut leader = leader();
    send_hello(&mut leader, now, replica);
    leader.add_member(now, 1, &"b".into(), out).expect("a replica that has sent a hello");
    leader.tick(now + Millis(10), out);
    leader
}

/// Guards against a lost replica that is added a second time. A learner loses its disk before it
/// becomes a voter, so an operator removes it and adds the replica that replaces it. If the
/// replacement has not sent a hello yet, the lost replica's last hello must not count: it would be
/// added again and never catch up, and the record would lack a voter for good.
#[test]
fn a_replica_that_was_removed_is_not_added_again_for_its_last_hello() {
    let (now, out) = (Millis(5_100), &mut Vec::new());
    let mut leader = leader_with_learner(now, 77, out);
    leader.remove_member(now + Millis(20), 1, &"b".into(), Some(77), out).expect("a member");
    leader.tick(now + Millis(30), out);
    let readded = leader.add_member(now + Millis(40), 1, &"b".into(), out);
    assert_eq!(readded.map_err(|err| err.code), Err(Code::MemberRefused));
    send_hello(&mut leader, now + Millis(50), 78);
    leader.add_member(now + Millis(60), 1, &"b".into(), out).expect("the replacement");
    let replacement = ReplicaId("b".into(), 78);
    assert!(leader.members().iter().any(|member| member.id == replacement));
}

/// Guards against a repeated addition that is refused after the answer to the first one was lost:
/// the operator would conclude that nothing was added, and retry without end.
#[test]
fn adding_a_replica_again_after_a_lost_answer_is_accepted_and_changes_nothing() {
    let (now, out) = (Millis(5_100), &mut Vec::new());
    let mut leader = leader_with_learner(now, 77, out);
    let members = leader.members().to_vec();
    leader.add_member(now + Millis(20), 1, &"b".into(), out).expect("a resend");
    assert_eq!(leader.members(), members);
}

/// Guards against a repeated removal that is refused each time after the answer to the first one
/// was lost.
#[test]
fn removing_a_replica_again_after_a_lost_answer_is_accepted_and_changes_nothing() {
    let (now, out) = (Millis(5_100), &mut Vec::new());
    let mut leader = leader_with_learner(now, 77, out);
    leader.remove_member(now + Millis(20), 1, &"b".into(), Some(77), out).expect("a member");
    leader.tick(now + Millis(30), out);
    let members = leader.members().to_vec();
    for replica in [Some(77), None] {
        leader.remove_member(now + Millis(40), 1, &"b".into(), replica, out).expect("a resend");
        leader.tick(now + Millis(50), out);
    }
    assert_eq!(leader.members(), members);
    let never_member = leader.remove_member(now + Millis(60), 1, &"b".into(), Some(78), out);
    assert_eq!(never_member.map_err(|err| err.code), Err(Code::MemberRefused));
}

/// Guards against a learner that becomes a voter beside the lost voter that it replaces. It comes
/// about when a voter loses its disk and its replacement is added at once, while the leader still
/// counts the lost voter as active. The learner must not be promoted before the lost voter is
/// removed: with four voters of which one is lost, losing the learner too would leave no majority
/// for good.
#[test]
fn a_newcomer_waits_for_its_vote_beside_a_replica_that_was_just_lost() {
    let voters = ["a", "b", "c"].map(|name| ReplicaId(name.into(), 1));
    let members: Vec<Member> =
        voters.iter().map(|id| Member { id: id.clone(), voter: true }).collect();
    let mut leader = Consensus::new(Millis(0), voters[0].clone(), Stored::initial(members), 7);
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
    send_hello(&mut leader, Millis(5_200), 77);
    leader.add_member(Millis(5_210), 1, &"b".into(), out).expect("a replica that has sent a hello");
    let learner = ReplicaId("b".into(), 77);
    acknowledge(&mut leader, &voters[2], 5_220, out);
    acknowledge(&mut leader, &learner, 5_230, out);
    for now in (5_240..5_900).step_by(20) {
        leader.tick(Millis(now), out);
        acknowledge(&mut leader, &voters[2], now, out);
        acknowledge(&mut leader, &learner, now, out);
    }
    let has_vote = leader.members().iter().any(|m| m.id == learner && m.voter);
    assert!(!has_vote, "{:?}", leader.members());
}

/// Guards against a new leader that counts a lost voter as active before any voter has answered it.
/// It comes about when the leader changes while the replacement of a lost voter catches up:
/// promoting the replacement would make four voters of which one is lost.
#[test]
fn a_new_leader_counts_a_voter_only_once_it_has_answered() {
    let voters = ["a", "b", "c"].map(|name| ReplicaId(name.into(), 1));
    let learner = ReplicaId("b".into(), 77);
    let mut members: Vec<Member> =
        voters.iter().map(|id| Member { id: id.clone(), voter: true }).collect();
    members.push(Member { id: learner.clone(), voter: false });
    let stored = Stored::initial(members);
    let mut leader = Consensus::new(Millis(0), voters[0].clone(), stored, 7);
    let out = &mut Vec::new();
    send_hello(&mut leader, Millis(4_000), 77);
    leader.tick(Millis(5_000), out);
    for pre in [true, false] {
        let body = ConsensusBody::VoteReply { pre, granted: true };
        let term = leader.term();
        leader.on_message(Millis(5_010), &reply(&voters[2], &voters[0], term, body), out);
    }
    assert!(leader.is_leader());
    for now in (5_020..5_800).step_by(20) {
        for from in [&voters[2], &learner] {
            let index = leader.log().last().index;
            let body = ConsensusBody::AppendReply { matched: true, index, sent: Millis(now) };
            let message = reply(from, &voters[0], leader.term(), body);
            leader.on_message(Millis(now), &message, out);
        }
        leader.tick(Millis(now), out);
    }
    let has_vote = leader.members().iter().any(|m| m.id == learner && m.voter);
    assert!(!has_vote, "{:?}", leader.members());
}

fn reply(from: &ReplicaId, to: &ReplicaId, term: u64, body: ConsensusBody) -> ConsensusMessage {
    ConsensusMessage { from: from.clone(), to: to.clone(), term, body }
}
