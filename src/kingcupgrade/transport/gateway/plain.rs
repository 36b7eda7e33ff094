//! Logs and metrics of services without engines that are short of capacity.

use metrics::gauge;

use super::{Gateway, adapter::PlatformAdapter};
use crate::{core::Millis, util::log};

impl<E: PlatformAdapter> Gateway<E> {
    /// Sets the gauges of the plain services, and logs a line for each that is short of capacity.
    /// Called once a second, which limits the lines.
    pub(super) fn report_plain(&self, now: Millis) {
        let mut traffic = self.traffic.borrow_mut();
        for (service, short) in traffic.plain_status(now) {
            let fraction = short.as_ref().map_or(1.0, |short| short.admitted_fraction);
            let waiting = short.as_ref().map_or(0, |short| short.waiting);
            let label = service.as_str().to_owned();
            gauge!("kingcup_plain_admitted_fraction", "service" => label.clone()).set(fraction);
            gauge!("kingcup_plain_waiting", "service" => label).set(waiting as f64);
            if let Some(short) = short {
                log::event("service-short", &short);
            }
        }
    }
}
