//! Tests what is buffered while memory is short, whom an answer's end is charged to if its caller
//! does not read, and that engines are kept within their memory.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use kingcup_support::{
    settings::fleet_settings,
    traffic::{configuration, listed},
};
use kingcupgrade::{
    coordination::{
        fleet::report_age,
        memory::{BufferedAnswer, MemoryBudget, UNREAD_SPAN, UnreadUpstream},
        traffic::{Demand, RequestNo, SendEnd, Traffic, Verdict},
    },
    core::{Millis, RequestDigest, fleet::FleetSettings},
    protocol::{
        fleet::{ListedUpstream, LoadReport},
        rollout::{Rollout, RolloutOrder, RolloutStage},
    },
};

use crate::{
    crashing_parts::{ENGINES, is_started},
    traffic::{demand, entry_names, traffic},
};

const MIB: u64 = 1 << 20;
/// The memory limit of the process and its sockets; buffers may take half of it.
const LIMIT: u64 = 64 * MIB;
const BUDGET: u64 = LIMIT / 2;
const SOCKETS: usize = 1_000;
/// Longer than the time for which memory may stay short.
const LONG: Millis = Millis(5_000);

fn budget() -> MemoryBudget {
    MemoryBudget::new(Some(LIMIT), SOCKETS)
}

fn answer(connection: u64, bytes: u64, unread_since: u64) -> BufferedAnswer {
    BufferedAnswer { connection, bytes, unread_since: Millis(unread_since) }
}

/// Guards against a process that is killed because it takes more bodies into memory than it has
/// room for, and against one that refuses bodies for ever afterwards.
#[test]
fn bodies_are_refused_only_while_memory_is_short() {
    let mut budget = budget();
    let mut held = 0;
    while budget.has_room_for_body(MIB) {
        budget.take(MIB);
        held += MIB;
    }
    assert!(budget.is_short());
    assert!(held < BUDGET, "no room is left for answers under way");
    assert!(held >= BUDGET / 2, "{held} bytes of {BUDGET}");
    budget.give_back(MIB);
    assert!(budget.has_room_for_body(MIB));
}

/// Guards against answers that are cut, or upstreams that are not read, in a process without a
/// limit.
#[test]
fn without_a_limit_nothing_is_refused_or_ended() {
    let mut budget = MemoryBudget::new(None, SOCKETS);
    budget.take(1 << 50);
    assert!(budget.has_room_for_body(1 << 50));
    assert!(!budget.is_short() && !budget.is_exhausted());
    assert_eq!(budget.answer_bound(), u64::MAX);
    assert_eq!(budget.answer_to_end(LONG, [answer(1, MIB, 0)].into_iter()), None);
}

/// Guards against many callers that don't read and together take all memory: with each at its
/// bound, what they hold has to fit.
#[test]
fn answers_at_their_bound_fit_into_the_budget() {
    let mut budget = budget();
    // Each answer takes two sockets.
    let mut held = vec![0; SOCKETS / 2];
    // Events of a kilobyte arrive for all answers in turn; nobody reads.
    for _ in 0..256 {
        for bytes in &mut held {
            if *bytes < budget.answer_bound() {
                *bytes += 1 << 10;
                budget.take(1 << 10);
            }
        }
    }
    assert!(budget.taken() <= BUDGET, "{} bytes of {BUDGET}", budget.taken());
    assert!(held.iter().all(|bytes| *bytes >= 16 << 10), "an answer gets next to nothing");
}

/// Guards against an end of an answer whose caller reads, or of one that holds next to nothing,
/// while another that nobody reads keeps the memory.
#[test]
fn the_answer_that_is_unread_longest_is_ended_once_memory_stays_short() {
    let mut budget = budget();
    budget.take(BUDGET * 9 / 10);
    let small = answer(1, 100, 0);
    let oldest = answer(2, MIB, 2_000);
    let newer = answer(3, 8 * MIB, 2_500);
    let read = answer(4, 8 * MIB, 9_900);
    let all = || [small, newer, oldest, read].into_iter();
    assert_eq!(budget.answer_to_end(Millis(9_000), all()), None, "not short for long");
    assert_eq!(budget.answer_to_end(Millis(10_000), all()), Some(2));
    let rest = || [small, newer, read].into_iter();
    assert_eq!(budget.answer_to_end(Millis(10_010), rest()), None, "ends follow at once");
    assert_eq!(budget.answer_to_end(Millis(11_010), rest()), Some(3));
    budget.give_back(BUDGET / 2);
    assert_eq!(budget.answer_to_end(Millis(20_000), rest()), None);
}

