use kingcupgrade::ops;

use crate::flags::Verify;

pub(crate) fn exec(args: &Verify) -> anyhow::Result<()> {
    let verified = ops::verify(&args.folder)?;
    println!("replica: {}", verified.replica);
    println!("term: {}", verified.term);
    println!("snapshot up to entry: {}", verified.snapshot_index);
    println!("log up to entry: {}", verified.last_index);
    println!("request keys in the snapshot: {}", verified.keys);
    println!("bytes of an incomplete write, never acknowledged: {}", verified.torn_bytes);
    for member in &verified.members {
        println!("member: {} ({})", member.id, if member.voter { "votes" } else { "catches up" });
    }
    Ok(())
}
