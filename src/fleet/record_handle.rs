//! An owner's access to one runner's record, which changes by compare-and-swap.

use {
    super::{
        Owner, PendingOrder, RecordError, RunnerRecord, free_slot_op,
        record_io::{encode_record, read_record, version_condition},
        record_key,
    },
    crate::{
        store::{Compare, Op, SharedStore, StoreError, StoreVersion, Txn},
        units::{Epoch, RunnerName},
    },
};

/// The number of attempts at a change, each on the newest version of the record.
const CHANGE_ATTEMPTS_MAX: usize = 4;

/// The conditions and writes of a transaction besides those of the record.
#[derive(Debug, Clone, Default)]
pub struct TxnExtras {
    /// Further conditions.
    pub compare: Vec<Compare>,
    /// Further writes.
    pub ops: Vec<Op>,
}

/// A runner's record as last read or written by its owner, and the means to change it.
pub struct RecordHandle {
    store: SharedStore,
    key: String,
    owner: Owner,
    epoch: Epoch,
    record: RunnerRecord,
    version: StoreVersion,
    /// Whether the store was restored to an older copy than the one that was written.
    store_rolled_back: bool,
}

impl RecordHandle {
    /// Acquires the runner's record; `change` assigns the new owner and fencing epoch.
    ///
    /// # Errors
    ///
    /// Fails when the store fails or another process changes the record at the same time.
    pub async fn take_over(
        store: SharedStore,
        runner: &RunnerName,
        owner: Owner,
        change: impl FnOnce(&mut RunnerRecord),
    ) -> Result<Self, RecordError> {
        let key = record_key(runner);
        let found = read_record(&store, &key).await?;
        let (mut record, version) =
            found.unwrap_or_else(|| (RunnerRecord::new(runner.clone()), StoreVersion::default()));
        change(&mut record);
        let mut handle = Self {
            epoch: record.epoch,
            store,
            key,
            owner,
            record,
            version,
            store_rolled_back: false,
        };
        let desired = handle.record.clone();
        match handle
            .compare_and_swap(&desired, &TxnExtras::default())
            .await?
        {
            true => Ok(handle),
            false => Err(RecordError::OwnershipLost),
        }
    }

    /// Returns the record as last read or written.
    pub fn record(&self) -> &RunnerRecord {
        &self.record
    }

    /// Returns the owner that holds the record.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the fencing epoch under which the record is held.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Reloads the record from the store.
    ///
    /// A lower fencing epoch shows that the store was restored from an older copy. The next change
    /// then overwrites that copy with this owner's record.
    ///
    /// # Errors
    ///
    /// Fails with [`RecordError::OwnershipLost`] when another owner holds the record, or when the store
    /// fails.
    pub async fn reload(&mut self) -> Result<(), RecordError> {
        let found = read_record(&self.store, &self.key).await?;
        self.accept_read(found)
    }

    /// Adopts a record that was read, unless another owner holds it or the store rolled back.
    fn accept_read(
        &mut self,
        found: Option<(RunnerRecord, StoreVersion)>,
    ) -> Result<(), RecordError> {
        let (record, version) = match found {
            Some((record, version)) if record.epoch >= self.epoch => (record, version),
            Some((_, version)) => return self.keep_own_copy(version),
            None => return self.keep_own_copy(StoreVersion::default()),
        };
        if !record.is_held_by(&self.owner, self.epoch) {
            return Err(RecordError::OwnershipLost);
        }
        self.record = record;
        self.version = version;
        Ok(())
    }

    /// Keeps this owner's record when the store holds an older copy, to be overwritten.
    fn keep_own_copy(&mut self, version: StoreVersion) -> Result<(), RecordError> {
        log::error!(
            "fleet: the store was restored to an older copy of {}; the next change overwrites it",
            self.key
        );
        self.version = version;
        self.store_rolled_back = true;
        Ok(())
    }

    /// Changes the record if this owner still holds it under its fencing epoch.
    ///
    /// `change` runs again on a newer version of the record if the first write fails, so it must be
    /// idempotent. A record that `change` leaves as it was is not written.
    ///
    /// # Errors
    ///
    /// Fails when `change` does, when another owner holds the record, when an extra condition does
    /// not hold, or when the store fails.
    pub async fn change<E>(
        &mut self,
        extras: &TxnExtras,
        mut change: impl FnMut(&mut RunnerRecord) -> Result<(), E>,
    ) -> Result<(), RecordError>
    where
        RecordError: From<E>,
    {
        for _ in 0..CHANGE_ATTEMPTS_MAX {
            let mut desired = self.record.clone();
            change(&mut desired)?;
            if desired == self.record && !self.store_rolled_back {
                return Ok(());
            }
            match self.compare_and_swap(&desired, extras).await {
                Ok(true) => {
                    self.store_rolled_back = false;
                    self.epoch = desired.epoch;
                    self.record = desired;
                    return Ok(());
                }
                Ok(false) => self.reload_newer().await?,
                Err(error) => self.resolve_unknown_write(&desired, error).await?,
            }
        }
        Err(RecordError::Conflict)
    }

    /// Reloads the record after a failed comparison.
    ///
    /// # Errors
    ///
    /// Fails with [`RecordError::Conflict`] when the record itself has not changed.
    async fn reload_newer(&mut self) -> Result<(), RecordError> {
        let version = self.version;
        self.reload().await?;
        if self.version == version {
            return Err(RecordError::Conflict);
        }
        Ok(())
    }

    /// Reads whether a change whose reply was lost took effect.
    async fn resolve_unknown_write(
        &mut self,
        desired: &RunnerRecord,
        error: RecordError,
    ) -> Result<(), RecordError> {
        if !matches!(error, RecordError::Store(StoreError::Unknown(_))) {
            return Err(error);
        }
        let found = read_record(&self.store, &self.key).await?;
        let taken_effect =
            |(record, _): &(RunnerRecord, _)| record.is_held_by(&self.owner, desired.epoch);
        if found.as_ref().is_some_and(taken_effect) {
            self.epoch = desired.epoch;
        }
        self.accept_read(found)
    }

    /// Writes the record if its version and the extra conditions hold; returns whether they did.
    async fn compare_and_swap(
        &mut self,
        desired: &RunnerRecord,
        extras: &TxnExtras,
    ) -> Result<bool, RecordError> {
        let mut compare = vec![version_condition(&self.key, self.version)];
        compare.extend(extras.compare.iter().cloned());
        let mut then = vec![Op::Put {
            key: self.key.clone(),
            value: encode_record(desired)?,
            lease: None,
        }];
        then.extend(freed_slots(&self.record, desired));
        then.extend(extras.ops.iter().cloned());
        let reply = self
            .store
            .txn(Txn {
                compare,
                then,
                otherwise: Vec::new(),
            })
            .await?;
        if reply.succeeded {
            self.version = reply.version;
        }
        Ok(reply.succeeded)
    }
}

/// Returns the operations that free the load slots of orders that a change removes.
fn freed_slots(before: &RunnerRecord, after: &RunnerRecord) -> Vec<Op> {
    let is_removed = |order: &&PendingOrder| {
        !after
            .orders
            .iter()
            .any(|pending| pending.id() == order.id())
    };
    let removed = before.orders.iter().filter(is_removed);
    removed
        .filter_map(|order| order.load_slot)
        .map(free_slot_op)
        .collect()
}
