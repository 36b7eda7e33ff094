//! Tasks that a process can't do without.
//!
//! The runtime catches a task that panics and goes on with the others. An entry whose accepting task
//! is gone would look healthy and answer nobody, so the process ends with it and is started again.

use std::future::Future;

use anyhow::Context;
use tokio::task::{JoinSet, LocalSet};

/// Runs a process's tasks on the thread that calls, until the given one ends.
pub(super) fn run_on_this_thread(
    task: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, task)
}

/// The tasks of one process.
#[derive(Default)]
pub(super) struct EssentialTasks(JoinSet<anyhow::Result<()>>);

impl EssentialTasks {
    /// Starts a task on the local set.
    pub(super) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = anyhow::Result<()>> + 'static,
    ) {
        self.0.spawn_local(async move { task.await.context(name) });
    }

    /// Waits until a task fails or panics; one that has done its work is none of these.
    pub(super) async fn failure(&mut self) -> anyhow::Error {
        while let Some(ended) = self.0.join_next().await {
            match ended {
                Ok(Ok(())) => {}
                Ok(Err(err)) => return err,
                Err(err) => return err.into(),
            }
        }
        std::future::pending().await
    }
}
