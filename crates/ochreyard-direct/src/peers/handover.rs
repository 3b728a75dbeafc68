//! Handovers of the leadership of a group, which one box sends to one other box.

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

/// Decides on a handover and begins to lead if it is accepted.
pub type HandoverHandler = Rc<dyn Fn(LeadershipHandover) -> Result<(), HandoverRefusal>>;

/// Answers a handover from another box.
pub async fn receive_handover<D: Dialect>(entry: &Rc<Entry<D>>, request: Request<Incoming>) -> Response<AnswerBody> {
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
    let decision = handler.map_or(Err(HandoverRefusal::NotReady), |handler| handler(handover));
    match serde_json::to_vec(&HandoverAnswer::from(decision)) {
        Ok(answer) => *response.body_mut() = AnswerBody::complete(answer),
        Err(error) => {
            log::error!("event=response_encode_failed error=\"{error}\"");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
