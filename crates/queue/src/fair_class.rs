//! Start-time fair queuing between the organisations of one class.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use lentil_core::Time;

use crate::fair_queue::Queued;

/// Scale of the costs, which keeps precision when they are divided by weights.
const COST_SCALE: u64 = 1_024;

/// Position of an item among those of its organisation in its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    due: Time,
    /// Order of arrival; negative for items that were put ahead of the others.
    sequence: i64,
}

/// The waiting items of one organisation.
#[derive(Debug)]
struct Flow<T> {
    waiting: BTreeMap<Position, T>,
    cost: u64,
    /// Virtual start time of the organisation's next item.
    start_tag: u64,
}

impl<T: Queued> Flow<T> {
    const fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
            cost: 0,
            start_tag: 0,
        }
    }

    fn remove(&mut self, position: Position) -> Option<T> {
        let item = self.waiting.remove(&position)?;
        self.cost -= item.cost();
        Some(item)
    }

    /// Cost of the items before a position.
    fn cost_before(&self, position: Position) -> u64 {
        let later = (Bound::Included(position), Bound::Unbounded);
        let later: u64 = self.waiting.range(later).map(|(_, item)| item.cost()).sum();
        self.cost - later
    }
}

/// The flows of one class.
#[derive(Debug)]
pub(crate) struct FairClass<T: Queued> {
    flows: BTreeMap<T::Owner, Flow<T>>,
    /// Organisations with waiting items, ordered by start tag.
    start_order: BTreeSet<(u64, T::Owner)>,
    virtual_time: u64,
    len: usize,
    cost: u64,
    next_sequence: i64,
}

impl<T: Queued> Default for FairClass<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            start_order: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
            cost: 0,
            next_sequence: 0,
        }
    }
}

