//! Room that is kept for generations that must leave their engine.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, ServiceName, Time, TokenCount};
use lentil_rollout::Version;

use crate::Fleet;
use crate::placement::PlacementRequest;
use crate::scheduling::Candidate;

impl Fleet {
    /// Sets the tokens of this entry's generations that run at leaving engines and still need
    /// room elsewhere, by service and by the version that they must stay at.
    pub fn set_displaced(
        &mut self,
        displaced: BTreeMap<ServiceName, BTreeMap<Option<Version>, TokenCount>>,
    ) {
        self.displaced = displaced;
    }

    /// Removes the engines that are kept for displaced generations from the candidates for a
    /// new one: of each version those with most room, until their room suffices. A displaced
    /// generation is lost if it finds no room in time; a new one can wait.
    pub(crate) fn keep_displaced_room(
        &self,
        now: Time,
        candidates: &mut Vec<Candidate>,
        request: &PlacementRequest,
    ) {
        let displaced = self.displaced.get(&request.service);
        let Some(displaced) = displaced.filter(|_| self.is_adaptive(&request.service)) else {
            return;
        };
        if request.generation.is_none() {
            return;
        }
        let mut kept = Vec::new();
        for (version, tokens) in displaced {
            let of_version = candidates
                .iter()
                .filter(|(_, _, id)| self.version(id) == version.as_ref());
            let rooms = of_version.map(|(_, _, id)| (self.engine_room(now, id), id.clone()));
            kept.extend(most_room(rooms.collect(), f64::from(tokens.get())));
        }
        candidates.retain(|(_, _, id)| !kept.contains(id));
    }
}

/// The engines with most room, as many as are needed for so many tokens.
fn most_room(mut rooms: Vec<(f64, EndpointId)>, mut needed: f64) -> Vec<EndpointId> {
    rooms.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    rooms
        .into_iter()
        .take_while(|(room, _)| {
            let is_kept = needed > 0.0;
            needed -= room.max(0.0);
            is_kept
        })
        .map(|(_, id)| id)
        .collect()
}
