use kingcupgrade::ops;

use super::Context;
use crate::flags::Backup;

pub(crate) fn exec(cx: &Context, args: &Backup) -> anyhow::Result<()> {
    let info = ops::backup(&cx.client, &args.path)?;
    println!("{}: the record up to entry {}", args.path.display(), info.index);
    if !info.confirmed {
        eprintln!("warning: no majority confirmed this state; accepted changes may be missing");
    }
    Ok(())
}
