//! The newest catalog that a process has read, and how long it is valid.

use std::sync::Arc;

use lentil_core::{ConfigVersion, Span, Time};

use crate::Catalog;

/// Result of [`CurrentCatalog::replace`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The catalog was newer and is now the current one.
    Newer {
        /// The version that it replaced; 0 if there was none.
        previous: ConfigVersion,
    },
    /// The catalog has the current version.
    Same,
    /// The catalog was older than the current one and was dropped.
    Older,
}

/// The newest catalog that this process has read.
///
/// A catalog is valid until a deadline, which every answer of the store extends:
/// an API key that is revoked while the store is unreachable must stop working.
/// The deadline counts from the time of the request to the store, on a clock that
/// also runs while the host is suspended.
#[derive(Debug)]
pub struct CurrentCatalog {
    catalog: Option<Arc<Catalog>>,
    validity: Span,
    /// When the store was asked that confirmed the catalog last.
    confirmed_at: Time,
    valid_until: Time,
    /// Whether the store holds a newer catalog that this process can't use.
    superseded: bool,
}

impl CurrentCatalog {
    /// Creates an instance without a catalog. A catalog stays valid for
    /// `validity` after each confirmation by the store.
    #[must_use]
    pub const fn new(validity: Span) -> Self {
        Self {
            catalog: None,
            validity,
            confirmed_at: Time::ZERO,
            valid_until: Time::ZERO,
            superseded: false,
        }
    }

    /// Replaces the current catalog with one read from the store, unless that one
    /// is older.
    pub fn replace(&mut self, catalog: Catalog) -> ReplaceOutcome {
        let previous = self.version();
        if catalog.version() < previous {
            return ReplaceOutcome::Older;
        }
        if catalog.version() == previous && self.catalog.is_some() {
            return ReplaceOutcome::Same;
        }
        self.catalog = Some(Arc::new(catalog));
        self.superseded = false;
        ReplaceOutcome::Newer { previous }
    }

    /// Ends the validity, as the store holds a newer catalog that this process can't use.
    /// No confirmation extends it again until a newer catalog replaces this one.
    pub const fn supersede(&mut self) {
        self.superseded = true;
        self.valid_until = Time::ZERO;
    }

    /// Extends the validity after the store answered a request sent at
    /// `requested_at` with no newer version.
    pub fn confirm(&mut self, requested_at: Time) {
        if self.superseded {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(requested_at);
        self.valid_until = self.valid_until.max(requested_at + self.validity);
    }

    /// Extends the validity to this time after the last confirmation, for a while in which answers
    /// of the store confirm nothing.
    pub fn prolong(&mut self, validity: Span) {
        if !self.superseded && self.confirmed_at > Time::ZERO {
            self.valid_until = self.valid_until.max(self.confirmed_at + validity);
        }
    }

    /// The current version; 0 before the first catalog was read.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.catalog
            .as_ref()
            .map_or_else(ConfigVersion::default, |catalog| catalog.version())
    }

    /// The current catalog, even if it is no longer valid.
    #[must_use]
    pub const fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// When the catalog becomes invalid unless the store confirms it again.
    #[must_use]
    pub const fn valid_until(&self) -> Time {
        self.valid_until
    }
}
