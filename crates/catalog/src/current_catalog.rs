//! The newest version seen, and how long it may be relied on.

use std::sync::Arc;

use lentil_core::{ConfigVersion, Span, Time};

use crate::Catalog;

/// What became of a version that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// It is in force now; before, this one was.
    Newer {
        /// The version before it; 0 is "none".
        previous: ConfigVersion,
    },
    /// It is the one in force.
    Same,
    /// A newer one is in force; the one that was read is dropped.
    Older,
}

/// The newest version that this process has seen.
///
/// A version is relied on until a deadline, which each answer of the store
/// moves: a key that was taken away while the store can't be reached must not
/// go on working. The deadline counts from the moment of asking, on a clock
/// that also runs while the host is suspended.
#[derive(Debug)]
pub struct CurrentCatalog {
    catalog: Option<Arc<Catalog>>,
    reliance: Span,
    valid_until: Time,
}

impl CurrentCatalog {
    /// Nothing is known yet; a version is relied on for `reliance` after the
    /// store confirmed it.
    #[must_use]
    pub const fn new(reliance: Span) -> Self {
        Self {
            catalog: None,
            reliance,
            valid_until: Time::ZERO,
        }
    }

    /// A version was read; one that is older than that in force is dropped.
    pub fn replace(&mut self, catalog: Catalog) -> ReplaceOutcome {
        let previous = self.version();
        if catalog.version() < previous {
            return ReplaceOutcome::Older;
        }
        if catalog.version() == previous && self.catalog.is_some() {
            return ReplaceOutcome::Same;
        }
        self.catalog = Some(Arc::new(catalog));
        ReplaceOutcome::Newer { previous }
    }

    /// The store's answer to a question asked at `asked` held nothing newer.
    pub fn confirm(&mut self, asked: Time) {
        self.valid_until = self.valid_until.max(asked + self.reliance);
    }

    /// The version in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.catalog
            .as_ref()
            .map_or_else(ConfigVersion::default, |catalog| catalog.version())
    }

    /// What is in force, also when it may no longer be relied on.
    #[must_use]
    pub const fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// When reliance ends, unless the store answers again.
    #[must_use]
    pub const fn valid_until(&self) -> Time {
        self.valid_until
    }
}
