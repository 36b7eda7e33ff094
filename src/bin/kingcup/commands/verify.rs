use kingcupgrade::ops;

use crate::flags::Verify;

pub(crate) fn exec(args: &Verify) -> anyhow::Result<()> {
    let summary = ops::verify(&args.folder)?;
    println!("replica: {}", summary.replica);
    println!("term: {}", summary.term);
    println!("snapshot up to entry: {}", summary.snapshot_index);
    println!("log up to entry: {}", summary.last_index);
    println!("request keys in the snapshot: {}", summary.keys);
    println!("bytes of an incomplete write, never acknowledged: {}", summary.torn_bytes);
    for member in &summary.members {
        println!("member: {} ({})", member.id, if member.voter { "votes" } else { "catches up" });
    }
    Ok(())
}
