//! The newest version seen, and how long it may be relied on.

use std::sync::Arc;

use lentil_core::{ConfigVersion, Span, Time};

use crate::Catalog;

/// What became of a version that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replaced {
    /// It is in force now; before, this one was.
    Newer {
        /// The version before it; 0 is "none".
        before: ConfigVersion,
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
pub struct InForce {
    catalog: Option<Arc<Catalog>>,
    reliance: Span,
    relied_on_until: Time,
}

impl InForce {
    /// Nothing is known yet; a version is relied on for `reliance` after the
    /// store confirmed it.
    #[must_use]
    pub const fn new(reliance: Span) -> Self {
        Self {
            catalog: None,
            reliance,
            relied_on_until: Time::ZERO,
        }
    }

    /// A version was read; one that is older than that in force is dropped.
    pub fn replace(&mut self, catalog: Catalog) -> Replaced {
        let before = self.version();
        if catalog.version() < before {
            return Replaced::Older;
        }
        if catalog.version() == before && self.catalog.is_some() {
            return Replaced::Same;
        }
        self.catalog = Some(Arc::new(catalog));
        Replaced::Newer { before }
    }

    /// The store's answer to a question asked at `asked` held nothing newer.
    pub fn confirm(&mut self, asked: Time) {
        self.relied_on_until = self.relied_on_until.max(asked + self.reliance);
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
    pub const fn relied_on_until(&self) -> Time {
        self.relied_on_until
    }
}
