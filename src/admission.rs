//! The checks that a request passes before it is queued.

use std::time;

use crate::clock;
use crate::configuration;
use crate::names;
use crate::outcome;
use crate::table;

/// A caller's request without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestEnvelope {
    /// The service.
    pub service: String,
    /// The key.
    pub key: names::KeyName,
    /// The request's id.
    pub id: names::RequestId,
    /// The time that the caller gives, in milliseconds; none for the service's own.
    pub deadline_ms: Option<u64>,
    /// The feature whose work it is.
    pub feature: Option<names::FeatureName>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The stated length of the body, in bytes.
    pub body_bytes: Option<u64>,
}

/// What the checks yield.
#[derive(Clone, Debug)]
pub struct AdmittedRequest<'a> {
    /// Where the key's requests go.
    pub lookup: table::KeyLookup<'a>,
    /// The owner's route.
    pub route: &'a table::ShardRoute,
    /// How urgent the request is.
    pub rank: configuration::WorkRank,
    /// Until when it must be answered.
    pub deadline: clock::MonoTime,
}

/// Checks a request against the table.
///
/// # Errors
/// Fails with the reason for which the request is refused; nothing of it has run.
pub fn check<'a>(
    table: &'a table::RoutingTable,
    envelope: &RequestEnvelope,
    arrived: clock::MonoTime,
    now: clock::MonoTime,
) -> Result<AdmittedRequest<'a>, outcome::RefusalReason> {
    if table.version == 0 {
        return Err(outcome::RefusalReason::Starting);
    }
    let lookup = table
        .lookup(&envelope.service, envelope.key.as_str())
        .ok_or(outcome::RefusalReason::UnknownService)?;
    check_feature(table, envelope, now)?;
    let limit = lookup.service.max_body_bytes;
    if envelope.body_bytes.is_some_and(|bytes| bytes > limit) {
        return Err(outcome::RefusalReason::BodyTooLarge);
    }
    let longest = lookup.service.deadline_ms;
    let allowed = envelope.deadline_ms.unwrap_or(longest).min(longest);
    let deadline = arrived + time::Duration::from_millis(allowed);
    let route = check_route(table, &lookup, now)?;
    let feature = envelope.feature.as_ref();
    let feature = feature.and_then(|name| table.feature(name.as_str()));
    let rank = feature.and_then(|spec| spec.rank);
    Ok(AdmittedRequest {
        rank: rank.unwrap_or(lookup.service.rank),
        lookup,
        route,
        deadline,
    })
}

/// Checks that the feature's work is served here and now.
///
/// # Errors
/// Fails when the feature is retired, unknown, or held while the host is out of contact.
pub fn check_feature(
    table: &table::RoutingTable,
    envelope: &RequestEnvelope,
    now: clock::MonoTime,
) -> Result<(), outcome::RefusalReason> {
    let Some(name) = &envelope.feature else {
        return Ok(());
    };
    let feature = table
        .feature(name.as_str())
        .filter(|spec| spec.service.as_str() == envelope.service)
        .ok_or(outcome::RefusalReason::FeatureUnknown)?;
    if feature.status == configuration::FeatureStatus::Retired {
        return Err(outcome::RefusalReason::FeatureRetired);
    }
    let held = feature.when_stale == configuration::StalePolicy::Hold;
    if held && now >= table.fresh_until {
        return Err(outcome::RefusalReason::FeatureHeld);
    }
    Ok(())
}

/// Checks that the shard has an owner to which this host may send.
///
/// # Errors
/// Fails when it has none, or when it is unchecked and the host has no table lease.
pub fn check_route<'a>(
    table: &table::RoutingTable,
    lookup: &table::KeyLookup<'a>,
    now: clock::MonoTime,
) -> Result<&'a table::ShardRoute, outcome::RefusalReason> {
    let route = lookup.route.ok_or(outcome::RefusalReason::NoOwner)?;
    if !table.may_send(&route.server, now) {
        return Err(outcome::RefusalReason::NoTableLease);
    }
    Ok(route)
}
