//! Which organisation a caller belongs to.

use lentil_control::ControlView;
use lentil_core::{OrganisationId, ParseIdError, Priority, TokenCount};
use ntex::web::HttpRequest;

/// Name of the organisation of callers without a key.
const ANONYMOUS: &str = "anonymous";

/// Knows organisations by their callers' keys.
pub(crate) trait Keyring {
    /// The organisation that `key` belongs to.
    fn organisation(&self, key: &str) -> Option<OrganisationId>;

    /// Whether the preset in force serves a class of work.
    fn serves(&self, priority: Priority) -> bool;

    /// The longest output of one generation; none is set without a configuration.
    fn tokens_max(&self) -> Option<TokenCount>;
}

/// Knows the organisations of the configuration in force, and serves callers
/// without a key under one name where settings allow it.
#[derive(Debug)]
pub(crate) struct Configured {
    view: ControlView,
    anonymous: Option<OrganisationId>,
}

impl Configured {
    /// # Errors
    /// Never, as the name is valid.
    pub(crate) fn new(view: ControlView, allowed: bool) -> Result<Self, ParseIdError> {
        let anonymous = if allowed {
            Some(ANONYMOUS.parse()?)
        } else {
            None
        };
        Ok(Self { view, anonymous })
    }
}

impl Keyring for Configured {
    fn organisation(&self, key: &str) -> Option<OrganisationId> {
        if key.is_empty() {
            return self.anonymous.clone();
        }
        let in_force = self.view.in_force()?;
        in_force.configuration.organisation_of(key).cloned()
    }

    fn serves(&self, priority: Priority) -> bool {
        let in_force = self.view.in_force();
        in_force.is_none_or(|in_force| in_force.configuration.serves(priority))
    }

    fn tokens_max(&self) -> Option<TokenCount> {
        let in_force = self.view.in_force()?;
        Some(in_force.configuration.tokens_max())
    }
}

/// The bearer key of a request; empty is none.
pub(crate) fn bearer(request: &HttpRequest) -> &str {
    request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("")
}
