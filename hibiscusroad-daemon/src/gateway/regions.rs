//! Metrics and log lines on the regions in which requests are served.

use super::{attempt::AttemptContext, calls::Target, forward::Forward};
use crate::logs::CALLS;
use hibiscusroad::topology::Distance;
use std::time::Instant;

/// Counts a request that is sent to an endpoint, and logs why it leaves its region.
pub(super) fn record_sent(context: &AttemptContext, request: &Forward, target: &Target) {
    context.meters.record_sent(target.distance);
    if target.distance != Distance::OtherRegion {
        return;
    }
    let calls = &context.calls;
    let state = calls.near_state(&request.service, request.regions);
    let key = (request.service.clone(), state.name());
    let due = calls.departures.borrow_mut().record(Instant::now(), key);
    if let Some(requests) = due {
        log::info!(target: CALLS, id = request.head.id.as_str(),
            service = request.service.as_str(), near = state.name(), endpoint = &*target.id,
            place = &*target.data_centre, region = calls.topology().region_name(&target.data_centre),
            requests = requests; "A request leaves its region.");
    }
}

/// Counts and logs a request that is refused because no endpoint in its regions takes it.
pub(super) fn record_refusal(context: &AttemptContext, request: &Forward) {
    context.meters.region_refusals.inc();
    let calls = &context.calls;
    let key = (request.service.clone(), "refused");
    let due = calls.departures.borrow_mut().record(Instant::now(), key);
    if let Some(requests) = due {
        let allowed: Vec<&str> = calls.topology().names(request.regions).collect();
        let allowed = allowed.join(" ");
        log::info!(target: CALLS, id = request.head.id.as_str(),
            service = request.service.as_str(), allowed = allowed.as_str(),
            account = request.head.account.as_deref(), requests = requests;
            "A request is refused: no endpoint in its regions takes it.");
    }
}
