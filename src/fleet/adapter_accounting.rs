//! Memory accounting for one runner's adapter pool, which the runner's owner holds in its own
//! memory.

use {
    super::{PendingOrder, ReservationError},
    crate::{
        engine::{Action, EngineStatus},
        units::{AdapterName, MemoryMib},
    },
};

/// The contents of a runner's adapter pool, and the orders that may still change them.
#[derive(Debug, Default)]
pub struct AdapterAccounting {
    residents: Vec<AdapterName>,
    /// The sizes that adapters were loaded with, sorted by adapter.
    sizes_mib: Vec<(AdapterName, MemoryMib)>,
    orders: Vec<PendingOrder>,
    /// The memory that loads may still reserve before the owner must reload its record.
    allowance_mib: MemoryMib,
}

impl AdapterAccounting {
    /// Returns the adapters in the pool, sorted by name.
    pub fn residents(&self) -> &[AdapterName] {
        &self.residents
    }

    /// Returns the orders that are not known to be finished.
    pub fn orders(&self) -> &[PendingOrder] {
        &self.orders
    }

    /// Returns the memory of resident adapters and of pending loads.
    pub fn used_mib(&self, size_of: &dyn Fn(&AdapterName) -> MemoryMib) -> MemoryMib {
        let held: MemoryMib = self
            .residents
            .iter()
            .map(|adapter| self.size_mib(adapter, size_of))
            .sum();
        held + self.loading_mib()
    }

    /// Returns the memory reserved by pending loads.
    pub fn loading_mib(&self) -> MemoryMib {
        self.orders.iter().map(load_memory_mib).sum()
    }

    /// Returns the memory that loads may still reserve before the owner must reload its record.
    pub fn allowance_mib(&self) -> MemoryMib {
        self.allowance_mib
    }

    /// Renews the allowance after a reload confirmed the ownership of the record.
    pub fn renew_allowance(&mut self, window_mib: MemoryMib) {
        self.allowance_mib = window_mib.saturating_sub(self.loading_mib());
    }

    /// Reserves memory for an order before the order is sent.
    ///
    /// # Errors
    ///
    /// Fails when the pool has too little free memory, another order for the adapter is pending,
    /// or the adapter is resident for a load or absent for an unload.
    pub fn reserve(
        &mut self,
        pending: PendingOrder,
        free_pool_mib: MemoryMib,
    ) -> Result<(), ReservationError> {
        let Some(adapter) = adapter_of(&pending).cloned() else {
            return Ok(());
        };
        if self
            .orders
            .iter()
            .any(|order| adapter_of(order) == Some(&adapter))
        {
            return Err(ReservationError::OrderPending(adapter.to_string()));
        }
        let resident = self.residents.binary_search(&adapter).is_ok();
        match &pending.order.action {
            Action::LoadAdapter { memory_mib, .. } => {
                self.check_load(&adapter, *memory_mib, resident, free_pool_mib)?;
            }
            _ if !resident => return Err(ReservationError::NotResident(adapter.to_string())),
            _ => {}
        }
        self.orders.push(pending);
        Ok(())
    }

    /// Checks that a load fits, and deducts its memory from the allowance.
    fn check_load(
        &mut self,
        adapter: &AdapterName,
        needed: MemoryMib,
        resident: bool,
        free_pool_mib: MemoryMib,
    ) -> Result<(), ReservationError> {
        if resident {
            return Err(ReservationError::AlreadyResident(adapter.to_string()));
        }
        let free = free_pool_mib.min(self.allowance_mib);
        if needed > free {
            return Err(ReservationError::InsufficientMemory { needed, free });
        }
        self.allowance_mib = self.allowance_mib.saturating_sub(needed);
        self.record_size(adapter.clone(), needed);
        Ok(())
    }

    /// Updates the accounting from an engine status that was requested after every pending order
    /// was sent.
    pub fn reconcile(
        &mut self,
        status: &EngineStatus,
        is_order_done: &dyn Fn(&PendingOrder) -> bool,
    ) {
        let is_finished = |pending: &PendingOrder| {
            pending.order.incarnation < status.incarnation
                || status.finished.contains(&pending.id())
                || is_order_done(pending)
        };
        self.orders.retain(|pending| !is_finished(pending));
        let loading = |adapter: &AdapterName| {
            self.orders.iter().any(|pending| {
                load_memory_mib(pending) > MemoryMib(0) && adapter_of(pending) == Some(adapter)
            })
        };
        self.residents = status
            .adapters
            .iter()
            .filter(|adapter| !loading(adapter))
            .cloned()
            .collect();
        self.residents.sort();
    }

    /// Returns the size of an adapter: the larger of the size that it was loaded with, if known,
    /// and its configured size.
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

    fn record_size(&mut self, adapter: AdapterName, size_mib: MemoryMib) {
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

fn load_memory_mib(pending: &PendingOrder) -> MemoryMib {
    match &pending.order.action {
        Action::LoadAdapter { memory_mib, .. } => *memory_mib,
        _ => MemoryMib::default(),
    }
}
