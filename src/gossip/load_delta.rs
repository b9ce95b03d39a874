//! Selects the loads to send in a round: all of them in a full round, otherwise the changed ones.

use {
    crate::dispatch::{LoadSum, PromptDetail, RunnerHash},
    std::cmp::Ordering,
};

/// The number of rounds that repeat the end of a load, since datagrams get lost.
const END_ROUNDS: u8 = 3;

/// A load as it was last sent.
#[derive(Debug)]
struct SentLoad {
    runner: RunnerHash,
    load: LoadSum,
    /// The number of rounds in which the end of the load is still to be sent.
    end_rounds: u8,
}

/// The loads that were sent last, sorted by runner.
#[derive(Debug, Default)]
pub struct LoadDelta(Vec<SentLoad>);

impl LoadDelta {
    /// Returns the loads to send in a round, from the present loads sorted by runner.
    pub fn changes(
        &mut self,
        loads: &[(RunnerHash, LoadSum)],
        full: bool,
        detail: PromptDetail,
    ) -> Vec<(RunnerHash, LoadSum)> {
        let sent = std::mem::take(&mut self.0);
        let mut sent = sent.into_iter().peekable();
        let mut changes = Vec::new();
        for &(runner, load) in loads {
            while let Some(gone) = sent.next_if(|sent| sent.runner < runner) {
                self.end(gone, &mut changes);
            }
            let known = sent.next_if(|sent| sent.runner.cmp(&runner) == Ordering::Equal);
            let known = known.map(|sent| sent.load);
            let due = full || known.is_none_or(|known| load.differs_significantly(known, detail));
            if due {
                changes.push((runner, load));
            }
            self.0.push(SentLoad {
                runner,
                load: known.filter(|_| !due).unwrap_or(load),
                end_rounds: END_ROUNDS,
            });
        }
        for gone in sent {
            self.end(gone, &mut changes);
        }
        changes
    }

    fn end(&mut self, mut gone: SentLoad, changes: &mut Vec<(RunnerHash, LoadSum)>) {
        gone.load = LoadSum::default();
        changes.push((gone.runner, gone.load));
        gone.end_rounds -= 1;
        if gone.end_rounds > 0 {
            self.0.push(gone);
        }
    }
}

/// Returns the sums of loads by runner, sorted, without empty ones.
pub fn sum_by_runner(
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
