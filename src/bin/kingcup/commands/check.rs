use std::fs;

use anyhow::Context as _;
use kingcupgrade::core::Document;

use crate::flags::Check;

pub(crate) fn exec(args: &Check) -> anyhow::Result<()> {
    let text = fs::read_to_string(&args.path).with_context(|| args.path.display().to_string())?;
    let document = Document::parse(&text).with_context(|| args.path.display().to_string())?;
    println!("{}: valid document of {}", args.path.display(), document.service);
    Ok(())
}
