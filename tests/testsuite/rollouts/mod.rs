//! Rollouts of versions: the decisions without network, and fleets of daemons.

mod decisions;
mod fleet;
