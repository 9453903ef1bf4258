//! A fake log that holds one claim stream.

use lentil_core::Offset;
use lentil_once::Batch;

/// Stored batches, indexed by offset.
#[derive(Debug, Default)]
pub(crate) struct FakeLog {
    batches: Vec<Batch>,
}

impl FakeLog {
    pub(crate) fn append(&mut self, batch: Batch) -> Offset {
        let offset = self.next();
        self.batches.push(batch);
        offset
    }

    pub(crate) fn next(&self) -> Offset {
        Offset::new(u64::try_from(self.batches.len()).unwrap_or(u64::MAX))
    }

    pub(crate) fn read(&self, from: Offset) -> Vec<(Offset, Batch)> {
        let skip = usize::try_from(from.get()).unwrap_or(usize::MAX);
        (from.get()..)
            .map(Offset::new)
            .zip(self.batches.iter().skip(skip).cloned())
            .collect()
    }
}
