//! Plays drawn rollouts and sums up what became of them.

use kingcup_support::rollouts::{Ablation, Plan, RolloutResult, Summary, run};

use crate::flags;

/// The number of rollouts that are played if none is given.
const DEFAULT_COUNT: u64 = 10_000;

/// Plays rollouts and prints their summary.
///
/// # Errors
///
/// Returns an error if the mechanism to turn off is unknown.
pub(crate) fn exec(args: &flags::Rollouts) -> anyhow::Result<bool> {
    let ablation = match args.without.as_deref() {
        None => Ablation::None,
        Some("routes") => Ablation::PerRoute,
        Some("steps") => Ablation::Steps,
        Some(other) => anyhow::bail!("unknown mechanism {other}; expected routes or steps"),
    };
    let mut summary = Summary::default();
    for seed in 0..args.count.unwrap_or(DEFAULT_COUNT) {
        let plan = match args.stalls {
            Some(most) => Plan::draw_with_stalls(seed, most),
            None if args.traffic_faults => Plan::draw_with_traffic_fault(seed),
            None => Plan::draw(seed),
        };
        let result = run(&plan, ablation);
        summary.add(&result);
        if args.verbose && is_wrong(&result) {
            eprintln!("{result:?}");
        }
    }
    println!("{summary}");
    Ok(true)
}

fn is_wrong(result: &RolloutResult) -> bool {
    result.plan.fault.is_some() == result.is_promoted()
}
