//! An entry falls silent and owns, by static share, the only upstream of its failure domain.
//!
//! Each entry in turn is the silent one, by an upstream name that it ranks first for, so that
//! whoever holds the lease makes no difference to what is tested.

use kingcupgrade::{core::UpstreamName, util::rendezvous::static_shares};

use super::world::{DOMAINS, PER_DOMAIN, World, name};

/// How long all are well before one falls silent.
const WARM_UP: u64 = 8_000;
/// Within this time of the silence the failure domain is served again.
const TAKE_OVER: u64 = 5_000;
/// Long enough for an entry on its own to begin its static share.
const SILENCE: u64 = 25_000;

/// Names an upstream that `owner` serves by static share.
fn upstream_of(owner: usize, place: usize) -> UpstreamName {
    let residents: Vec<_> = (0..PER_DOMAIN).map(|n| name(place * PER_DOMAIN + n)).collect();
    let names = (0..).map(|n| UpstreamName::from(format!("{}-{n}", DOMAINS[place]).as_str()));
    let is_owned = |upstream: &UpstreamName| {
        static_shares([upstream.clone()], &residents).get(upstream) == Some(&name(owner))
    };
    names.into_iter().find(is_owned).expect("a name for each owner")
}

/// Makes a world in which the north is on its own and `owner` owns its upstream.
fn world_of(owner: usize, cold: u32) -> World {
    let names = [upstream_of(owner, 0), upstream_of(PER_DOMAIN, 1)];
    let mut world = World::with(7, cold, names);
    world.faulty = false;
    world.cut = true;
    world.only_north = true;
    play(&mut world, WARM_UP);
    world
}

fn play(world: &mut World, span: u64) {
    let end = world.now + span;
    while world.now < end {
        world.step().unwrap_or_else(|err| panic!("{err}"));
    }
}

/// Returns how many requests the entries of the north begin within `span`: one of them, and the
/// others together.
fn begun(world: &mut World, one: usize, span: u64) -> (u64, u64) {
    let before = world.begun.clone();
    play(world, span);
    let of = |host: usize| {
        let count =
            |begun: &std::collections::BTreeMap<usize, u64>| *begun.get(&host).unwrap_or(&0);
        count(&world.begun) - count(&before)
    };
    let others = (0..PER_DOMAIN).filter(|host| *host != one).map(of).sum();
    (of(one), others)
}

/// Guards against a frozen entry that takes the upstreams it owns out of service for everybody else.
#[test]
fn a_frozen_owner_keeps_no_upstream_from_its_failure_domain() {
    for owner in 0..PER_DOMAIN {
        let mut world = world_of(owner, 2);
        world.freeze(owner);
        play(&mut world, TAKE_OVER);
        let (_, others) = begun(&mut world, owner, SILENCE);
        assert!(others > 20, "owner {owner}: {others} requests begun");
        world.thaw(owner);
        play(&mut world, SILENCE);
    }
}

/// Guards against a cold upstream that is given twice, by an entry that is cut off and by the
/// dispatcher of the others, and against either side standing still.
#[test]
fn an_isolated_owner_and_the_others_share_its_upstream() {
    for owner in 0..PER_DOMAIN {
        let mut world = world_of(owner, 2);
        world.isolated = Some(owner);
        play(&mut world, TAKE_OVER);
        let (_, others) = begun(&mut world, owner, TAKE_OVER);
        assert!(others > 4, "owner {owner}: {others} requests begun by the others");
        let (own, others) = begun(&mut world, owner, SILENCE);
        assert!(own > 10 && others > 10, "owner {owner}: {own} and {others} requests begun");
        world.isolated = None;
        play(&mut world, SILENCE);
    }
}

/// Guards against a static share that is widened to the whole limit by a changed document.
#[test]
fn a_changed_document_widens_no_static_share() {
    for owner in 0..PER_DOMAIN {
        let mut world = world_of(owner, 4);
        (0..PER_DOMAIN).filter(|host| *host != owner).for_each(|host| world.freeze(host));
        play(&mut world, SILENCE);
        let before = world.begun[&owner];
        world.revision += 1;
        for _ in 0..SILENCE / 100 {
            play(&mut world, 100);
            assert!(world.running() <= 2, "owner {owner}: {} run", world.running());
        }
        assert!(world.begun[&owner] > before, "owner {owner} begins nothing");
    }
}

/// Guards against an upstream that bears one request being given to both sides or to neither: the
/// side that may have a dispatcher has it.
#[test]
fn a_single_slot_is_the_dispatchers() {
    for owner in 0..PER_DOMAIN {
        let mut world = world_of(owner, 1);
        world.isolated = Some(owner);
        play(&mut world, TAKE_OVER);
        let (own, others) = begun(&mut world, owner, SILENCE);
        assert!(own == 0 && others > 20, "owner {owner}: {own} and {others} requests begun");
    }
}

/// Guards against an entry that leaves its upstream's only slot idle although nobody else is left:
/// the processes of the others are gone, so there is no dispatcher to leave it to.
#[test]
fn the_last_entry_uses_the_single_slot_of_its_upstream() {
    for owner in 0..PER_DOMAIN {
        let mut world = world_of(owner, 1);
        (0..PER_DOMAIN).filter(|host| *host != owner).for_each(|host| world.kill(host));
        // Two leases without a holder, and the time in which one may still be won.
        play(&mut world, 10_000);
        let (own, _) = begun(&mut world, owner, SILENCE);
        assert!(own > 20, "owner {owner}: {own} requests begun");
    }
}
