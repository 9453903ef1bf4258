//! Waiting items by class, with fair queuing between organisations.

use std::collections::BTreeMap;
use std::fmt::Debug;

use lentil_core::{Time, TokenCount, Weight};

use crate::fair_class::{FairClass, Position};

/// An item of a [`FairQueue`].
pub trait Queued {
    /// Class of items, of which smaller ones are served first.
    type Class: Copy + Ord + Debug;
    /// Identifies an organisation, or callers that are treated as one.
    type Owner: Clone + Ord + Debug;

    /// The item's class.
    fn class(&self) -> Self::Class;

    /// The organisation that the item belongs to.
    fn owner(&self) -> &Self::Owner;

    /// Weight of the organisation.
    fn weight(&self) -> Weight;

    /// Cost of the item, in output tokens.
    fn cost(&self) -> u64;

    /// When the item is due, by which the items of an organisation are ordered. Items with
    /// the same value are ordered by arrival.
    fn due(&self) -> Time {
        Time::ZERO
    }
}

/// Waiting items by class, and by organisation within each class.
///
/// Organisations share each class by start-time fair queuing: each is charged the cost of its
/// items divided by its weight, and the one with the lowest virtual start time goes next.
#[derive(Debug)]
pub struct FairQueue<T: Queued> {
    classes: BTreeMap<T::Class, FairClass<T>>,
}

impl<T: Queued> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
        }
    }
}

impl<T: Queued> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(FairClass::len).sum()
    }

    /// Whether no item is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.len() == 0)
    }

    /// Adds an item behind the others of its organisation that are due at the same time.
    pub fn push(&mut self, item: T) -> Position {
        self.class_mut(item.class()).push(item, false)
    }

    /// Puts an item ahead of the others of its organisation.
    pub fn push_front(&mut self, item: T) -> Position {
        self.class_mut(item.class()).push(item, true)
    }

    fn class_mut(&mut self, class: T::Class) -> &mut FairClass<T> {
        self.classes.entry(class).or_default()
    }

    /// The next item of a class.
    #[must_use]
    pub fn peek(&self, class: T::Class) -> Option<&T> {
        self.classes.get(&class)?.peek().map(|(_, item)| item)
    }

    /// Removes and returns the next item of a class.
    pub fn pop(&mut self, class: T::Class) -> Option<T> {
        self.classes.get_mut(&class)?.pop()
    }

    /// The next item of all, from the first class that has one, and its position.
    #[must_use]
    pub fn first(&self) -> Option<(Position, &T)> {
        self.classes.values().find_map(FairClass::peek)
    }

    /// Removes and returns an item, and charges its organisation as [`FairQueue::pop`] does.
    pub fn take(&mut self, class: T::Class, owner: &T::Owner, position: Position) -> Option<T> {
        self.classes.get_mut(&class)?.take(owner, position)
    }

    /// The item at this position.
    #[must_use]
    pub fn get(&self, class: T::Class, owner: &T::Owner, position: Position) -> Option<&T> {
        self.classes.get(&class)?.get(owner, position)
    }

    /// An item. Its class, cost and organisation must stay the same.
    pub(crate) fn get_mut(
        &mut self,
        class: T::Class,
        owner: &T::Owner,
        position: Position,
    ) -> Option<&mut T> {
        self.classes.get_mut(&class)?.get_mut(owner, position)
    }

    /// Removes and returns an item that is not served.
    pub fn remove(&mut self, class: T::Class, owner: &T::Owner, position: Position) -> Option<T> {
        self.classes.get_mut(&class)?.remove(owner, position)
    }

    /// Items of a class in the order in which organisations go next. At most `per_owner`
    /// items of each organisation are listed.
    pub fn upcoming(
        &self,
        class: T::Class,
        per_owner: usize,
    ) -> impl Iterator<Item = (Position, &T)> {
        self.classes
            .get(&class)
            .into_iter()
            .flat_map(move |class| class.upcoming(per_owner))
    }

    /// All items, by class and then by organisation.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        self.classes.values().flat_map(FairClass::iter)
    }

    /// The last item of each organisation in a class, those that are served last first.
    pub fn lasts(&self, class: T::Class) -> impl Iterator<Item = &T> {
        let class = self.classes.get(&class);
        class.into_iter().flat_map(FairClass::lasts)
    }

    /// Cost of all items of a class.
    #[must_use]
    pub fn cost_of(&self, class: T::Class) -> u64 {
        self.classes.get(&class).map_or(0, FairClass::cost)
    }

    /// The classes, the first to be served first.
    pub fn classes(&self) -> impl Iterator<Item = T::Class> {
        self.classes.keys().copied()
    }

    /// Number of waiting items of each class.
    pub fn lens(&self) -> impl Iterator<Item = (T::Class, usize)> {
        self.classes
            .iter()
            .map(|(class, items)| (*class, items.len()))
    }

    /// Charges an organisation for the output of a completed item.
    pub fn charge(&mut self, item: &T, tokens: TokenCount) {
        if let Some(class) = self.classes.get_mut(&item.class()) {
            class.charge(item, u64::from(tokens.get()));
        }
    }

    /// Estimated number of items served ahead of one that arrives now.
    #[must_use]
    pub fn ahead_of(&self, item: &T) -> usize {
        let own_class = item.class();
        let earlier: usize = self
            .classes
            .range(..own_class)
            .map(|(_, class)| class.len())
            .sum();
        let own = self.classes.get(&own_class);
        earlier + own.map_or(0, |class| class.ahead_of(item.owner()))
    }

    /// Cost of all items in the classes before this one.
    #[must_use]
    pub fn cost_before(&self, class: T::Class) -> u64 {
        let earlier = self.classes.range(..class);
        earlier.map(|(_, class)| class.cost()).sum()
    }

    /// Estimated cost of the items of its class that are served ahead of one that arrives now:
    /// those of its organisation that are due earlier, and as much of each other organisation.
    #[must_use]
    pub fn cost_ahead(&self, item: &T) -> u64 {
        let class = self.classes.get(&item.class());
        class.map_or(0, |class| class.cost_ahead(item))
    }

    /// Removes all items that match `predicate`.
    pub fn remove_matching(&mut self, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        self.classes
            .values_mut()
            .flat_map(|class| class.remove_matching(&predicate))
            .collect()
    }

    /// Removes the items of one class that match `predicate`.
    pub fn remove_from(&mut self, class: T::Class, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        self.classes
            .get_mut(&class)
            .map(|class| class.remove_matching(&predicate))
            .unwrap_or_default()
    }

    /// Removes the last item of the longest flow in the last class with items.
    pub fn drop_last(&mut self) -> Option<T> {
        self.classes
            .values_mut()
            .rev()
            .find(|class| class.len() > 0)
            .and_then(FairClass::drop_last)
    }
}
