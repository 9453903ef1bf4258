//! What the end of a response body proves about the generation that it belongs to.

use std::fmt;

use lentil_core::{Span, Time};

/// Endpoints are told the time budget in whole milliseconds, rounded down.
const BUDGET_ROUNDING: Span = Span::from_ms(1);
/// Time by which an endpoint's clock may run ahead: 200 ppm over 45 s.
const CLOCK_DRIFT: Span = Span::from_ms(9);
/// Time by which an endpoint's timers may fire early, or that it takes before its end to stop.
const STOPPING_TIME: Span = Span::from_ms(10);
/// Time before the end of a request's time budget from which on a body may have ended because
/// of it.
const BUDGET_MARGIN: Span =
    Span::from_us(BUDGET_ROUNDING.as_us() + CLOCK_DRIFT.as_us() + STOPPING_TIME.as_us());

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

/// What is known of one order to stop a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has no answer yet.
    InFlight,
    /// The engine has stopped the generation and keeps or has copied its memory.
    Stopped,
    /// The engine says that it has no such generation.
    NoSuchRun,
    /// The engine has not carried it out.
    NotCarriedOut,
    /// Its answer is missing or says neither.
    Unknown,
}

impl OrderOutcome {
    /// Whether the order may have stopped the generation once another one takes its place. The
    /// answer to the later order then proves nothing about the earlier one.
    #[must_use]
    pub const fn is_unsettled_if_replaced(self) -> bool {
        !matches!(self, Self::NoSuchRun | Self::NotCarriedOut)
    }
}

/// The end of a response body, without an error of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedBody {
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// What came of orders to stop the generation.
    pub stop_order: StopOrder,
    /// When the body ended.
    pub ended_at: Time,
    /// When the time ends for which the endpoint may work on the request.
    pub budget_ends_at: Time,
    /// Whether the endpoint itself may have ended before the body did.
    pub endpoint_ended: bool,
    /// Whether the endpoint answered after the body had ended; `None` if it was not asked.
    pub answers_after: Option<bool>,
}

/// Why a body that looks complete may have ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The engine may have stopped the generation by order.
    Stopped,
    /// The endpoint may have stopped at the end of the time budget.
    BudgetOver,
    /// The endpoint may have ended.
    EndpointEnded,
    /// The endpoint does not answer any more.
    EndpointSilent,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stopped => "its engine may have stopped it by order",
            Self::EndpointEnded => "its endpoint has restarted or terminated",
            Self::EndpointSilent => "its endpoint does not answer after its end",
            Self::BudgetOver => "its endpoint may have stopped at the end of the time budget",
        })
    }
}

impl EndedBody {
    /// Returns why the body may have ended before the answer did; `None` if it shows that the
    /// answer is complete.
    ///
    /// An endpoint that stops work or ends closes its connection, which only a delimited body shows.
    #[must_use]
    pub fn doubt(&self) -> Option<Doubt> {
        if self.framing == BodyFraming::Delimited {
            return None;
        }
        if self.stop_order == StopOrder::Unsettled {
            return Some(Doubt::Stopped);
        }
        if self.endpoint_ended {
            return Some(Doubt::EndpointEnded);
        }
        if self.budget_ends_at <= self.ended_at + BUDGET_MARGIN {
            return Some(Doubt::BudgetOver);
        }
        (self.answers_after == Some(false)).then_some(Doubt::EndpointSilent)
    }

    /// Whether only the endpoint itself can show that it was there to end the body.
    #[must_use]
    pub fn needs_answer(&self) -> bool {
        self.framing == BodyFraming::UntilClose && self.doubt().is_none()
    }
}