impl<T: Queued> FairClass<T> {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, item: T, front: bool) -> Position {
        self.next_sequence += 1;
        let position = match front {
            true => Position {
                due: Time::ZERO,
                sequence: -self.next_sequence,
            },
            false => Position {
                due: item.due(),
                sequence: self.next_sequence,
            },
        };
        let owner = item.owner().clone();
        let flow = self.flows.entry(owner.clone()).or_insert_with(Flow::new);
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.start_order.insert((flow.start_tag, owner));
        }
        flow.cost += item.cost();
        self.cost += item.cost();
        flow.waiting.insert(position, item);
        self.len += 1;
        position
    }

    pub(crate) fn peek(&self) -> Option<(Position, &T)> {
        let (_, owner) = self.start_order.first()?;
        let (position, item) = self.flows.get(owner)?.waiting.first_key_value()?;
        Some((*position, item))
    }

    pub(crate) fn pop(&mut self) -> Option<T> {
        let (start_tag, owner) = self.start_order.first()?.clone();
        let position = *self.flows.get(&owner)?.waiting.first_key_value()?.0;
        self.virtual_time = self.virtual_time.max(start_tag);
        self.take(&owner, position)
    }

    /// Removes an item and charges its organisation. The virtual time advances only with
    /// the organisation that is next.
    pub(crate) fn take(&mut self, owner: &T::Owner, position: Position) -> Option<T> {
        let flow = self.flows.get_mut(owner)?;
        let item = flow.remove(position)?;
        let next = (flow.start_tag, owner.clone());
        if self.start_order.first() == Some(&next) {
            self.virtual_time = self.virtual_time.max(flow.start_tag);
        }
        self.start_order.remove(&next);
        flow.start_tag += scaled(item.cost(), &item);
        self.len -= 1;
        self.cost -= item.cost();
        if !flow.waiting.is_empty() {
            self.start_order.insert((flow.start_tag, owner.clone()));
        }
        self.remove_idle_flows();
        Some(item)
    }

    pub(crate) fn get(&self, owner: &T::Owner, position: Position) -> Option<&T> {
        self.flows.get(owner)?.waiting.get(&position)
    }

    pub(crate) fn get_mut(&mut self, owner: &T::Owner, position: Position) -> Option<&mut T> {
        self.flows.get_mut(owner)?.waiting.get_mut(&position)
    }

    /// Removes an item without charging its organisation.
    pub(crate) fn remove(&mut self, owner: &T::Owner, position: Position) -> Option<T> {
        let flow = self.flows.get_mut(owner)?;
        let item = flow.remove(position)?;
        self.len -= 1;
        self.cost -= item.cost();
        if flow.waiting.is_empty() {
            self.start_order.remove(&(flow.start_tag, owner.clone()));
        }
        Some(item)
    }

    pub(crate) fn upcoming(&self, per_owner: usize) -> impl Iterator<Item = (Position, &T)> {
        self.start_order
            .iter()
            .filter_map(|(_, owner)| self.flows.get(owner))
            .flat_map(move |flow| flow.waiting.iter().take(per_owner))
            .map(|(position, item)| (*position, item))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        self.flows
            .values()
            .flat_map(|flow| &flow.waiting)
            .map(|(position, item)| (*position, item))
    }

    /// The last item of each organisation, those that are served last first.
    pub(crate) fn lasts(&self) -> impl Iterator<Item = &T> {
        let lasts = self.start_order.iter().filter_map(|(start_tag, owner)| {
            let flow = self.flows.get(owner)?;
            let (_, item) = flow.waiting.last_key_value()?;
            Some((start_tag + scaled(flow.cost - item.cost(), item), item))
        });
        let mut lasts: Vec<_> = lasts.collect();
        lasts.sort_by_key(|(tag, _)| std::cmp::Reverse(*tag));
        lasts.into_iter().map(|(_, item)| item)
    }

    /// Charges an organisation for the output of an item after it was dequeued.
    pub(crate) fn charge(&mut self, item: &T, cost: u64) {
        let owner = item.owner();
        let Some(flow) = self.flows.get_mut(owner) else {
            return;
        };
        let is_waiting = self.start_order.remove(&(flow.start_tag, owner.clone()));
        flow.start_tag = flow.start_tag.max(self.virtual_time) + scaled(cost, item);
        if is_waiting {
            self.start_order.insert((flow.start_tag, owner.clone()));
        }
    }

    /// Removes the flows without waiting items and outstanding charges, once many flows have
    /// nothing waiting.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() <= 2 * (self.start_order.len() + 64) {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start_tag > virtual_time);
    }

    pub(crate) fn remove_matching(&mut self, predicate: &impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for (owner, flow) in &mut self.flows {
            let before = removed.len();
            removed.extend(
                flow.waiting
                    .extract_if(.., |_, item| predicate(item))
                    .map(|(_, item)| item),
            );
            let matching = removed.get(before..).unwrap_or_default();
            self.len -= matching.len();
            let cost: u64 = matching.iter().map(Queued::cost).sum();
            flow.cost -= cost;
            self.cost -= cost;
            if !matching.is_empty() && flow.waiting.is_empty() {
                self.start_order.remove(&(flow.start_tag, owner.clone()));
            }
        }
        removed
    }

    pub(crate) fn drop_last(&mut self) -> Option<T> {
        let (owner, flow) = self
            .flows
            .iter()
            .max_by_key(|(owner, flow)| (flow.waiting.len(), *owner))?;
        let (owner, position) = (owner.clone(), *flow.waiting.last_key_value()?.0);
        self.remove(&owner, position)
    }

    /// Estimated number of items served ahead of one of this organisation that arrives now.
    pub(crate) fn ahead_of(&self, owner: &T::Owner) -> usize {
        let own = self.flows.get(owner).map_or(0, |flow| flow.waiting.len());
        let fair_share_ahead = (own + 1).saturating_mul(self.start_order.len().max(1));
        self.len.min(fair_share_ahead)
    }

    pub(crate) const fn cost(&self) -> u64 {
        self.cost
    }

    /// Estimated cost of the items served ahead of one that arrives now.
    pub(crate) fn cost_ahead(&self, item: &T) -> u64 {
        let position = Position {
            due: item.due(),
            sequence: i64::MAX,
        };
        let own_flow = self.flows.get(item.owner());
        let own = own_flow.map_or(0, |flow| flow.cost_before(position));
        let start_tag = own_flow.map_or(0, |flow| flow.start_tag);
        let own_tag = start_tag.max(self.virtual_time) + scaled(own, item);
        let others = self
            .start_order
            .iter()
            .filter(|(_, owner)| owner != item.owner());
        let others: u64 = others
            .take_while(|(tag, _)| *tag <= own_tag)
            .filter_map(|(tag, owner)| {
                let flow = self.flows.get(owner)?;
                let (_, first) = flow.waiting.first_key_value()?;
                let weight = u64::from(first.weight().get().max(1));
                // The item that is in turn is served whole, even if it begins just before.
                let until_own_tag = (own_tag - tag) * weight / COST_SCALE + first.cost();
                Some(flow.cost.min(until_own_tag))
            })
            .sum();
        own + others
    }
}

/// A cost in virtual time, for the organisation of an item.
fn scaled<T: Queued>(cost: u64, item: &T) -> u64 {
    cost * COST_SCALE / u64::from(item.weight().get().max(1))
}
