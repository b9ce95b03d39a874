//! Schedule of the requests of a load run, determined by the seed.

use {
    super::{CallKind, ClassSpec, LoadSettings, Popularity},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// A scheduled request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The scheduled time after the start of the run.
    pub at: Duration,
    /// The index of the class of requests.
    pub class: usize,
    /// The kind of call.
    pub kind: CallKind,
    /// The name of the model or adapter.
    pub name: String,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub tokens: u32,
}

/// Generates requests and their times from a seed.
#[derive(Debug)]
pub struct Schedule<'a> {
    settings: &'a LoadSettings,
    random: SmallRng,
    names: Popularity,
    classes: Popularity,
    now_s: f64,
    in_burst: bool,
    phase_ends_s: f64,
}

impl<'a> Schedule<'a> {
    /// Creates the schedule for the settings of a load.
    pub fn new(settings: &'a LoadSettings) -> Self {
        let shares = settings.classes.iter().map(|class| class.share);
        let mut schedule = Self {
            settings,
            random: SmallRng::seed_from_u64(settings.seed),
            names: Popularity::new(settings.names.len(), settings.zipf_exponent),
            classes: Popularity::weighted(shares),
            now_s: 0.0,
            in_burst: false,
            phase_ends_s: 0.0,
        };
        schedule.phase_ends_s = schedule.exponential(1.0 / settings.burst_gap_s);
        schedule
    }

    /// Draws the next request, scheduled at the current time of the schedule.
    pub fn draw(&mut self) -> Arrival {
        let class = self.classes.draw(&mut self.random);
        let spec = &self.settings.classes[class];
        let rank = self.names.draw(&mut self.random);
        let moved = rank + self.ranks_moved();
        let name = &self.settings.names[moved % self.settings.names.len()];
        let prompt = self.prompt(name);
        Arrival {
            at: Duration::from_secs_f64(self.now_s),
            class,
            kind: spec.kind,
            name: name.clone(),
            prompt,
            tokens: self.tokens(spec),
        }
    }

    /// Advances to the time of the next request, switching between bursts and the gaps between them.
    fn advance(&mut self) {
        loop {
            let rate = self.rate_per_s();
            let next_s = self.now_s + self.exponential(rate);
            if next_s <= self.phase_ends_s {
                self.now_s = next_s;
                return;
            }
            self.now_s = self.phase_ends_s;
            self.in_burst = !self.in_burst;
            let mean_s = match self.in_burst {
                true => self.settings.burst_s,
                false => self.settings.burst_gap_s,
            };
            self.phase_ends_s += self.exponential(1.0 / mean_s);
        }
    }

    fn rate_per_s(&self) -> f64 {
        let passed = self
            .settings
            .shifts
            .iter()
            .filter(|shift| shift.at_s <= self.now_s);
        let shifted: f64 = passed.map(|shift| shift.rate_factor).product();
        let burst = if self.in_burst {
            self.settings.burst_factor
        } else {
            1.0
        };
        self.settings.rate_per_s * shifted * burst
    }

    fn ranks_moved(&self) -> usize {
        let passed = self
            .settings
            .shifts
            .iter()
            .filter(|shift| shift.at_s <= self.now_s);
        passed.map(|shift| shift.ranks_moved).sum()
    }

    fn prompt(&mut self, name: &str) -> String {
        let prefix = self.random.random_range(0..self.settings.prefixes.max(1));
        let mut prompt = format!("{name} prefix {prefix} ");
        let shared = prompt.clone();
        while prompt.len() < self.settings.prefix_bytes {
            prompt += &shared;
        }
        prompt.truncate(self.settings.prefix_bytes);
        let letters = (0..self.settings.suffix_bytes)
            .map(|_| char::from(self.random.random_range(b'a'..=b'z')));
        prompt.extend(letters);
        prompt
    }

    fn tokens(&mut self, spec: &ClassSpec) -> u32 {
        self.random.random_range(spec.tokens_min..=spec.tokens_max)
    }

    fn exponential(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -(1.0 - uniform).ln() / rate
    }
}

impl Iterator for Schedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.advance();
        (self.now_s < self.settings.duration_s).then(|| self.draw())
    }
}
