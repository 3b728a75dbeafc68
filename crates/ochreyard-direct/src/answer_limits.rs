//! Limits on what a peer may send as one answer, by bytes and by time.

use std::time::Duration;

/// Largest head of an answer, interim responses included. Also the size of a connection's read buffer.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// How long the head of an answer may take from its first byte on.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is buffered completely before it goes to its caller.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Largest body of an answer that is no success.
pub const MAX_FAILURE_BYTES: usize = 256 << 10;
/// What a piece of a body counts towards these limits at least: the work for a piece depends little on its size.
pub const MIN_PIECE_BYTES: usize = 512;
/// Largest event that is accepted: an incomplete event is buffered until its end.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// Largest answer of the platform's log, of another box, an agent, or an engine to its agent.
pub const MAX_CONTROL_ANSWER_BYTES: usize = 8 << 20;
/// Least rate at which an answer that is buffered completely has to arrive, once a request may leave its endpoint.
pub const MIN_ANSWER_BYTES_PER_MS: u64 = 64;
/// Size up to which an incomplete event does not count towards the memory for bodies, so that requests which take all of
/// it end no stream.
pub const UNCOUNTED_EVENT_BYTES: usize = 4 << 10;