/// Guards against unread answers that keep bodies out for good, because those find no room although
/// memory isn't short yet.
#[test]
fn unread_answers_give_way_to_bodies_that_find_no_room() {
    let mut budget = budget();
    while budget.has_room_for_body(2 * MIB) {
        budget.take(MIB / 2);
    }
    assert!(!budget.is_short());
    let answers = || [answer(1, MIB, 0)].into_iter();
    let mut ended = None;
    for step in 0..30 {
        let now = Millis(10_000 + step * 100);
        assert!(!budget.has_room_for_body(2 * MIB));
        budget.on_refused(now);
        ended = ended.or(budget.answer_to_end(now, answers()).map(|_| step * 100));
    }
    assert_eq!(ended, Some(1_000));
    assert_eq!(budget.answer_to_end(Millis(60_000), answers()), None, "long after the refusals");
}

/// Guards against an answer that is ended in spite of a caller that reads, since bodies or other
/// answers take the memory.
#[test]
fn no_answer_is_ended_whose_caller_reads() {
    let mut budget = budget();
    budget.take(2 * BUDGET);
    let now = Millis(60_000);
    let answers = || [answer(1, MIB, now.0 - 500), answer(2, 100, 0)].into_iter();
    assert_eq!(budget.answer_to_end(now, answers()), None);
    assert_eq!(budget.answer_to_end(now + Millis(500), answers()), Some(1), "exhausted");
}

/// Guards against an upstream that is blamed since it cut off an answer that its caller did not
/// read.
#[test]
fn an_end_after_a_long_pause_of_the_caller_is_the_callers_doing() {
    let mut unread = UnreadUpstream::default();
    unread.on_paused(Millis(1_000));
    assert!(unread.on_continued(Millis(1_000) + UNREAD_SPAN + Millis(2_000)));
    // What the upstream had sent before arrives first.
    unread.on_drained();
    assert!(unread.is_callers_doing(Millis(4_200)));
}

/// Guards against the same with a caller that reads a little from time to time.
#[test]
fn pauses_add_up_while_the_upstream_has_more() {
    let mut unread = UnreadUpstream::default();
    let mut now = Millis(0);
    for _ in 0..5 {
        unread.on_paused(now);
        now = now + Millis(300);
        unread.on_continued(now);
    }
    assert!(unread.is_callers_doing(now));
}

/// Guards against upstreams whose own crashes are charged to callers that read.
#[test]
fn an_end_under_a_caller_that_reads_is_the_upstreams() {
    let mut unread = UnreadUpstream::default();
    for event in 0..100 {
        let now = Millis(event * 40);
        unread.on_paused(now);
        assert!(!unread.on_continued(now + Millis(20)));
        unread.on_drained();
        assert!(!unread.is_callers_doing(now));
    }
    unread.on_paused(Millis(10_000));
    unread.on_continued(Millis(15_000));
    unread.on_drained();
    assert!(!unread.is_callers_doing(Millis(30_000)), "long after the caller read again");
}

/// Guards against a request that is refused, or upstreams that get fewer requests, since its caller
/// does not read what they answer.
#[test]
fn an_unread_answer_counts_against_nothing() {
    let mut traffic = traffic(1e9, ENGINES);
    let digest = RequestDigest(u64::MAX);
    for no in 0..20 {
        let now = Millis(100 + no * 350);
        let same = Demand { digest, ..demand(no, now, "alder", 7, 100) };
        assert!(is_started(traffic.admit(now, same).as_ref()), "try {no}");
        traffic.on_head(no);
        assert!(traffic.on_end(now, no, SendEnd::Unread).is_none());
    }
    let rates = traffic.upstreams().values().map(|upstream| upstream.health.failure_rate());
    assert!(rates.into_iter().all(|rate| rate == 0.0));
    let idle = traffic.upstreams().values().all(|upstream| upstream.own.running == 0);
    assert!(idle, "a request is still counted");
}

