//! Events and actions of [`Router`](crate::Router), and the types they carry.

use lentil_core::{
    BootId, EndpointId, EndpointLoad, OrganisationId, Outcome, Priority, RefusalReason, Time,
    TokenCount, Weight, ZoneId,
};

/// Identifies a request within its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Wraps a number that is unique within the entry.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Hash of the first part of a prompt, which engines keep in their prefix caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Wraps a hash value.
    #[must_use]
    pub const fn new(digest: u64) -> Self {
        Self(digest)
    }

    /// Hashes the first part of a prompt.
    #[must_use]
    pub fn of(head: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(head))
    }
}

/// How an entry decides that an endpoint has capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SendMode {
    /// By the last reported load. It may be stale, but a refusal by the agent is cheap.
    #[default]
    Optimistic,
    /// By short-lived credits granted by the agent.
    Credits,
}

/// Configuration of a [`Router`](crate::Router).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterConfig {
    /// The entry's own availability zone.
    pub zone: ZoneId,
    /// Most requests that may wait in the router.
    pub queue_max: usize,
    /// How the router decides that an endpoint has capacity.
    pub mode: SendMode,
    /// Seed of the choice between equally good endpoints; different seeds keep entries that
    /// decide at the same time from all choosing the same endpoint.
    pub seed: u64,
}

/// A request to be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request within the entry.
    pub id: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Weight of the organisation in the fair queue.
    pub weight: Weight,
    /// Priority class of the request.
    pub priority: Priority,
    /// Length of the prompt, or the size of a plain call.
    pub prompt: TokenCount,
    /// Time by which the answer, or its first token, is needed.
    pub deadline: Time,
    /// Hash of the first part of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Whether it is an idempotent read, which may run at two endpoints at once.
    pub hedgeable: bool,
}

/// Something that happened at the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An endpoint was added to this entry's subset, or its agent restarted.
    EndpointAdded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its availability zone.
        zone: ZoneId,
    },
    /// An endpoint was removed from the subset, or no longer exists.
    EndpointRemoved {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint was taken out of service or is leaving, or was brought back.
    Withdrawn {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is withdrawn.
        withdrawn: bool,
    },
    /// An availability zone was taken out of service, or brought back.
    ZoneWithdrawn {
        /// The availability zone.
        zone: ZoneId,
        /// Whether it is withdrawn.
        withdrawn: bool,
    },
    /// An agent reported its load, in a report or along with a reply.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// The figures.
        load: EndpointLoad,
    },
    /// An agent granted credits, which replace those granted earlier.
    Credits {
        /// The endpoint.
        endpoint: EndpointId,
        /// Boot of the agent that granted them.
        boot: BootId,
        /// Number of requests that may be sent.
        credits: u32,
        /// Time at which unused credits expire.
        expires: Time,
    },
    /// An engine cached a prefix, or evicted it.
    Cached {
        /// The endpoint.
        endpoint: EndpointId,
        /// The prefix.
        prefix: PrefixHash,
        /// Whether it is in the cache.
        kept: bool,
    },
    /// A request arrived.
    Arrived(Request),
    /// The agent accepted the request.
    Accepted {
        /// The request.
        request: RequestId,
        /// Endpoint of the attempt.
        endpoint: EndpointId,
    },
    /// The first token or the head of the answer arrived.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Endpoint that sent it.
        endpoint: EndpointId,
    },
    /// The request completed.
    Finished {
        /// The request.
        request: RequestId,
        /// Endpoint of the attempt.
        endpoint: EndpointId,
        /// Number of output tokens.
        tokens: TokenCount,
    },
    /// The agent refused the request, which did not run there.
    Refused {
        /// The request.
        request: RequestId,
        /// Endpoint of the attempt.
        endpoint: EndpointId,
    },
    /// The attempt failed.
    Failed {
        /// The request.
        request: RequestId,
        /// Endpoint of the attempt.
        endpoint: EndpointId,
        /// Whether the attempt ran, as far as is known.
        outcome: Outcome,
        /// Whether it may safely be retried even if it ran.
        repeatable: bool,
    },
    /// The caller disconnected.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// Time passed.
    Tick,
}

/// An action for the entry to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// Endpoint to send it to.
        endpoint: EndpointId,
    },
    /// Cancel an attempt whose answer is no longer needed.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Endpoint where it runs.
        endpoint: EndpointId,
    },
    /// Refuse the request, of which no attempt ran or is running.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Earliest useful time of a retry, by the entry's clock.
        retry_at: Time,
    },
    /// End the request with an error. An attempt may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
}
