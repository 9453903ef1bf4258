//! Authentication of callers, and the limits that the configuration sets for them.

use lentil_control::ControlView;
use lentil_core::{OrganisationId, ParseIdError, Priority, TokenCount};
use ntex::web::HttpRequest;

/// Organisation of callers without an API key.
const ANONYMOUS: &str = "anonymous";

/// Maps API keys to organisations and applies the configured limits.
pub(crate) trait CallerPolicy {
    /// Returns the organisation that `key` belongs to.
    fn organisation(&self, key: &str) -> Option<OrganisationId>;

    /// Whether the active preset accepts requests of this priority.
    fn serves(&self, priority: Priority) -> bool;

    /// The maximum output length of a generation; `None` without a configuration.
    fn tokens_max(&self) -> Option<TokenCount>;
}

/// A policy based on the active configuration.
///
/// If the settings allow it, callers without a key are accepted as one shared organisation.
#[derive(Debug)]
pub(crate) struct ConfiguredPolicy {
    view: ControlView,
    anonymous: Option<OrganisationId>,
}

impl ConfiguredPolicy {
    /// # Errors
    /// Never fails in practice, since the name is a valid identifier.
    pub(crate) fn new(view: ControlView, allow_anonymous: bool) -> Result<Self, ParseIdError> {
        let anonymous = if allow_anonymous {
            Some(ANONYMOUS.parse()?)
        } else {
            None
        };
        Ok(Self { view, anonymous })
    }
}

impl CallerPolicy for ConfiguredPolicy {
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

/// Returns the bearer key of a request, or an empty string if there is none.
pub(crate) fn bearer_key(request: &HttpRequest) -> &str {
    request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("")
}
