//! Fields of the experiment file.

use {
    super::disruption::Disruption,
    crate::{
        settings::{SettingsChecker, SettingsFault},
        settings_struct,
        standin::{engine::EngineSettings, weights::WeightLimits},
        units::DataCentreName,
    },
    serde::Deserialize,
    serde_json::{Map, Value},
    std::path::PathBuf,
};

/// Maximum number of trials of one experiment.
const TRIALS_MAX: usize = 256;

/// A setting or build to compare, as written in the file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ComparedSetting {
    /// The name of the setting in the report.
    pub name: String,
    /// The directory of the programs to run; those built with `ggt-load` if absent.
    pub programs: Option<PathBuf>,
    /// Fields of the load settings that differ from the common ones.
    pub load: Map<String, Value>,
    /// Fields of the keepers' settings that differ from the common ones.
    pub keeper: Map<String, Value>,
    /// Fields of the entries' settings that differ from the common ones.
    pub entry: Map<String, Value>,
}

settings_struct! {
    /// The file of an experiment.
    pub struct ExperimentSettings check check {
        #[doc = " The directory of the configuration's objects, seen from the file; their addresses are replaced."]
        configuration: PathBuf,
        #[doc = " The data centre of each VM; one VM in each of the configuration when empty."]
        vms: Vec<DataCentreName> = "[]",
        #[doc = " Sizes and speeds of the stand-in engines; memory and fencing are those of the configuration."]
        engine: EngineSettings = "{}",
        #[doc = " Limits of the stand-in weight store."]
        weights: WeightLimits = "{}",
        #[doc = " Settings of `ggt-load`; names are those of the configuration unless given."]
        load: Map<String, Value>,
        #[doc = " Settings of the keepers."]
        keeper: Map<String, Value> = "{}",
        #[doc = " Settings of the entries."]
        entry: Map<String, Value> = "{}",
        #[doc = " Disruptions, each with `at_s`, `target`, `action`, and perhaps `for_s`, `slow_percent` or `slow_ms`."]
        disruptions: Vec<Value> = "[]",
        #[doc = " What is compared, each with `name` and perhaps `programs`, `load`, `keeper`, `entry`."]
        settings: Vec<Value> = "[{\"name\": \"as it is\"}]",
        #[doc = " The seeds; each setting runs with each of them."]
        seeds: Vec<u64> = "[1]",
        #[doc = " How long load is sent in each trial, in seconds."]
        duration_s: f64,
        #[doc = " The longest wait until every name is answered before the load, in seconds."]
        settle_max_s: u64 = "60",
        #[doc = " How often the stand-in engines are asked what they hold, in milliseconds."]
        sample_interval_ms: u64 = "250",
    }
}

fn check(settings: &ExperimentSettings, faults: &mut Vec<SettingsFault>) {
    let mut checker = SettingsChecker::new(faults);
    checker.require_positive("duration_s", settings.duration_s);
    checker.require(!settings.seeds.is_empty(), "seeds", "must name a seed");
    checker.require(
        !settings.settings.is_empty(),
        "settings",
        "must name a setting",
    );
    let trials = settings.seeds.len().saturating_mul(settings.settings.len());
    checker.require(
        trials <= TRIALS_MAX,
        "seeds",
        format!("more than {TRIALS_MAX} trials"),
    );
    checker.require_at_least("sample_interval_ms", settings.sample_interval_ms, 10);
    checker.require_at_least("settle_max_s", settings.settle_max_s, 1);
    read_each::<Disruption>("disruptions", &settings.disruptions, faults);
    read_each::<ComparedSetting>("settings", &settings.settings, faults);
}

/// Deserializes the elements of a list; each invalid element adds a fault with its index.
pub(super) fn read_each<T: for<'de> Deserialize<'de>>(
    field: &str,
    values: &[Value],
    faults: &mut Vec<SettingsFault>,
) -> Vec<T> {
    let mut read = Vec::new();
    for (index, value) in values.iter().enumerate() {
        match T::deserialize(value) {
            Ok(element) => read.push(element),
            Err(cause) => faults.push(SettingsFault {
                field: format!("{field}[{index}]"),
                problem: cause.to_string(),
            }),
        }
    }
    read
}
