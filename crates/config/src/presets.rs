//! A set of presets of which exactly one is in force.

use std::collections::BTreeMap;

use lentil_core::PresetName;

use crate::Preset;

/// Presets by name. One of them, never none or two, is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Presets {
    name: PresetName,
    in_force: Preset,
    others: BTreeMap<PresetName, Preset>,
}

impl Presets {
    /// Takes the preset called `name` out of `all` and puts it in force.
    ///
    /// `None` when there is no such preset.
    #[must_use]
    pub fn new(name: PresetName, mut all: BTreeMap<PresetName, Preset>) -> Option<Self> {
        let in_force = all.remove(&name)?;
        Some(Self {
            name,
            in_force,
            others: all,
        })
    }

    /// The name of the preset in force.
    #[must_use]
    pub const fn in_force_name(&self) -> &PresetName {
        &self.name
    }

    /// The preset in force.
    #[must_use]
    pub const fn in_force(&self) -> &Preset {
        &self.in_force
    }

    /// The preset of that name, in force or not.
    #[must_use]
    pub fn get(&self, name: &PresetName) -> Option<&Preset> {
        if *name == self.name {
            Some(&self.in_force)
        } else {
            self.others.get(name)
        }
    }

    /// All presets by name.
    #[must_use]
    pub fn all(&self) -> BTreeMap<PresetName, Preset> {
        let mut all = self.others.clone();
        all.insert(self.name.clone(), self.in_force.clone());
        all
    }

    /// Number of presets.
    #[must_use]
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Puts another preset in force; false when there is none of that name.
    pub(crate) fn put_in_force(&mut self, name: &PresetName) -> bool {
        if *name == self.name {
            return true;
        }
        let Some(next) = self.others.remove(name) else {
            return false;
        };
        let last = std::mem::replace(&mut self.in_force, next);
        let last_name = std::mem::replace(&mut self.name, name.clone());
        self.others.insert(last_name, last);
        true
    }

    /// Adds a preset or replaces the one of that name.
    pub(crate) fn put(&mut self, name: PresetName, preset: Preset) {
        if name == self.name {
            self.in_force = preset;
        } else {
            self.others.insert(name, preset);
        }
    }

    /// Removes a preset that is not in force; false when it is, or is unknown.
    pub(crate) fn remove(&mut self, name: &PresetName) -> bool {
        self.others.remove(name).is_some()
    }
}
