//! Decides which further attempts keep the guarantee that no request takes effect twice.
//!
//! The router proposes only attempts that these rules allow; [`invariants`](crate::invariants) checks each attempt
//! again when it is sent.

use crate::endpoint::EndpointTable;
use crate::invariants::may_have_executed;
use crate::types::{Attempt, DeduplicationScope, Effect, Ns, Request, Settings};

/// Repeats of a request end this many ticks before nodes forget its effect, so that one decided a tick late is still
/// recognised.
const REPEAT_MARGIN_TICKS: Ns = 2;

/// The attempts that may have been executed.
fn possibly_executed(request: &Request) -> impl Iterator<Item = &Attempt> {
    request.attempts.iter().filter(|attempt| may_have_executed(attempt.outcome))
}

/// Whether any attempt may have been executed.
pub(crate) fn any_may_have_executed(request: &Request) -> bool {
    possibly_executed(request).next().is_some()
}

/// The time from which nodes no longer recognise a repeat of the request, whether this director or the client makes
/// it. [`Ns::MAX`] if the effect is not deduplicated, or while no attempt may have been executed.
pub(crate) fn recognised_until(effect: Effect, request: &Request) -> Ns {
    let Effect::Deduplicated { window, .. } = effect else { return Ns::MAX };
    let ends = possibly_executed(request).map(|attempt| attempt.sent_at.saturating_add(window));
    ends.min().unwrap_or(Ns::MAX)
}

/// The time before which a repeat of the request may begin and may be outstanding.
fn repeats_allowed_until(settings: &Settings, request: &Request) -> Ns {
    let effect = settings.request_classes[request.class].effect;
    match recognised_until(effect, request) {
        Ns::MAX => Ns::MAX,
        until => until.saturating_sub(REPEAT_MARGIN_TICKS * settings.tick),
    }
}

/// The time at which outstanding attempts have to be cancelled, because a node that begins one later could repeat the
/// effect of another. None if the effect is not deduplicated, fewer than two attempts may have been executed, none is
/// outstanding, or attempts cannot be cancelled.
pub(crate) fn cancel_time(settings: &Settings, request: &Request) -> Option<Ns> {
    let has_outstanding = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
    let is_repeated = possibly_executed(request).nth(1).is_some();
    let until = repeats_allowed_until(settings, request);
    (has_outstanding && is_repeated && until < Ns::MAX && settings.may_cancel).then_some(until)
}

/// Whether the request may have another attempt, at this node.
pub(crate) fn allow_attempt(
    settings: &Settings,
    endpoints: &EndpointTable,
    request: &Request,
    node: usize,
    now: Ns,
) -> bool {
    let has_outstanding = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
    if has_outstanding && !settings.may_hedge {
        return false;
    }
    let effect = settings.request_classes[request.class].effect;
    match effect {
        Effect::Idempotent => true,
        Effect::SideEffecting => !any_may_have_executed(request),
        Effect::Deduplicated { within, .. } => {
            now < repeats_allowed_until(settings, request)
                && possibly_executed(request)
                    .all(|attempt| share_scope(endpoints, within, attempt.node, node))
        }
    }
}

/// Whether the two nodes recognise repeats of each other's requests.
fn share_scope(endpoints: &EndpointTable, within: DeduplicationScope, a: usize, b: usize) -> bool {
    if within == DeduplicationScope::All {
        return true;
    }
    let (Some(a), Some(b)) = (endpoints.get(a), endpoints.get(b)) else { return false };
    let same_zone = a.listing.zone == b.listing.zone;
    match within {
        DeduplicationScope::All | DeduplicationScope::Zone => same_zone,
        DeduplicationScope::Cell => same_zone && a.listing.cell == b.listing.cell,
    }
}

/// Whether the request may be rejected now without the risk of a second execution. The client's own retry follows the
/// rejection, so it has to arrive while nodes still recognise it as a repeat.
pub(crate) fn allow_rejection(effect: Effect, request: &Request, time_to_retry: Ns) -> bool {
    let is_retry_safe = match effect {
        Effect::Idempotent => true,
        Effect::Deduplicated { within: DeduplicationScope::All, .. } => time_to_retry > 0,
        Effect::Deduplicated { .. } | Effect::SideEffecting => false,
    };
    is_retry_safe || !any_may_have_executed(request)
}
