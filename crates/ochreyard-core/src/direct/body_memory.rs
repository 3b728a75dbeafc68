//! Divides the memory for buffered bodies among callers' requests and endpoints' answers.

use std::collections::HashMap;

/// Divisor of the memory that gives the part which answers leave to requests.
const REQUEST_SHARE_DIVISOR: usize = 8;

/// Whose bytes are buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyOwner<'a> {
    /// Callers: bodies of requests.
    Callers,
    /// The endpoint with this identifier: bodies of its answers.
    Endpoint(&'a str),
}

/// The memory for buffered bodies.
///
/// Answers of one endpoint together take no more than what is still free. So an endpoint whose answers never end leaves
/// half of the memory to all others, and two of them leave a third. The answers of all endpoints leave an eighth to
/// requests, since callers may be slow to take them.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    used_bytes: usize,
    /// Bytes of the answers of all endpoints.
    answer_bytes: usize,
    endpoint_bytes: HashMap<String, usize>,
}

impl BodyMemory {
    /// Creates a memory of `max_bytes`, with nothing in it.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: 0, answer_bytes: 0, endpoint_bytes: HashMap::new() }
    }

    /// Returns whether `bytes` more may be buffered for `owner`, and counts them if so.
    pub fn try_reserve(&mut self, owner: BodyOwner<'_>, bytes: usize) -> bool {
        let free_bytes = self.max_bytes.saturating_sub(self.used_bytes);
        let fits = match owner {
            BodyOwner::Callers => bytes <= free_bytes,
            BodyOwner::Endpoint(id) => {
                self.endpoint_bytes(id) + bytes <= free_bytes.saturating_sub(bytes)
                    && self.answer_bytes + bytes <= self.max_bytes - self.max_bytes / REQUEST_SHARE_DIVISOR
            }
        };
        if !fits {
            return false;
        }
        self.used_bytes += bytes;
        if let BodyOwner::Endpoint(id) = owner {
            self.answer_bytes += bytes;
            match self.endpoint_bytes.get_mut(id) {
                Some(used) => *used += bytes,
                None => drop(self.endpoint_bytes.insert(id.to_owned(), bytes)),
            }
        }
        true
    }

    /// Frees bytes that were buffered for `owner`.
    pub fn release(&mut self, owner: BodyOwner<'_>, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
        if let BodyOwner::Endpoint(id) = owner
            && let Some(used) = self.endpoint_bytes.get_mut(id)
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(bytes);
            *used = used.saturating_sub(bytes);
            if *used == 0 {
                self.endpoint_bytes.remove(id);
            }
        }
    }

    /// Returns the number of bytes that are buffered for all owners.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn endpoint_bytes(&self, id: &str) -> usize {
        self.endpoint_bytes.get(id).copied().unwrap_or(0)
    }
}
