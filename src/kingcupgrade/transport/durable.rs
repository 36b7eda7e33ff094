//! The order of writes to the disk and of the outputs that depend on them.

use crate::state::log::Persist;

/// Writes what a batch of outputs has for the disk, with one sync, and returns the others.
/// `take_write` moves an output that is a write to the writes, or returns it.
///
/// A message may acknowledge any write of the batch. If it were sent before the sync, a crash could
/// lose data that another instance already relies on. If `write` returns false, the outputs that
/// depend on the disk are dropped: no vote and no acknowledgement may be sent.
pub(super) fn write_first<O>(
    outputs: Vec<O>,
    take_write: impl Fn(O, &mut Vec<Persist>) -> Option<O>,
    depends_on_disk: impl Fn(&O) -> bool,
    write: impl FnOnce(Vec<Persist>) -> bool,
) -> Vec<O> {
    let mut writes = Vec::new();
    let outputs = outputs.into_iter();
    let mut rest: Vec<O> = outputs.filter_map(|output| take_write(output, &mut writes)).collect();
    if !writes.is_empty() && !write(writes) {
        rest.retain(|output| !depends_on_disk(output));
    }
    rest
}
