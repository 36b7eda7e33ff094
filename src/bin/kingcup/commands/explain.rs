use kingcupgrade::ops;

use crate::flags::Explain;

pub(crate) fn exec(args: &Explain) -> anyhow::Result<()> {
    let explanation = ops::explain(&args.request, &args.logs)?;
    for (place, line) in explanation.lines.iter().enumerate() {
        let mark = if explanation.deciding == Some(place) { "=>" } else { "  " };
        println!("{mark} {} {} {} {}", line.unix_ms, line.log.display(), line.event, line.fields);
    }
    if explanation.lines.is_empty() {
        println!("no line names {}; of requests that succeed only some are logged", args.request);
    }
    if explanation.unreadable > 0 {
        println!("{} lines can't be read and were passed over", explanation.unreadable);
    }
    Ok(())
}
