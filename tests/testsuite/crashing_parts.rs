//! Tests which parts of prompts are kept from upstreams because they crash them.

use kingcupgrade::{
    coordination::traffic::{Demand, PromptPart, SendEnd, Traffic, Verdict},
    core::{Code, Millis, RequestDigest},
};

use crate::traffic::{demand, entry_names, traffic, traffic_for_entry};

pub(crate) const ENGINES: usize = 12;
/// A part of all prompts, one that crashes engines, and the part of another session.
const FATAL: u64 = 666;
const SOUND: u64 = 7;
/// The time between two crashes.
const INTERVAL: Millis = Millis(400);
/// Longer than the time after which a part is tried again for the first time.
const TRIAL_AFTER: Millis = Millis(61_000);

fn fatal(no: u64, now: Millis) -> Demand {
    demand(no, now, "alder", FATAL, 100)
}

fn sound(no: u64, now: Millis) -> Demand {
    demand(no, now, "alder", SOUND, 100)
}

pub(crate) fn is_started(verdict: Option<&Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Start(_)))
}

pub(crate) fn refusal(verdict: Option<Verdict>) -> Option<(Code, Millis)> {
    match verdict {
        Some(Verdict::Refuse { code, retry_after }) => Some((code, retry_after)),
        _ => None,
    }
}

/// Serves a request whole.
pub(crate) fn serve(traffic: &mut Traffic, now: Millis, demand: Demand) {
    let no = demand.no;
    assert!(is_started(traffic.admit(now, demand).as_ref()), "request {no}");
    traffic.on_head(no);
    traffic.on_first_event(now, no);
    traffic.on_tokens(now, no, 24);
    traffic.on_end(now, no, SendEnd::Answered);
}

/// Lets one of the engines, another one each time, end as it begins to write an answer; returns
/// whether the request was sent.
pub(crate) fn crash(traffic: &mut Traffic, now: Millis, demand: Demand) -> bool {
    let no = demand.no;
    let engine = no as usize % ENGINES;
    let others = (0..ENGINES).filter(|other| *other != engine);
    let avoid = others.map(|other| format!("engine-{other}").as_str().into()).collect();
    let demand = Demand { avoid, ..demand };
    if !is_started(traffic.admit(now, demand).as_ref()) {
        return false;
    }
    traffic.on_head(no);
    traffic.on_end(now, no, SendEnd::Disconnected);
    true
}

/// Lets requests with the fatal part crash engines one after the other until they are refused;
/// returns when the last was sent and how many were.
fn crash_until_barred(traffic: &mut Traffic, from: Millis) -> (Millis, u64) {
    let mut now = from;
    for count in 0..20 {
        if !crash(traffic, now, fatal(10_000 + count, now)) {
            return (now, count);
        }
        now = now + INTERVAL;
    }
    panic!("the part is never blamed");
}

/// Guards against a part that goes on crashing upstreams, and against one that is blamed with it
/// because all prompts share it.
#[test]
fn a_part_that_crashes_upstreams_is_barred_and_no_other() {
    let mut traffic = traffic(1e9, ENGINES);
    let (now, crashes) = crash_until_barred(&mut traffic, Millis(100));
    assert!(crashes <= 5, "{crashes} crashes");
    let refused = refusal(traffic.admit(now, fatal(1, now)));
    let (code, retry_after) = refused.expect("a refusal");
    assert_eq!(code, Code::PartBarred);
    assert!(retry_after > Millis::ZERO);
    serve(&mut traffic, now, sound(2, now));
}

/// Guards against a part that is blamed because two requests that share it crash engines, each over
/// the tries of its caller, by what no other request has.
#[test]
fn crashes_under_few_requests_blame_no_part() {
    let mut traffic = traffic(1e9, ENGINES);
    let mut now = Millis(100);
    for no in 0..4 {
        let digest = RequestDigest(1_000_000 + no % 2);
        assert!(crash(&mut traffic, now, Demand { digest, ..sound(no, now) }), "request {no}");
        now = now + INTERVAL;
    }
    serve(&mut traffic, now, sound(200, now));
}

/// Guards against entries that see one crash each and learn nothing from it.
#[test]
fn crashes_at_different_entries_add_up() {
    let mut entries: Vec<Traffic> = (0..5).map(|n| traffic_for_entry(n, 1e9, ENGINES)).collect();
    let names = entry_names(5);
    let mut now = Millis(100);
    for place in 0..5 {
        crash(&mut entries[place], now, fatal(place as u64, now));
        exchange(&mut entries, now);
        now = now + INTERVAL;
    }
    for (entry, name) in entries.iter_mut().zip(&names) {
        let refused = refusal(entry.admit(now, fatal(200, now)));
        assert_eq!(refused.map(|(code, _)| code), Some(Code::PartBarred), "{name}");
    }
}

/// Delivers what all entries tell of crashes to each other.
pub(crate) fn exchange(entries: &mut [Traffic], now: Millis) {
    let news: Vec<_> = entries.iter_mut().map(|entry| entry.take_crash_news(now)).collect();
    for (receiver, entry) in entries.iter_mut().enumerate() {
        for (_, news) in news.iter().enumerate().filter(|(sender, _)| *sender != receiver) {
            entry.on_crash_news(now, news.clone());
        }
    }
}

