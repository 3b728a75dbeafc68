//! Handovers of the leadership of a group, and notices to its standby leader, which one box sends to one other box.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ochreyard_core::group_map::{HandoverAnswer, HandoverRefusal, LeadershipHandover};

use crate::answer_body::AnswerBody;
use crate::dialect::Dialect;
use crate::entry::Entry;

/// HTTP path to which a [`LeadershipHandover`] is posted; the answer is a [`HandoverAnswer`].
pub const HANDOVER_PATH: &str = "/lead";
/// Largest handover that is accepted.
const MAX_HANDOVER_BYTES: usize = 1 << 20;

/// HTTP path to which a leader posts the same message for its standby leader. Boxes that do not know it answer 404.
pub const STANDBY_PATH: &str = "/standby";

/// What the receiver of a [`LeadershipHandover`] is to become.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverRole {
    /// The leader, at once.
    Successor,
    /// The leader, once the sender is silent and its grants have expired.
    Standby,
}

/// Decides on a handover; if it is accepted, begins to lead or to stand by.
pub type HandoverHandler = Rc<dyn Fn(HandoverRole, LeadershipHandover) -> Result<(), HandoverRefusal>>;

/// Answers a handover from another box.
pub async fn receive_handover<D: Dialect>(
    entry: &Rc<Entry<D>>,
    role: HandoverRole,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::complete(""));
    let Ok(body) = Limited::new(request.into_body(), MAX_HANDOVER_BYTES).collect().await else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let handover = match serde_json::from_slice(&body.to_bytes()) {
        Ok(handover) => handover,
        Err(error) => {
            log::warn!("event=handover_unreadable error=\"{error}\"");
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        }
    };
    let handler = entry.handover_handler.borrow().clone();
    let decision = handler.map_or(Err(HandoverRefusal::NotReady), |handler| handler(role, handover));
    match serde_json::to_vec(&HandoverAnswer::from(decision)) {
        Ok(answer) => *response.body_mut() = AnswerBody::complete(answer),
        Err(error) => {
            log::error!("event=response_encode_failed error=\"{error}\"");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
