//! Writes back what a store lost that went back to an older copy of itself, and gives up what a node
//! held in the lost history.

use {
    super::{
        LeaderRecord,
        election_action::{put, random_below},
        election_task::ElectionTask,
        held_term::HeldTerm,
    },
    crate::store::{StoreError, Txn},
    tokio::time::Instant,
};

/// The longest random delay before a node writes the last-leader key back; most nodes see the write
/// of another one first.
const RESTORE_DELAY_MAX_MS: u64 = 300;

impl ElectionTask {
    /// Writes the newest known leader to the last-leader key of a store that has lost it, once a
    /// random delay has passed.
    ///
    /// # Errors
    ///
    /// Fails when the store does.
    pub(super) async fn restore_last_leader(&mut self) -> Result<(), StoreError> {
        let (last, newest) = self.last_leaders();
        let Some((newest, record)) = newest
            .as_ref()
            .and_then(|newest| Some((newest, newest.record.as_ref()?)))
        else {
            return Ok(());
        };
        let due_at = *self
            .restore_at
            .get_or_insert_with(|| Instant::now() + random_below(RESTORE_DELAY_MAX_MS));
        if Instant::now() < due_at {
            return Ok(());
        }
        self.restore_at = None;
        let restored = LeaderRecord {
            token_floor: newest.token(),
            ..record.clone()
        };
        let txn = Txn {
            compare: vec![self.last_leader_unchanged(last.as_ref())],
            then: vec![put(self.shared.keys.last_leader.clone(), &restored, None)],
            ..Txn::default()
        };
        let reply = self.shared.store.txn(txn).await?;
        if reply.succeeded {
            log::warn!(
                node:% = self.shared.me.name, leader:% = restored.node, fencing_token = newest.token();
                "leader: wrote back the last leader, which the store had lost."
            );
        }
        Ok(())
    }

    /// Returns whether the store has kept its history since this process last wrote the leader key.
    ///
    /// Otherwise another node may have led in the lost history, unknown to this one.
    pub(super) fn is_settled(&self) -> bool {
        self.shared.view().rollbacks == self.settled_rollbacks
    }

    /// Returns whether all keys were read since the view was last in doubt.
    pub(super) fn has_read_keys_since_doubt(&self) -> bool {
        let read_at = self.shared.view().read_at;
        self.view_doubted_at
            .is_none_or(|doubted_at| read_at >= doubted_at)
    }

    /// Ends a term that began before the store went back to an older copy.
    pub(super) fn end_term_of_lost_history(&mut self) {
        let rollbacks = self.shared.view().rollbacks;
        let mut lease_state = self.shared.lease_state();
        let Some(held) = lease_state.held.take_if(|held| held.rollbacks != rollbacks) else {
            return;
        };
        drop(lease_state);
        self.lost_fencing_token = self.lost_fencing_token.max(held.token);
        log::warn!(
            node:% = self.shared.me.name, led_with = held.token;
            "leader: the term ended, the store may have lost a later leader."
        );
        self.shared.publish_term();
    }

    /// Gives up a lease that the store no longer knows as this node's: its number may have been
    /// granted to another node.
    pub(super) fn abandon_lost_lease(&mut self) {
        let Some(registered) = self.registered else {
            return;
        };
        let me = &self.shared.me.name;
        if !self.shared.view().has_lost_registration(me, &registered) {
            return;
        }
        log::warn!(node:% = me; "leader: the store has lost this node's registration.");
        self.registered = None;
        self.unaware_until = Instant::now();
        self.view_doubted_at = Some(self.unaware_until);
        let mut lease_state = self.shared.lease_state();
        lease_state.lease = None;
        let held = lease_state.held.take();
        drop(lease_state);
        if let Some(held) = held {
            self.lost_fencing_token = self.lost_fencing_token.max(held.token);
        }
        self.shared.publish_term();
    }

    /// Ends the term if the store no longer has its leader key.
    ///
    /// After a failed call the store may have come back from an older copy, which still has the
    /// lease of this node.
    ///
    /// # Errors
    ///
    /// Fails when the store does.
    pub(super) async fn confirm_leader_key(&mut self) -> Result<(), StoreError> {
        let held = self.shared.lease_state().held;
        if let Some(held) = held
            && !self.has_leader_key(&held).await?
        {
            self.lost_fencing_token = self.lost_fencing_token.max(held.token);
            self.shared
                .lease_state()
                .held
                .take_if(|present| *present == held);
            log::warn!(
                node:% = self.shared.me.name, led_with = held.token;
                "leader: the store has lost the leader key."
            );
            self.shared.publish_term();
            self.shared.reload_keys.notify_one();
        }
        self.must_confirm = false;
        Ok(())
    }

    async fn has_leader_key(&self, held: &HeldTerm) -> Result<bool, StoreError> {
        let range = self.shared.store.range(&self.shared.keys.leader, 1).await?;
        let own = &self.shared.own_record;
        Ok(range.entries.iter().any(|entry| {
            let record = serde_json::from_slice::<LeaderRecord>(&entry.value);
            entry.modified == held.version && record.is_ok_and(|record| record.is_same_process(own))
        }))
    }
}