/// Ends a request to the old version of a rollout under way; returns the answers that are reported,
/// as whole and failed ones.
fn answers_reported_after(end: SendEnd) -> (u32, u32) {
    let mut traffic = traffic(1e9, ENGINES);
    let now = Millis(100);
    let mut listing: Vec<_> = traffic.upstreams().values().map(|u| u.listed.clone()).collect();
    listing.iter_mut().for_each(|listed| listed.version = Some("v1".into()));
    traffic.set_listing(now, listing);
    let order =
        RolloutOrder { service: "engine".into(), to: "v2".into(), duration: Millis(12_000) };
    let stage = RolloutStage::Canary(0);
    let rollout = Rollout { order, id: 7, started_unix_ms: 0, stage, index: 7 };
    let rollouts = BTreeMap::from([("engine".into(), BTreeMap::from([(7, rollout)]))]);
    traffic.set_rollouts(now, &rollouts);
    assert!(is_started(traffic.admit(now, demand(1, now, "alder", 7, 100)).as_ref()));
    traffic.on_first_event(now, 1);
    traffic.on_end(now, 1, end);
    let reports = traffic.rollout_reports(now, 1);
    let evidence = reports.iter().flat_map(|report| &report.routes);
    let old = evidence.map(|(_, evidence)| &evidence.baseline);
    old.fold((0, 0), |(whole, failed), old| (whole + old.answered, failed + old.failed))
}

/// Guards against a version that is rolled back, or one that is kept, because of callers that don't
/// read.
#[test]
fn an_unread_answer_is_no_evidence_in_a_rollout() {
    assert_eq!(answers_reported_after(SendEnd::Answered), (1, 0));
    assert_eq!(answers_reported_after(SendEnd::ClosedByRunning), (0, 1));
    assert_eq!(answers_reported_after(SendEnd::Unread), (0, 0));
}

/// The memory of an engine in [`configuration`], in tokens.
const CAPACITY: u64 = 800_000;
/// The memory that each request takes.
const TOKENS: u32 = 12_000;
/// The time for which it does.
const HELD: Millis = Millis(2_000);
const ENTRIES: usize = 24;

fn pressed_traffic(entry: usize, ends_beyond_memory: bool) -> Traffic {
    let ip = IpAddr::from([127, 0, 0, entry as u8 + 1]);
    let settings = FleetSettings { ip, ends_beyond_memory, ..fleet_settings() };
    let mut traffic = Traffic::new(Arc::new(settings));
    traffic.set_configuration(Arc::new(configuration(1e9)));
    let listing = (0..ENGINES).map(|n| ListedUpstream {
        slots: 1_000,
        ..listed("engine", &format!("engine-{n}"), Millis::ZERO)
    });
    traffic.set_listing(Millis::ZERO, listing.collect());
    traffic.set_entries(entry_names(ENTRIES));
    traffic
}

/// A request that takes [`TOKENS`] at one engine, which has cached its shared parts.
fn long_answer(no: RequestNo, now: Millis, engine: usize) -> Demand {
    let others = (0..ENGINES).filter(|other| *other != engine);
    let avoid = others.map(|other| format!("engine-{other}").as_str().into()).collect();
    Demand { expected_output: TOKENS - 10, avoid, ..demand(no, now, "alder", 7, 10) }
}

/// Lets all entries send a third more than one engine has memory for, and returns the most that it
/// held.
fn most_held(ends_beyond_memory: bool, seed: u64) -> u64 {
    let mut fleet: Vec<Traffic> =
        (0..ENTRIES).map(|entry| pressed_traffic(entry, ends_beyond_memory)).collect();
    let names = entry_names(ENTRIES);
    let age = report_age(ENTRIES);
    let mut random = seed;
    // Requests per millisecond and entry.
    let rate = CAPACITY as f64 * 1.3 / f64::from(TOKENS) / HELD.0 as f64 / ENTRIES as f64;
    let mut ends: BTreeMap<u64, Vec<(usize, RequestNo)>> = BTreeMap::new();
    let mut reports: BTreeMap<u64, Vec<LoadReport>> = BTreeMap::new();
    let (mut running, mut most, mut no) = (0, 0, 0);
    for at in 0..20_000 {
        let now = Millis(at);
        for (entry, no) in ends.remove(&at).unwrap_or_default() {
            fleet[entry].on_end(now, no, SendEnd::Answered);
            running -= 1;
        }
        for (from, report) in reports.remove(&at).unwrap_or_default().into_iter().enumerate() {
            for (entry, traffic) in fleet.iter_mut().enumerate() {
                if entry != from {
                    traffic.on_report(now, names[from].clone(), report.clone());
                }
            }
        }
        if at.is_multiple_of(50) {
            let sent = fleet.iter_mut().map(|traffic| traffic.take_report(now)).collect();
            reports.insert(at + age.0, sent);
        }
        for (entry, traffic) in fleet.iter_mut().enumerate() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            // The load begins over five seconds.
            let chance = rate * (at as f64 / 5_000.0).min(1.0);
            if (random >> 33) as f64 / (1u64 << 31) as f64 >= chance {
                continue;
            }
            no += 1;
            match traffic.admit(now, long_answer(no, now, 0)) {
                Some(Verdict::Start(_)) => {
                    traffic.on_first_event(now, no);
                    running += 1;
                    ends.entry(at + HELD.0).or_default().push((entry, no));
                }
                Some(Verdict::Refuse { .. }) => {}
                None => traffic.cancel_waiting(no),
            }
        }
        most = most.max(running * u64::from(TOKENS));
    }
    most
}

