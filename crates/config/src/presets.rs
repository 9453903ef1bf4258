//! A set of presets, exactly one of which is in force.

use std::collections::BTreeMap;

use lentil_core::PresetName;

use crate::Preset;

/// Presets by name. Exactly one of them is in force at any time.
#[derive(Debug, Clone, PartialEq)]
pub struct Presets {
    name: PresetName,
    in_force: Preset,
    others: BTreeMap<PresetName, Preset>,
}

impl Presets {
    /// Creates the set with the preset `name` in force.
    ///
    /// Returns `None` if `all` has no preset of that name.
    #[must_use]
    pub fn new(name: PresetName, mut all: BTreeMap<PresetName, Preset>) -> Option<Self> {
        let in_force = all.remove(&name)?;
        Some(Self {
            name,
            in_force,
            others: all,
        })
    }

    /// Returns the name of the preset in force.
    #[must_use]
    pub const fn in_force_name(&self) -> &PresetName {
        &self.name
    }

    /// Returns the preset in force.
    #[must_use]
    pub const fn in_force(&self) -> &Preset {
        &self.in_force
    }

    /// Returns the preset with this name, whether in force or not.
    #[must_use]
    pub fn get(&self, name: &PresetName) -> Option<&Preset> {
        if *name == self.name {
            Some(&self.in_force)
        } else {
            self.others.get(name)
        }
    }

    /// Returns all presets by name.
    #[must_use]
    pub fn all(&self) -> BTreeMap<PresetName, Preset> {
        let mut all = self.others.clone();
        all.insert(self.name.clone(), self.in_force.clone());
        all
    }

    /// Returns the number of presets.
    #[must_use]
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Puts the preset with this name in force. Returns false if there is none.
    pub(crate) fn put_in_force(&mut self, name: &PresetName) -> bool {
        if *name == self.name {
            return true;
        }
        let Some(next) = self.others.remove(name) else {
            return false;
        };
        let previous = std::mem::replace(&mut self.in_force, next);
        let previous_name = std::mem::replace(&mut self.name, name.clone());
        self.others.insert(previous_name, previous);
        true
    }

    /// Adds a preset or replaces the one with the same name.
    pub(crate) fn put(&mut self, name: PresetName, preset: Preset) {
        if name == self.name {
            self.in_force = preset;
        } else {
            self.others.insert(name, preset);
        }
    }

    /// Removes a preset. Returns false if it is in force or does not exist.
    pub(crate) fn remove(&mut self, name: &PresetName) -> bool {
        self.others.remove(name).is_some()
    }
}
