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
