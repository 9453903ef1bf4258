//! What routing is told and what it answers.

use lentil_core::{
    BootId, EndpointId, EndpointLoad, OrganisationId, Outcome, Priority, RefusalReason, Time,
    TokenCount, Weight, ZoneId,
};

/// A request within its entry.
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

/// The digest of a prompt's first part, which engines keep in their caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Wraps a digest.
    #[must_use]
    pub const fn new(digest: u64) -> Self {
        Self(digest)
    }

    /// The digest of the first part of a prompt.
    #[must_use]
    pub fn of(head: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(head))
    }
}

/// How an entry decides that an agent has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SendMode {
    /// By the load last told; the agent refuses cheaply.
    #[default]
    Optimistic,
    /// By short-lived credits that the agent granted.
    Credits,
}

/// The router's fixed sizes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterConfig {
    /// The entry's own availability zone.
    pub zone: ZoneId,
    /// Most requests that wait here.
    pub queue_max: usize,
    /// How room is known.
    pub mode: SendMode,
    /// Spreads entries that decide in the same moment.
    pub seed: u64,
}

/// A request that asks to be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its number within the entry.
    pub id: RequestId,
    /// For whom.
    pub organisation: OrganisationId,
    /// The organisation's share.
    pub weight: Weight,
    /// How urgent.
    pub priority: Priority,
    /// Length of the prompt; the size of a plain call.
    pub prompt: TokenCount,
    /// When its answer, or first token, is of no use any more.
    pub deadline: Time,
    /// What its prompt begins with.
    pub prefix: Option<PrefixHash>,
    /// An idempotent read, which may run at two endpoints.
    pub hedgeable: bool,
}

/// Something that happened at the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An endpoint belongs to this entry's subset, or its agent has a new boot.
    EndpointAdded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its availability zone.
        zone: ZoneId,
    },
    /// An endpoint left the subset, or is gone.
    EndpointRemoved {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint leaves or is taken out of service, or is brought back.
    Withdrawn {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is withdrawn.
        withdrawn: bool,
    },
    /// An availability zone is taken out of service, or brought back.
    ZoneWithdrawn {
        /// The availability zone.
        zone: ZoneId,
        /// Whether it is withdrawn.
        withdrawn: bool,
    },
    /// An agent told its load, by itself or with a reply.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// The figures.
        load: EndpointLoad,
    },
    /// An agent granted credits; they replace those granted before.
    Credits {
        /// The endpoint.
        endpoint: EndpointId,
        /// The boot that granted them.
        boot: BootId,
        /// Requests that may be sent.
        credits: u32,
        /// When unused ones lapse.
        expires: Time,
    },
    /// An engine keeps a prefix in its cache, or dropped it.
    Cached {
        /// The endpoint.
        endpoint: EndpointId,
        /// The prefix.
        prefix: PrefixHash,
        /// Whether it is kept.
        kept: bool,
    },
    /// A request asks to be routed.
    Arrived(Request),
    /// The agent took the request on.
    Accepted {
        /// The request.
        request: RequestId,
        /// Where.
        endpoint: EndpointId,
    },
    /// The first token or the answer's head came.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// From where.
        endpoint: EndpointId,
    },
    /// The request ended well.
    Finished {
        /// The request.
        request: RequestId,
        /// Where.
        endpoint: EndpointId,
        /// Tokens of output.
        tokens: TokenCount,
    },
    /// The agent refused; the request did not run there.
    Refused {
        /// The request.
        request: RequestId,
        /// Where.
        endpoint: EndpointId,
    },
    /// The attempt failed.
    Failed {
        /// The request.
        request: RequestId,
        /// Where.
        endpoint: EndpointId,
        /// What is known of the attempt.
        outcome: Outcome,
        /// It may safely run again, even if it ran.
        repeatable: bool,
    },
    /// The caller left.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// Time passed.
    Tick,
}

/// What the entry has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
    },
    /// Stop an attempt whose answer is not needed any more.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Where it runs.
        endpoint: EndpointId,
    },
    /// Refuse the request; it runs nowhere, and no attempt of it ran.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When a repeat is useful, as a point of the entry's clock.
        retry_at: Time,
    },
    /// End the request with an error; an attempt may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
}
