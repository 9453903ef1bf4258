//! What the end of a response body proves about the generation that it belongs to.

use std::fmt;

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length or chunks: a body that ends early is recognised as interrupted.
    Delimited,
    /// By the end of its connection: a body that ends early may look complete.
    UntilClose,
}

impl fmt::Display for BodyFraming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Delimited => "delimited",
            Self::UntilClose => "until_close",
        })
    }
}

/// Whether the engine of a generation has stopped it by order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOrder {
    /// There was no order, or the engine's answers show that none stopped the generation.
    NotCarriedOut,
    /// An order may have stopped the generation, as its answer is missing or says neither.
    Unsettled,
}

/// The end of a response body, without an error of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyEnd {
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// What came of orders to stop the generation.
    pub stop_order: StopOrder,
}

/// Why a body that looks complete may have ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The engine may have stopped the generation by order.
    Stopped,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stopped => "its engine may have stopped it by order",
        })
    }
}

impl BodyEnd {
    /// Returns why the body may have ended before the generation did; `None` if it shows
    /// that the generation is complete.
    ///
    /// An engine that stops a generation closes its stream, which only a delimited body shows.
    #[must_use]
    pub const fn doubt(&self) -> Option<Doubt> {
        match (self.framing, self.stop_order) {
            (BodyFraming::Delimited, _) | (BodyFraming::UntilClose, StopOrder::NotCarriedOut) => {
                None
            }
            (BodyFraming::UntilClose, StopOrder::Unsettled) => Some(Doubt::Stopped),
        }
    }
}
