//! Tasks that a process can't run without.
//!
//! Tokio catches a task's panic, and the other tasks continue. An entry whose accepting task has
//! ended would look healthy but serve no caller, so the process ends with the task and is
//! restarted.

use std::future::Future;

use anyhow::Context;
use tokio::task::{JoinSet, LocalSet};

/// Runs the tasks of a process on the current thread until the given task ends.
pub(super) fn run_on_this_thread(
    task: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, task)
}

/// The essential tasks of a process.
#[derive(Default)]
pub(super) struct EssentialTasks(JoinSet<anyhow::Result<()>>);

impl EssentialTasks {
    /// Starts a task on the current local set.
    pub(super) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = anyhow::Result<()>> + 'static,
    ) {
        self.0.spawn_local(async move { task.await.context(name) });
    }

    /// Waits until a task fails or panics, ignoring tasks that complete successfully.
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
