//! Tests an entry that stops responding while it owns, by static share, the only upstream of its
//! failure domain.
//!
//! Each entry in turn is the unresponsive one: the upstream gets a name for which that entry ranks
//! first, so the result does not depend on which entry holds the lease.

use kingcupgrade::{core::UpstreamName, util::rendezvous::static_shares};

use super::simulation::{DOMAINS, ENTRIES_PER_DOMAIN, Simulation, name};

/// How long the simulation runs without faults before an entry stops responding.
const WARM_UP_MS: u64 = 8_000;
/// The time within which the failure domain is served again after an entry stops responding.
const TAKEOVER_MS: u64 = 5_000;
/// Long enough for an isolated entry to start its static share.
const ISOLATION_MS: u64 = 25_000;

/// Returns an upstream name that the static shares assign to `owner`.
fn upstream_owned_by(owner: usize, domain: usize) -> UpstreamName {
    let residents: Vec<_> =
        (0..ENTRIES_PER_DOMAIN).map(|n| name(domain * ENTRIES_PER_DOMAIN + n)).collect();
    let names = (0..).map(|n| UpstreamName::from(format!("{}-{n}", DOMAINS[domain]).as_str()));
    let is_owned = |upstream: &UpstreamName| {
        static_shares([upstream.clone()], &residents).get(upstream) == Some(&name(owner))
    };
    names.into_iter().find(is_owned).expect("a name for each owner")
}

/// Creates a simulation in which the north is partitioned from the south and `owner` owns the
/// north's upstream.
fn simulation_with_owner(owner: usize, slot_limit: u32) -> Simulation {
    let names = [upstream_owned_by(owner, 0), upstream_owned_by(ENTRIES_PER_DOMAIN, 1)];
    let mut simulation = Simulation::with(7, slot_limit, names);
    simulation.faults_enabled = false;
    simulation.is_partitioned = true;
    simulation.only_north = true;
    run_for(&mut simulation, WARM_UP_MS);
    simulation
}

fn run_for(simulation: &mut Simulation, span: u64) {
    let end = simulation.now + span;
    while simulation.now < end {
        simulation.step().unwrap_or_else(|err| panic!("{err}"));
    }
}

/// Returns how many requests the north's entries start within `span`: those of entry `one`, and
/// those of all others together.
fn started(simulation: &mut Simulation, one: usize, span: u64) -> (u64, u64) {
    let before = simulation.started.clone();
    run_for(simulation, span);
    let of = |host: usize| {
        let count =
            |started: &std::collections::BTreeMap<usize, u64>| *started.get(&host).unwrap_or(&0);
        count(&simulation.started) - count(&before)
    };
    let others = (0..ENTRIES_PER_DOMAIN).filter(|host| *host != one).map(of).sum();
    (of(one), others)
}

/// Guards against a frozen entry that keeps the upstreams it owns out of service for all others.
#[test]
fn a_frozen_owner_keeps_no_upstream_from_its_failure_domain() {
    for owner in 0..ENTRIES_PER_DOMAIN {
        let mut simulation = simulation_with_owner(owner, 2);
        simulation.freeze(owner);
        run_for(&mut simulation, TAKEOVER_MS);
        let (_, others) = started(&mut simulation, owner, ISOLATION_MS);
        assert!(others > 20, "owner {owner}: {others} requests started");
        simulation.thaw(owner);
        run_for(&mut simulation, ISOLATION_MS);
    }
}

/// Guards against overselling a cold upstream, whose slots an isolated entry and the dispatcher of
/// the other entries might both use, and against either side serving nothing.
#[test]
fn an_isolated_owner_and_the_others_share_its_upstream() {
    for owner in 0..ENTRIES_PER_DOMAIN {
        let mut simulation = simulation_with_owner(owner, 2);
        simulation.isolated = Some(owner);
        run_for(&mut simulation, TAKEOVER_MS);
        let (_, others) = started(&mut simulation, owner, TAKEOVER_MS);
        assert!(others > 4, "owner {owner}: {others} requests started by the others");
        let (own, others) = started(&mut simulation, owner, ISOLATION_MS);
        assert!(own > 10 && others > 10, "owner {owner}: {own} and {others} requests started");
        simulation.isolated = None;
        run_for(&mut simulation, ISOLATION_MS);
    }
}

/// Guards against a document change that raises a static share to the full slot limit.
#[test]
fn a_changed_document_widens_no_static_share() {
    for owner in 0..ENTRIES_PER_DOMAIN {
        let mut simulation = simulation_with_owner(owner, 4);
        (0..ENTRIES_PER_DOMAIN)
            .filter(|host| *host != owner)
            .for_each(|host| simulation.freeze(host));
        run_for(&mut simulation, ISOLATION_MS);
        let before = simulation.started[&owner];
        simulation.document_revision += 1;
        for _ in 0..ISOLATION_MS / 100 {
            run_for(&mut simulation, 100);
            assert!(
                simulation.running() <= 2,
                "owner {owner}: {} requests run",
                simulation.running()
            );
        }
        assert!(simulation.started[&owner] > before, "owner {owner} starts no request");
    }
}

/// Guards against an upstream with a single slot being used by both sides of a partition or by
/// neither: the slot belongs to the side that can have a dispatcher.
#[test]
fn a_single_slot_is_the_dispatchers() {
    for owner in 0..ENTRIES_PER_DOMAIN {
        let mut simulation = simulation_with_owner(owner, 1);
        simulation.isolated = Some(owner);
        run_for(&mut simulation, TAKEOVER_MS);
        let (own, others) = started(&mut simulation, owner, ISOLATION_MS);
        assert!(own == 0 && others > 20, "owner {owner}: {own} and {others} requests started");
    }
}

/// Guards against an entry that leaves its upstream's only slot idle although all other entries'
/// processes are gone, so that no dispatcher can use it.
#[test]
fn the_last_entry_uses_the_single_slot_of_its_upstream() {
    for owner in 0..ENTRIES_PER_DOMAIN {
        let mut simulation = simulation_with_owner(owner, 1);
        (0..ENTRIES_PER_DOMAIN)
            .filter(|host| *host != owner)
            .for_each(|host| simulation.kill(host));
        // Two lease periods without a holder, and the time in which a lease may still be won.
        run_for(&mut simulation, 10_000);
        let (own, _) = started(&mut simulation, owner, ISOLATION_MS);
        assert!(own > 20, "owner {owner}: {own} requests started");
    }
}