/// Guards against a part that is blamed because a failure domain was lost or a herd of upstreams
/// restarted, also if no answer on it had ever begun.
#[test]
fn upstreams_that_end_together_blame_nothing() {
    let mut traffic = traffic(1e9, ENGINES);
    let mut now = Millis(100);
    for round in 0..2 {
        let numbers: Vec<u64> = (0..40).map(|n| round * 100 + n).collect();
        for no in &numbers {
            // A session of its own for each, so that the engines all get some.
            let demand = with_session(fatal(*no, now), 5_000 + *no % 4);
            assert!(is_started(traffic.admit(now, demand).as_ref()));
            traffic.on_head(*no);
        }
        for (order, no) in numbers.iter().enumerate() {
            let at = now + Millis(order as u64);
            traffic.on_end(at, *no, SendEnd::Disconnected);
        }
        now = now + Millis(5_000);
        for session in 0..4 {
            let demand = with_session(sound(round * 100 + 60 + session, now), 5_000 + session);
            assert!(is_started(traffic.admit(now, demand).as_ref()), "session {session} is barred");
        }
    }
}

fn with_session(demand: Demand, session: u64) -> Demand {
    let mut parts: Vec<PromptPart> = demand.prompt.to_vec();
    parts[1].id = session;
    Demand { prompt: parts.into(), ..demand }
}

/// Guards against a part that is blamed because upstreams restart one after the other while answers
/// on it begin elsewhere.
#[test]
fn a_part_with_answers_between_is_not_blamed() {
    let mut traffic = traffic(1e9, ENGINES);
    let mut now = Millis(100);
    for round in 0..20 {
        assert!(crash(&mut traffic, now, sound(round * 10, now)), "round {round}");
        serve(&mut traffic, now + Millis(50), sound(round * 10 + 1, now + Millis(50)));
        now = now + INTERVAL;
    }
}

/// Guards against a part that stays barred for ever, and against one that each entry tries again by
/// itself.
#[test]
fn a_barred_part_is_tried_by_one_entry_and_comes_free() {
    let mut entries: Vec<Traffic> = (0..5).map(|n| traffic_for_entry(n, 1e9, ENGINES)).collect();
    let names = entry_names(5);
    entries.iter_mut().for_each(|entry| entry.set_entries(names.clone()));
    let (barred, _) = crash_until_barred(&mut entries[0], Millis(100));
    exchange(&mut entries, barred);
    let now = barred + TRIAL_AFTER;
    let mut tried = Vec::new();
    for (place, entry) in entries.iter_mut().enumerate() {
        for no in 0..4 {
            if is_started(entry.admit(now, fatal(500 + no, now)).as_ref()) {
                tried.push((place, 500 + no));
            }
        }
    }
    let [(place, no)] = tried[..] else { panic!("{tried:?}") };
    entries[place].on_head(no);
    entries[place].on_first_event(now, no);
    entries[place].on_tokens(now, no, 24);
    exchange(&mut entries, now);
    for (entry, name) in entries.iter_mut().zip(&names) {
        assert!(is_started(entry.admit(now, fatal(600, now)).as_ref()), "{name}");
    }
}

/// Guards against a part that ends an upstream at each trial as often as before.
#[test]
fn trials_become_rarer() {
    let mut traffic = traffic(1e9, ENGINES);
    let (barred, _) = crash_until_barred(&mut traffic, Millis(100));
    let mut sent = Vec::new();
    for second in 0..600 {
        let now = barred + Millis(second * 1_000);
        if crash(&mut traffic, now, fatal(20_000 + second, now)) {
            sent.push(second);
        }
    }
    assert!((2..=3).contains(&sent.len()), "tried at {sent:?}");
}

/// Guards against an entry that has just started and lets a part through that all others keep back.
#[test]
fn an_entry_that_starts_learns_which_parts_are_barred() {
    let (mut first, mut second) = (traffic(1e9, ENGINES), traffic(1e9, ENGINES));
    let (now, _) = crash_until_barred(&mut first, Millis(100));
    first.take_crash_news(now);
    first.repeat_bars();
    let news = first.take_crash_news(now + Millis(100));
    second.on_crash_news(Millis(100), news);
    let refused = refusal(second.admit(Millis(200), fatal(1, Millis(200))));
    assert_eq!(refused.map(|(code, _)| code), Some(Code::PartBarred));
}

/// Guards against a request that was placed before its part was blamed and is sent after.
#[test]
fn a_request_under_way_to_an_upstream_is_withheld() {
    let mut traffic = traffic(1e9, ENGINES);
    let now = Millis(100);
    assert!(is_started(traffic.admit(now, fatal(1, now)).as_ref()));
    assert!(traffic.may_send(now, 1));
    let (now, _) = crash_until_barred(&mut traffic, now);
    assert!(!traffic.may_send(now, 1));
}

/// Guards against a report that grows with the requests that broke off when many upstreams ended
/// together: every entry of the fleet would have to read it.
#[test]
fn a_report_tells_few_of_many_crashes() {
    let mut traffic = traffic(1e9, ENGINES);
    let now = Millis(100);
    for no in 0..200 {
        let demand = with_session(fatal(no, now), 5_000 + no);
        if is_started(traffic.admit(now, demand).as_ref()) {
            traffic.on_end(now, no, SendEnd::Disconnected);
        }
    }
    let told = traffic.take_crash_news(now).crashes.len();
    assert!((1..=16).contains(&told), "{told} crashes in one report");
}
