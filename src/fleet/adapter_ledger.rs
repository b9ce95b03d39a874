//! The accounting of the adapter pool of one runner, kept in memory by its owner.

use {
    super::{LedgerError, PendingOrder},
    crate::{
        engine::{Action, Status},
        units::{AdapterName, MemoryMib},
    },
};

/// What a runner's adapter pool holds, and the orders that may still change it.
#[derive(Debug, Default)]
pub struct AdapterLedger {
    residents: Vec<AdapterName>,
    /// The sizes under which adapters were loaded, sorted by adapter.
    sizes_mib: Vec<(AdapterName, MemoryMib)>,
    orders: Vec<PendingOrder>,
    /// What may still be ordered before the owner must read its record again.
    allowance_mib: MemoryMib,
}

impl AdapterLedger {
    /// Returns the adapters in memory, sorted by name.
    pub fn residents(&self) -> &[AdapterName] {
        &self.residents
    }

    /// Returns the orders not known to be finished.
    pub fn orders(&self) -> &[PendingOrder] {
        &self.orders
    }

    /// Returns the memory held by residents and reserved by loads.
    pub fn used_mib(&self, size_of: &dyn Fn(&AdapterName) -> MemoryMib) -> MemoryMib {
        let held: MemoryMib = self
            .residents
            .iter()
            .map(|adapter| self.size_mib(adapter, size_of))
            .sum();
        held + self.loading_mib()
    }

    /// Returns the memory reserved by loads not known to be finished.
    pub fn loading_mib(&self) -> MemoryMib {
        self.orders.iter().map(load_mib).sum()
    }

    /// Returns what may still be ordered before the owner must read its record again.
    pub fn allowance_mib(&self) -> MemoryMib {
        self.allowance_mib
    }

    /// Renews the allowance after the owner saw that it still holds the record.
    pub fn renew_allowance(&mut self, window_mib: MemoryMib) {
        self.allowance_mib = window_mib.saturating_sub(self.loading_mib());
    }

    /// Reserves an order before it is sent.
    ///
    /// # Errors
    ///
    /// Fails when the room in the pool does not suffice, or the order does not fit what is
    /// resident.
    pub fn reserve(
        &mut self,
        pending: PendingOrder,
        room_mib: MemoryMib,
    ) -> Result<(), LedgerError> {
        let Some(adapter) = adapter_of(&pending).cloned() else {
            return Ok(());
        };
        if self
            .orders
            .iter()
            .any(|open| adapter_of(open) == Some(&adapter))
        {
            return Err(LedgerError::Busy(adapter.to_string()));
        }
        let resident = self.residents.binary_search(&adapter).is_ok();
        match &pending.order.action {
            Action::LoadAdapter { memory_mib, .. } => {
                self.check_load(&adapter, *memory_mib, resident, room_mib)?;
            }
            _ if !resident => return Err(LedgerError::NotResident(adapter.to_string())),
            _ => {}
        }
        self.orders.push(pending);
        Ok(())
    }

    fn check_load(
        &mut self,
        adapter: &AdapterName,
        needed: MemoryMib,
        resident: bool,
        room_mib: MemoryMib,
    ) -> Result<(), LedgerError> {
        if resident {
            return Err(LedgerError::Resident(adapter.to_string()));
        }
        let free = room_mib.min(self.allowance_mib);
        if needed > free {
            return Err(LedgerError::NoRoom { needed, free });
        }
        self.allowance_mib = self.allowance_mib.saturating_sub(needed);
        self.remember_size(adapter.clone(), needed);
        Ok(())
    }

    /// Brings the ledger up to a status that was asked for after every order so far was sent.
    pub fn settle(&mut self, status: &Status, is_over: &dyn Fn(&PendingOrder) -> bool) {
        let is_finished = |open: &PendingOrder| {
            open.order.incarnation < status.incarnation
                || status.finished.contains(&open.id())
                || is_over(open)
        };
        self.orders.retain(|open| !is_finished(open));
        let loading = |adapter: &AdapterName| {
            self.orders
                .iter()
                .any(|open| load_mib(open) > MemoryMib(0) && adapter_of(open) == Some(adapter))
        };
        self.residents = status
            .adapters
            .iter()
            .filter(|adapter| !loading(adapter))
            .cloned()
            .collect();
        self.residents.sort();
    }

    fn size_mib(
        &self,
        adapter: &AdapterName,
        size_of: &dyn Fn(&AdapterName) -> MemoryMib,
    ) -> MemoryMib {
        let ordered = self
            .sizes_mib
            .binary_search_by(|(name, _)| name.cmp(adapter))
            .map(|position| self.sizes_mib[position].1);
        ordered.map_or_else(|_| size_of(adapter), |size| size.max(size_of(adapter)))
    }

    fn remember_size(&mut self, adapter: AdapterName, size_mib: MemoryMib) {
        match self
            .sizes_mib
            .binary_search_by(|(name, _)| name.cmp(&adapter))
        {
            Ok(position) => self.sizes_mib[position].1 = size_mib,
            Err(position) => self.sizes_mib.insert(position, (adapter, size_mib)),
        }
    }
}

fn adapter_of(pending: &PendingOrder) -> Option<&AdapterName> {
    match &pending.order.action {
        Action::LoadAdapter { adapter, .. } | Action::UnloadAdapter { adapter } => Some(adapter),
        _ => None,
    }
}

fn load_mib(pending: &PendingOrder) -> MemoryMib {
    match &pending.order.action {
        Action::LoadAdapter { memory_mib, .. } => *memory_mib,
        _ => MemoryMib::default(),
    }
}
