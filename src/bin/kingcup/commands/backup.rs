use kingcupgrade::ops;

use super::Context;
use crate::flags::Backup;

pub(crate) fn exec(cx: &Context, args: &Backup) -> anyhow::Result<()> {
    let index = ops::backup(&cx.client, &args.path)?;
    println!("{}: the record up to entry {index}", args.path.display());
    Ok(())
}
