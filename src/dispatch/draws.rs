//! The random draws of dispatch, which a test can repeat.

use {
    rand::{Rng, RngExt, SeedableRng, rngs::SmallRng},
    std::cell::RefCell,
};

thread_local! {
    static DRAWS: RefCell<SmallRng> = RefCell::new(SmallRng::seed_from_u64(rand::rng().random()));
}

/// Makes the draws of this thread the same in each run.
pub fn seed_draws(seed: u64) {
    DRAWS.set(SmallRng::seed_from_u64(seed));
}

/// Returns a generator with draws of its own.
pub(super) fn draws() -> impl Rng {
    let seed = DRAWS.with_borrow_mut(|draws| draws.random());
    SmallRng::seed_from_u64(seed)
}
