use kingcupgrade::protocol::operator::Status as InstanceStatus;

use super::Context;
use crate::flags::Status;

pub(crate) fn exec(cx: &Context, args: &Status) -> anyhow::Result<()> {
    let mut statuses = Vec::new();
    for instance in cx.client.instances() {
        match cx.client.status(instance) {
            Ok(status) => statuses.push(status),
            Err(err) => eprintln!("{instance}: {err:#}"),
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&statuses)?);
        return Ok(());
    }
    let newest = statuses.iter().map(|status| status.index).max().unwrap_or(0);
    println!("instance          domain        index  requests  notes");
    for status in &statuses {
        println!("{}", line(status, newest));
    }
    print_domains_out(&statuses);
    Ok(())
}

fn line(status: &InstanceStatus, newest: u64) -> String {
    let mut notes = Vec::new();
    if status.index < newest {
        notes.push("behind".to_owned());
    }
    if !status.fresh {
        notes.push("not confirmed".to_owned());
    }
    if status.draining {
        notes.push("shutting down".to_owned());
    }
    if let Some(control) = &status.control {
        let leads = control.leader.as_ref() == Some(&status.instance);
        notes.push(if leads {
            "leads the record".to_owned()
        } else {
            "keeps the record".to_owned()
        });
        if let Some(failure) = &control.failure {
            notes.push(failure.to_string());
        }
    }
    for pool in &status.pools {
        notes.push(format!("dispatches {}", pool.service));
    }
    format!(
        "{:<16}  {:<12}  {:>5}  {:>8}  {}",
        status.instance.as_str(),
        status.failure_domain.as_str(),
        status.index,
        status.open_requests,
        notes.join(", ")
    )
}

fn print_domains_out(statuses: &[InstanceStatus]) {
    let Some(newest) = statuses.iter().max_by_key(|status| status.index) else { return };
    for availability in newest.domains.iter().filter(|availability| availability.out) {
        println!("failure domain {} is out", availability.name);
    }
}