/// Guards against an engine that ends because entries send to it what it had room for when they
/// last heard of each other.
#[test]
fn the_entries_together_keep_an_engine_within_its_memory() {
    for seed in 1..=3 {
        let most = most_held(true, seed);
        assert!(most <= CAPACITY, "seed {seed}: {most} tokens of {CAPACITY}");
        assert!(
            most >= CAPACITY * 7 / 10,
            "seed {seed}: only {most} tokens of {CAPACITY} are used"
        );
    }
    assert!(most_held(false, 1) > CAPACITY, "the load does not press the engine");
}

/// Fills an engine with requests of others up to this memory.
fn report_memory(traffic: &mut Traffic, now: Millis, engine: usize, memory: u64) {
    let mut report = LoadReport::default();
    let load = kingcupgrade::protocol::fleet::Load { running: 50, memory, ..Default::default() };
    report.loads.push((format!("engine-{engine}").as_str().into(), load));
    traffic.on_report(now, entry_names(ENTRIES)[1].clone(), report);
}

/// Sends the same requests, lets the engines end under them, each with this memory in use by others
/// by then, and returns whether the requests are barred.
fn is_barred_after_ends(memory: u64, ends_beyond_memory: bool) -> bool {
    let mut traffic = pressed_traffic(0, ends_beyond_memory);
    let digest = RequestDigest(u64::MAX);
    let mut now = Millis(100);
    for engine in 0..6 {
        let no = engine as u64;
        let requests = [no * 2, no * 2 + 1];
        for no in requests {
            let same = Demand { digest, ..long_answer(no, now, engine) };
            if !is_started(traffic.admit(now, same).as_ref()) {
                return true;
            }
            traffic.on_head(no);
        }
        report_memory(&mut traffic, now, engine, memory);
        for no in requests {
            traffic.on_end(now, no, SendEnd::Disconnected);
            // By the second end, the others have seen that the engine has ended.
            report_memory(&mut traffic, now, engine, 0);
        }
        now = now + Millis(400);
    }
    traffic.barred(now, digest, &[]).is_some()
}

/// Guards against requests that are refused because engines ended under them for want of memory.
#[test]
fn an_engine_that_ends_beyond_its_memory_blames_nothing() {
    assert!(!is_barred_after_ends(CAPACITY, true));
}

/// Guards against requests that crash engines within their memory and are no longer blamed, or that
/// are not blamed where engines don't end beyond their memory.
#[test]
fn an_engine_that_ends_within_its_memory_blames_as_before() {
    assert!(is_barred_after_ends(CAPACITY / 4, true));
    assert!(is_barred_after_ends(CAPACITY, false));
}

/// Guards against blame that is lost for good once an engine has ended beyond its memory: its next
/// incarnation counts anew.
#[test]
fn the_next_incarnation_of_an_engine_counts_anew() {
    let mut traffic = pressed_traffic(0, true);
    let now = Millis(100);
    assert!(is_started(traffic.admit(now, long_answer(0, now, 0)).as_ref()));
    report_memory(&mut traffic, now, 0, CAPACITY);
    let end = traffic.on_end(now, 0, SendEnd::Disconnected).expect("a disconnect");
    assert!(end.beyond_memory);
    report_memory(&mut traffic, now, 0, 0);
    let mut listing: Vec<_> = traffic.upstreams().values().map(|u| u.listed.clone()).collect();
    listing.iter_mut().for_each(|listed| listed.started_unix_ms += 1);
    traffic.set_listing(now, listing);
    assert!(is_started(traffic.admit(now, long_answer(1, now, 0)).as_ref()));
    let end = traffic.on_end(now, 1, SendEnd::Disconnected).expect("a disconnect");
    assert!(!end.beyond_memory);
}
