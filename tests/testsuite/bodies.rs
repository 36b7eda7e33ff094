//! Tests which bodies are given up while callers hold on to the memory for them.

use kingcupgrade::{
    coordination::{
        bodies::{BodyLedger, BodyNo, Holder},
        memory::MemoryBudget,
    },
    core::{Millis, Organisation},
};

const MIB: u64 = 1 << 20;
/// The memory limit of the process; bodies may take three eighths of it.
const LIMIT: u64 = 64 * MIB;
const ROOM: u64 = LIMIT / 8 * 3;
/// Longer than a body may be behind.
const LONG: Millis = Millis(5_000);

struct Memory {
    budget: MemoryBudget,
    ledger: BodyLedger,
}

impl Memory {
    fn new(holder_fraction: f64) -> Memory {
        let budget = MemoryBudget::new(Some(LIMIT), 1_000);
        Memory { budget, ledger: BodyLedger::new(holder_fraction) }
    }

    /// Adds a body that takes this many bytes if there is room; returns what was given up for it.
    fn add(&mut self, now: Millis, holder: &Holder, bytes: u64) -> Option<(BodyNo, Vec<BodyNo>)> {
        let no = self.ledger.begin(now, holder.clone());
        let allocation = self.ledger.take(now, &mut self.budget, no, bytes);
        if !allocation.is_taken {
            self.ledger.end(&mut self.budget, no);
            return None;
        }
        self.ledger.on_bytes(now, no, bytes);
        Some((no, allocation.given_up))
    }

    /// Adds bodies of an organisation until there is no more room for them.
    fn fill(&mut self, now: Millis, holder: &Holder, bytes: u64) -> Vec<BodyNo> {
        let added = std::iter::from_fn(|| self.add(now, holder, bytes));
        added.map(|(no, _)| no).collect()
    }
}

fn organisation(name: &str) -> Holder {
    Some(Organisation::from(name))
}

/// Guards against a crowd that sends the most part of its bodies, stays, and keeps all others out.
#[test]
fn bodies_that_stand_still_give_way() {
    let mut memory = Memory::new(1.0);
    let crowd = memory.fill(Millis(0), &organisation("crowd"), 4 * MIB);
    assert!(!crowd.is_empty() && memory.budget.taken() <= ROOM);
    let ordinary = organisation("ordinary");
    assert_eq!(memory.add(Millis(100), &ordinary, 4 * MIB), None, "given up at once");
    let added = memory.add(LONG, &ordinary, 4 * MIB).expect("room");
    assert_eq!(added.1.len(), 1, "more are given up than needed");
    assert!(memory.budget.taken() <= ROOM);
}

/// Guards against bodies at a trickle, which always have a byte that just arrived.
#[test]
fn bodies_at_a_trickle_give_way_before_one_that_arrives() {
    let mut memory = Memory::new(1.0);
    let holder = organisation("both");
    let (trickle, _) = memory.add(Millis(0), &holder, ROOM / 2).expect("room");
    let (steady, _) = memory.add(Millis(0), &holder, ROOM / 2).expect("room");
    for ms in 1..=LONG.0 {
        memory.ledger.on_bytes(Millis(ms), trickle, 1);
        memory.ledger.on_bytes(Millis(ms), steady, 1 << 10);
    }
    let added = memory.add(LONG, &organisation("new"), MIB).expect("room");
    assert_eq!(added.1, [trickle]);
}

/// Guards against one organisation's crowd at whose expense slow bodies of all others are given up.
#[test]
fn the_organisation_that_holds_most_gives_way_first() {
    let mut memory = Memory::new(1.0);
    let (slow, _) = memory.add(Millis(0), &organisation("slow"), MIB).expect("room");
    let crowd = memory.fill(Millis(1_000), &organisation("crowd"), MIB);
    for _ in 0..crowd.len() / 2 - 1 {
        let (_, given_up) = memory.add(LONG, &organisation("new"), MIB).expect("room");
        assert!(!given_up.contains(&slow), "a body of another organisation");
        assert_eq!(given_up.len(), 1);
    }
}

/// Guards against an organisation that takes all memory with bodies that are whole and wait, which
/// can't be given up.
#[test]
fn one_organisation_leaves_room_for_others() {
    let mut memory = Memory::new(0.5);
    let crowd = memory.fill(Millis(0), &organisation("crowd"), 4 * MIB);
    crowd.iter().for_each(|no| memory.ledger.on_whole(*no));
    assert!(memory.budget.taken() <= ROOM / 2);
    assert_eq!(memory.add(LONG, &organisation("crowd"), 4 * MIB), None);
    let (_, given_up) = memory.add(LONG, &organisation("ordinary"), 4 * MIB).expect("room");
    assert!(given_up.is_empty(), "{given_up:?}");
}

/// Guards against a request that is given up although its body is whole: it may run by then.
#[test]
fn whole_bodies_are_not_given_up() {
    let mut memory = Memory::new(1.0);
    let held = memory.fill(Millis(0), &organisation("crowd"), 4 * MIB);
    held.iter().for_each(|no| memory.ledger.on_whole(*no));
    assert_eq!(memory.add(LONG, &organisation("ordinary"), 4 * MIB), None);
    assert!(memory.ledger.end(&mut memory.budget, held[0]));
    assert!(memory.add(LONG, &organisation("ordinary"), 4 * MIB).is_some());
}

/// Guards against memory that is counted twice, or never given back.
#[test]
fn all_memory_is_given_back_once() {
    let mut memory = Memory::new(0.5);
    let crowd = memory.fill(Millis(0), &organisation("crowd"), MIB);
    let (ordinary, given_up) = memory.add(LONG, &organisation("crowd"), MIB).expect("room");
    assert_eq!(given_up.len(), 1);
    for no in crowd {
        let was_held = memory.ledger.end(&mut memory.budget, no);
        assert_eq!(was_held, !given_up.contains(&no));
    }
    memory.ledger.end(&mut memory.budget, ordinary);
    assert_eq!(memory.budget.taken(), 0);
}
