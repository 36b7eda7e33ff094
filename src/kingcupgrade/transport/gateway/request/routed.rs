//! A request whose route is known from its head, before its body is read.

use std::sync::Arc;

use http::request;
use metrics::counter;

use super::routing::{choose_service, host_of};
use crate::{
    coordination::traffic::{EarlyRequest, work_of},
    core::{
        Code, Millis, Organisation, Service,
        configuration::{Configuration, Route},
    },
    transport::gateway::{
        Gateway,
        adapter::{PlatformAdapter, RequestHead},
        decisions::FailureLine,
    },
};

/// The timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Millis = Millis(30_000);
/// The name under which requests without an organisation are counted.
const NO_ORGANISATION: &str = "-";

/// Returns the organisation that a request is charged to.
pub(super) fn charged_organisation(holder: Option<&Organisation>) -> Organisation {
    holder.cloned().unwrap_or_else(|| Organisation::from(NO_ORGANISATION))
}

/// The route, the organisation and the service of a request.
pub(in crate::transport::gateway) struct RoutedRequest {
    pub(super) route: Arc<Route>,
    pub(in crate::transport::gateway) organisation: Option<Organisation>,
    pub(super) service: Service,
    /// The expected number of tokens to be generated.
    pub(super) output: u32,
    pub(super) arrived: Millis,
    /// The version of the configuration that it was routed under.
    version: u64,
    /// The time from arrival to the deadline.
    pub(in crate::transport::gateway) timeout: Millis,
}

impl RoutedRequest {
    /// Determines the route, the organisation and the service of a request.
    ///
    /// # Errors
    ///
    /// Returns the code with which the request is to be refused.
    pub(in crate::transport::gateway) fn new<E: PlatformAdapter>(
        gateway: &Gateway<E>,
        configuration: &Configuration,
        head: &request::Parts,
        decoded: &RequestHead,
    ) -> Result<RoutedRequest, Code> {
        let host = host_of(head).ok_or(Code::BadRequest)?;
        let route = configuration.route(host, head.uri.path()).ok_or(Code::UnknownService)?.clone();
        let holder = decoded.key.as_deref().and_then(|key| configuration.organisation_of(key));
        if configuration.needs_keys && !route.is_public && holder.is_none() {
            return Err(Code::UnknownToken);
        }
        let request_id = decoded.request_id.as_deref().unwrap_or_default();
        let service = choose_service(&route, request_id).clone();
        let arrived = gateway.now();
        let traffic = gateway.traffic.borrow();
        let output = match decoded.max_output {
            0 => 0,
            most => traffic.expected_output(&route.name, decoded.output_hint, most),
        };
        drop(traffic);
        let timeout = decoded.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let organisation = holder.cloned();
        let version = configuration.version;
        Ok(RoutedRequest { route, organisation, service, output, arrived, version, timeout })
    }

    /// Returns the request as it is routed under the configuration in force: that may have changed
    /// while the body arrived.
    ///
    /// # Errors
    ///
    /// Returns the code with which the request is to be refused.
    pub(in crate::transport::gateway) fn under<E: PlatformAdapter>(
        self,
        gateway: &Gateway<E>,
        configuration: &Configuration,
        head: &request::Parts,
        decoded: &RequestHead,
    ) -> Result<RoutedRequest, Code> {
        if configuration.version == self.version {
            return Ok(self);
        }
        let arrived = self.arrived;
        let routed = RoutedRequest::new(gateway, configuration, head, decoded)?;
        Ok(RoutedRequest { arrived, ..routed })
    }

    pub(in crate::transport::gateway) fn route_name(&self) -> &str {
        &self.route.name
    }

    /// Counts the request towards the retry budget of its service.
    pub(in crate::transport::gateway) fn count<E: PlatformAdapter>(&self, gateway: &Gateway<E>) {
        gateway.traffic.borrow_mut().on_request(self.arrived, &self.service);
    }

    /// Decides whether to refuse the request because this entry's processor is overloaded and the
    /// request is to be shed, or because its organisation is beyond its share; returns the code and
    /// the retry delay.
    pub(in crate::transport::gateway) fn refuse_early<E: PlatformAdapter>(
        &self,
        gateway: &Gateway<E>,
        decoded: &RequestHead,
    ) -> Option<(Code, Millis)> {
        let organisation = charged_organisation(self.organisation.as_ref());
        let early = EarlyRequest {
            organisation: &organisation,
            work: work_of(&decoded.prompt, self.output),
            uses_engine: !decoded.prompt.is_empty(),
            time_left: self.timeout,
        };
        let (code, retry_after) = gateway.early_refusal(self.arrived, &early)?;
        counter!("kingcup_refused_early", "code" => code.number().to_string()).increment(1);
        gateway.decisions.refused(
            code,
            &FailureLine {
                request: decoded.request_id.as_deref(),
                digest: None,
                code: code.number(),
                route: Some(&self.route.name),
                organisation: self.organisation.as_ref(),
                retry_after_ms: retry_after,
                after_ms: Millis::ZERO,
                attempts: 0,
                tried: &[],
                end: None,
            },
        );
        Some((code, retry_after))
    }
}
