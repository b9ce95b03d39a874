//! The streams that began lately, with their software versions.

use {
    super::{RESUMABLE_MAX, StreamBatch, StreamId},
    crate::traffic::{ServiceId, SoftwareVersion},
    tokio::time::Instant,
};

/// The most streams that are kept; the oldest ones make room for new ones.
const STREAMS_MAX: usize = 100_000;

/// The most streams that are passed on at once.
const PASSED_ON_MAX: usize = 20_000;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Begin {
    service: ServiceId,
    software: SoftwareVersion,
}

#[derive(Debug)]
struct Row {
    id: StreamId,
    /// `None` if two streams with this id began at different versions.
    begin: Option<Begin>,
    began_at: Instant,
    progress: Progress,
}

/// How far a row is on its way to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// The row is still to be passed on.
    Pending,
    /// The row was passed on to a peer, or written.
    PassedOn,
    /// The row was read from the store.
    Read,
}

/// The streams that began lately, sorted by id.
#[derive(Debug, Default)]
pub(super) struct StreamTable {
    rows: Vec<Row>,
}

impl StreamTable {
    /// Records where a stream began.
    pub fn record(
        &mut self,
        id: StreamId,
        service: &ServiceId,
        software: &SoftwareVersion,
        progress: Progress,
        now: Instant,
    ) {
        let begin = Begin {
            service: service.clone(),
            software: software.clone(),
        };
        match self.position(id) {
            Ok(position) => {
                let row = &mut self.rows[position];
                if row.begin.as_ref() != Some(&begin) {
                    row.begin = None;
                }
            }
            Err(position) => {
                let row = Row {
                    id,
                    begin: Some(begin),
                    began_at: now,
                    progress,
                };
                self.rows.insert(position, row);
            }
        }
    }

    /// Returns the version of a stream of a service, `Some(None)` if it is ambiguous.
    pub fn find(&self, id: StreamId, service: &ServiceId) -> Option<Option<&SoftwareVersion>> {
        let row = &self.rows[self.position(id).ok()?];
        let begin = row.begin.as_ref().filter(|begin| begin.service == *service);
        Some(begin.map(|begin| &begin.software))
    }

    /// Returns the pending streams of the services for which `is_due` holds.
    pub fn pending(&self, is_due: impl Fn(&ServiceId) -> bool) -> Vec<StreamBatch> {
        let mut batches: Vec<StreamBatch> = Vec::new();
        let due = self
            .rows
            .iter()
            .filter(|row| row.progress == Progress::Pending);
        let due = due.filter_map(|row| Some((row.id, row.begin.as_ref()?)));
        let due = due.filter(|(_, begin)| is_due(&begin.service));
        for (id, begin) in due.take(PASSED_ON_MAX) {
            let mut known = batches.iter_mut();
            let known = known
                .find(|batch| batch.service == begin.service && batch.software == begin.software);
            match known {
                Some(batch) => batch.ids.push(id),
                None => batches.push(StreamBatch {
                    service: begin.service.clone(),
                    software: begin.software.clone(),
                    ids: vec![id],
                }),
            }
        }
        batches
    }

    /// Records that streams were passed on.
    pub fn set_passed_on(&mut self, batches: &[StreamBatch]) {
        for id in batches.iter().flat_map(|batch| &batch.ids) {
            if let Ok(position) = self.position(*id) {
                self.rows[position].progress = Progress::PassedOn;
            }
        }
    }

    /// Makes the streams that were passed on pending again, as a node that took them is gone.
    pub fn set_all_pending(&mut self) {
        let passed_on = self.rows.iter_mut();
        let passed_on = passed_on.filter(|row| row.progress == Progress::PassedOn);
        passed_on.for_each(|row| row.progress = Progress::Pending);
    }

    /// Drops the streams that can no longer be resumed.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.began_at + RESUMABLE_MAX);
        let excess = self.rows.len().saturating_sub(STREAMS_MAX);
        if excess > 0 {
            let mut times: Vec<_> = self.rows.iter().map(|row| row.began_at).collect();
            let (_, oldest_kept, _) = times.select_nth_unstable(excess);
            let oldest_kept = *oldest_kept;
            self.rows.retain(|row| row.began_at >= oldest_kept);
        }
    }

    fn position(&self, id: StreamId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }
}
