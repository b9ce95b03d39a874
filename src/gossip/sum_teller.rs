//! What of a sum is told: all at times, otherwise what changed.

use {
    crate::dispatch::{LoadSum, PromptDetail, RunnerHash},
    std::cmp::Ordering,
};

/// The rounds in which the end of a load is told.
const END_ROUNDS: u8 = 3;

#[derive(Debug)]
struct Told {
    runner: RunnerHash,
    load: LoadSum,
    /// The rounds in which its end is still to be told.
    end_rounds: u8,
}

/// What was told last, sorted by runner.
#[derive(Debug, Default)]
pub struct SumTeller(Vec<Told>);

impl SumTeller {
    /// Returns what is to be told of loads that are sorted by runner.
    pub fn changes(
        &mut self,
        loads: &[(RunnerHash, LoadSum)],
        full: bool,
        detail: PromptDetail,
    ) -> Vec<(RunnerHash, LoadSum)> {
        let told = std::mem::take(&mut self.0);
        let mut told = told.into_iter().peekable();
        let mut changes = Vec::new();
        for &(runner, load) in loads {
            while let Some(gone) = told.next_if(|told| told.runner < runner) {
                self.end(gone, &mut changes);
            }
            let known = told.next_if(|told| told.runner.cmp(&runner) == Ordering::Equal);
            let known = known.map(|told| told.load);
            let due = full || known.is_none_or(|known| load.differs_significantly(known, detail));
            if due {
                changes.push((runner, load));
            }
            self.0.push(Told {
                runner,
                load: known.filter(|_| !due).unwrap_or(load),
                end_rounds: END_ROUNDS,
            });
        }
        for gone in told {
            self.end(gone, &mut changes);
        }
        changes
    }

    fn end(&mut self, mut gone: Told, changes: &mut Vec<(RunnerHash, LoadSum)>) {
        gone.load = LoadSum::default();
        changes.push((gone.runner, gone.load));
        gone.end_rounds -= 1;
        if gone.end_rounds > 0 {
            self.0.push(gone);
        }
    }
}

/// Adds up loads by runner.
pub fn add_up(
    loads: impl IntoIterator<Item = (RunnerHash, LoadSum)>,
) -> Vec<(RunnerHash, LoadSum)> {
    let mut all: Vec<_> = loads.into_iter().collect();
    all.sort_unstable_by_key(|(runner, _)| *runner);
    all.dedup_by(|next, kept| {
        let same = next.0 == kept.0;
        if same {
            kept.1 = kept.1.plus(next.1);
        }
        same
    });
    all.retain(|(_, load)| load.has_requests());
    all
}
