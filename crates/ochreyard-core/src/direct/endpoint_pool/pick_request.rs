//! A request for which an endpoint is picked.

use super::admission::Admission;
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::permitted_regions::PermittedRegions;
use crate::direct::priority_level::PriorityLevel;
use crate::direct::urgency::Urgency;

/// A request for which an endpoint is picked.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Regions in which the request may run.
    pub permitted_regions: &'a PermittedRegions,
    /// Endpoints that the request has been sent to already.
    pub tried: &'a [EndpointIncarnation],
    /// Whether the request can still be on time.
    pub urgency: Urgency,
    /// Position of the request's priority among those of the service.
    pub level: PriorityLevel,
    /// How the request is admitted to groups with a stream limit.
    pub admission: Admission,
}
