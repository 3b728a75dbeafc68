//! Conversions between the plain message types and the generated readers and builders.

use bytes::Bytes;
use capnp::Error;
use ochreyard_core::admission::{IdempotencyKey, Offer, RevokeAnswer};
use ochreyard_core::error_kind::{ErrorKind, Refusal, RunStatus};
use ochreyard_core::frame::{Frame, FrameBody};
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_core::membership::AgentReport;

use crate::agent_capnp::{attempt_id, frame, offer, refusal, report, request};
use crate::message::ServiceRequest;

type ReadResult<T> = Result<T, Error>;

fn text(reader: capnp::text::Reader<'_>) -> ReadResult<String> {
    reader.to_string().map_err(|error| Error::failed(error.to_string()))
}

pub(crate) fn write_attempt(mut to: attempt_id::Builder<'_>, attempt: AttemptId) {
    to.set_entry(attempt.entry.0);
    to.set_request(attempt.request);
    to.set_attempt(attempt.attempt);
}

pub(crate) fn read_attempt(from: attempt_id::Reader<'_>) -> AttemptId {
    AttemptId::new(Incarnation(from.get_entry()), from.get_request(), from.get_attempt())
}

pub(crate) fn write_offer(mut to: offer::Builder<'_>, from: &Offer) {
    write_attempt(to.reborrow().init_attempt(), from.attempt);
    to.set_to(from.agent_incarnation.0);
    to.set_workspace(from.workspace.as_str());
    to.set_service(from.service.as_str());
    if let Some(key) = &from.key {
        to.set_key(key.key.as_str());
        to.set_fingerprint(key.fingerprint);
    }
    to.set_repeatable(from.repeatable);
    to.set_cost(from.cost);
    to.set_remaining_ms(from.remaining_ms);
}

pub(crate) fn read_offer(from: offer::Reader<'_>) -> ReadResult<Offer> {
    let key = text(from.get_key()?)?;
    let key = (!key.is_empty()).then(|| IdempotencyKey { key, fingerprint: from.get_fingerprint() });
    Ok(Offer {
        attempt: read_attempt(from.get_attempt()?),
        agent_incarnation: Incarnation(from.get_to()),
        workspace: text(from.get_workspace()?)?.into(),
        service: text(from.get_service()?)?.into(),
        key,
        repeatable: from.get_repeatable(),
        cost: from.get_cost(),
        remaining_ms: from.get_remaining_ms(),
    })
}

pub(crate) fn write_request(mut to: request::Builder<'_>, from: &ServiceRequest) {
    to.set_method(from.method.as_str());
    to.set_path(from.path.as_str());
    to.set_content_type(from.content_type.as_str());
    to.set_body(&from.body);
}

pub(crate) fn read_request(from: request::Reader<'_>) -> ReadResult<ServiceRequest> {
    Ok(ServiceRequest {
        method: text(from.get_method()?)?,
        path: text(from.get_path()?)?,
        content_type: text(from.get_content_type()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
    })
}

pub(crate) fn write_refusal(mut to: refusal::Builder<'_>, from: &Refusal) {
    to.set_kind(from.kind.as_str());
    to.set_run(from.run.as_str());
    to.set_retry_after_ms(from.retry_after_ms);
    to.set_detail(from.detail.as_str());
}

/// Reads a refusal. An unknown kind or run status, from another version, is read as the weakest claim: `Internal` or
/// `MayHaveRun`.
pub(crate) fn read_refusal(from: refusal::Reader<'_>) -> ReadResult<Refusal> {
    let kind = text(from.get_kind()?)?;
    let run = match text(from.get_run()?)?.as_str() {
        "not-run" => RunStatus::NotRun,
        "ran" => RunStatus::Ran,
        _ => RunStatus::MayHaveRun,
    };
    let Some(kind) = ErrorKind::from_name(&kind) else {
        return Ok(Refusal::new(ErrorKind::Internal).with_detail(format!("unknown kind `{kind}`")));
    };
    let refusal = Refusal::new(kind).with_run(run).with_retry_after_ms(from.get_retry_after_ms());
    Ok(refusal.with_detail(text(from.get_detail()?)?))
}

pub(crate) fn write_frame(mut to: frame::Builder<'_>, from: &Frame) {
    write_attempt(to.reborrow().init_attempt(), from.attempt);
    to.set_number(from.number);
    match &from.body {
        FrameBody::Head { status, content_type } => {
            let mut head = to.init_head();
            head.set_status(*status);
            head.set_content_type(content_type.as_str());
        }
        FrameBody::Data(bytes) => to.set_data(bytes),
        FrameBody::End { frames, checksum } => {
            let mut end = to.init_end();
            end.set_frames(*frames);
            end.set_checksum(*checksum);
        }
    }
}

pub(crate) fn read_frame(from: frame::Reader<'_>) -> ReadResult<Frame> {
    let body = match from.which()? {
        frame::Which::Head(head) => {
            FrameBody::Head { status: head.get_status(), content_type: text(head.get_content_type()?)? }
        }
        frame::Which::Data(bytes) => FrameBody::Data(bytes?.to_vec()),
        frame::Which::End(end) => FrameBody::End { frames: end.get_frames(), checksum: end.get_checksum() },
    };
    Ok(Frame { attempt: read_attempt(from.get_attempt()?), number: from.get_number(), body })
}

pub(crate) fn write_report(mut to: report::Builder<'_>, from: &AgentReport) {
    to.set_incarnation(from.incarnation.0);
    to.set_number(from.number);
    to.set_config_version(from.config_version);
    to.set_tail_verified(from.tail_verified);
    to.set_leaving(from.leaving);
    to.set_running(from.running);
    to.set_waiting(from.waiting);
    to.set_slots(from.slots);
    to.set_mean_run_ms(from.mean_run_ms);
    to.set_step_us(from.step_us);
}

pub(crate) fn read_report(from: report::Reader<'_>) -> AgentReport {
    AgentReport {
        incarnation: Incarnation(from.get_incarnation()),
        number: from.get_number(),
        config_version: from.get_config_version(),
        tail_verified: from.get_tail_verified(),
        leaving: from.get_leaving(),
        running: from.get_running(),
        waiting: from.get_waiting(),
        slots: from.get_slots(),
        mean_run_ms: from.get_mean_run_ms(),
        step_us: from.get_step_us(),
    }
}

pub(crate) const fn write_revoke(answer: RevokeAnswer) -> crate::agent_capnp::RevokeAnswer {
    match answer {
        RevokeAnswer::NotStarted => crate::agent_capnp::RevokeAnswer::NotStarted,
        RevokeAnswer::Started => crate::agent_capnp::RevokeAnswer::Started,
        RevokeAnswer::Unknown => crate::agent_capnp::RevokeAnswer::Unknown,
    }
}

pub(crate) const fn read_revoke(answer: crate::agent_capnp::RevokeAnswer) -> RevokeAnswer {
    match answer {
        crate::agent_capnp::RevokeAnswer::NotStarted => RevokeAnswer::NotStarted,
        crate::agent_capnp::RevokeAnswer::Started => RevokeAnswer::Started,
        crate::agent_capnp::RevokeAnswer::Unknown => RevokeAnswer::Unknown,
    }
}
