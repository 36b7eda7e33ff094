use kingcupgrade::ops;

use crate::flags::Explain;

pub(crate) fn exec(args: &Explain) -> anyhow::Result<()> {
    let explanation = ops::explain(&args.request, &args.logs)?;
    for (index, line) in explanation.lines.iter().enumerate() {
        let mark = if explanation.deciding == Some(index) { "=>" } else { "  " };
        println!("{mark} {} {} {} {}", line.unix_ms, line.log.display(), line.event, line.fields);
    }
    if explanation.lines.is_empty() {
        println!("no line mentions {}; only some successful requests are logged", args.request);
    }
    if explanation.unreadable > 0 {
        println!("{} lines could not be parsed and were skipped", explanation.unreadable);
    }
    Ok(())
}
