//! What an experiment does, checked before anything is started.

use {
    super::{
        ComparedSetting, Disruption, Disturbance, ExperimentSettings,
        deployment::{ExperimentDeployment, TargetKind},
        settings::read_each,
    },
    crate::{
        entry::EntrySettings,
        keeper::KeeperSettings,
        load::{CallKind, LoadSettings},
        settings::{Settings, SettingsError, SettingsFault},
    },
    serde_json::{Map, Value, json},
    std::path::{Path, PathBuf},
};

/// Fields of the load that each trial sets.
const LOAD_SET: [&str; 9] = [
    "mode",
    "entries",
    "engine_control_addresses",
    "seed",
    "duration_s",
    "accelerators",
    "direct_address",
    "report_file",
    "plot_file",
];

/// One of the settings or builds that are compared, whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Case {
    /// Its name in the report.
    pub name: String,
    /// The directory of the build's programs.
    pub programs: Option<PathBuf>,
    /// The fields of the load.
    pub load: Map<String, Value>,
    /// The fields of the keepers' settings.
    pub keeper: Map<String, Value>,
    /// The fields of the entries' settings.
    pub entry: Map<String, Value>,
}

/// What an experiment does.
#[derive(Debug, Clone)]
pub struct ExperimentPlan {
    /// The file.
    pub settings: ExperimentSettings,
    /// What is deployed.
    pub deployment: ExperimentDeployment,
    /// The schedule.
    pub disruptions: Vec<Disruption>,
    /// What is compared.
    pub cases: Vec<Case>,
}

impl ExperimentPlan {
    /// Reads and checks the file of an experiment and the configuration that it names.
    ///
    /// # Errors
    ///
    /// Returns every fault at once.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
            path: path.to_owned(),
            cause,
        })?;
        let object = serde_json::from_str(&text).map_err(|cause| SettingsError::NotJson {
            path: path.to_owned(),
            cause: cause.to_string(),
        })?;
        let base = path.parent().unwrap_or(Path::new("."));
        Self::from_object(&object, base).map_err(SettingsError::Faults)
    }

    /// Checks the fields of an experiment; paths are seen from `base`.
    ///
    /// # Errors
    ///
    /// Returns every fault at once.
    pub fn from_object(
        object: &Map<String, Value>,
        base: &Path,
    ) -> Result<Self, Vec<SettingsFault>> {
        let settings = ExperimentSettings::from_object(object)?;
        let mut faults = Vec::new();
        let directory = base.join(&settings.configuration);
        let deployment = ExperimentDeployment::read(&directory, &settings.vms, &mut faults);
        let disruptions = read_each("disruptions", &settings.disruptions, &mut faults);
        let compared = read_each("settings", &settings.settings, &mut faults);
        let Some(deployment) = deployment else {
            return Err(faults);
        };
        check_disruptions(&disruptions, &deployment, &mut faults);
        let make = |(index, setting): (usize, ComparedSetting)| {
            let case = make_case(&settings, &deployment, setting, base);
            check_case(index, &case, &deployment, &mut faults);
            case
        };
        let cases: Vec<Case> = compared.into_iter().enumerate().map(make).collect();
        check_names(&cases, &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            settings,
            deployment,
            disruptions,
            cases,
        })
    }
}

fn make_case(
    settings: &ExperimentSettings,
    deployment: &ExperimentDeployment,
    setting: ComparedSetting,
    base: &Path,
) -> Case {
    let merge = |common: &Map<String, Value>, own: Map<String, Value>| {
        let mut merged = common.clone();
        merged.extend(own);
        merged
    };
    let mut load = merge(&settings.load, setting.load);
    load.entry("names")
        .or_insert_with(|| json!(deployment.names()));
    Case {
        name: setting.name,
        programs: setting.programs.map(|programs| base.join(programs)),
        load,
        keeper: merge(&settings.keeper, setting.keeper),
        entry: merge(&settings.entry, setting.entry),
    }
}

fn check_disruptions(
    disruptions: &[Disruption],
    deployment: &ExperimentDeployment,
    faults: &mut Vec<SettingsFault>,
) {
    for (index, disruption) in disruptions.iter().enumerate() {
        let mut add = |field: &str, problem: String| {
            faults.push(SettingsFault {
                field: format!("disruptions[{index}].{field}"),
                problem,
            });
        };
        for (field, problem) in disruption.find_faults() {
            add(field, problem.to_owned());
        }
        let target = &disruption.target;
        let Some(kind) = deployment.target_kind(target) else {
            add("target", format!("there is no process \"{target}\""));
            continue;
        };
        let allowed = match disruption.action {
            Disturbance::Freeze => true,
            Disturbance::Kill | Disturbance::Restart => kind != TargetKind::Store,
            Disturbance::Cut | Disturbance::Slow => kind != TargetKind::Own,
        };
        if !allowed {
            let problem = match kind {
                TargetKind::Store => "the stand-in store keeps nothing over an end",
                _ => "only stand-ins can be cut or slowed",
            };
            add("action", problem.to_owned());
        }
        let field = match kind {
            TargetKind::Runner => disruption.slow_ms.map(|_| "slow_ms"),
            _ => disruption.slow_percent.map(|_| "slow_percent"),
        };
        if let Some(field) = field {
            let problem = "runners are slowed by slow_percent, other stand-ins by slow_ms";
            add(field, problem.to_owned());
        }
    }
}

fn check_case(
    index: usize,
    case: &Case,
    deployment: &ExperimentDeployment,
    faults: &mut Vec<SettingsFault>,
) {
    let mut add = |field: &str, problem: String| {
        let field = format!("settings[{index}].{field}");
        faults.push(SettingsFault { field, problem });
    };
    if case.name.is_empty() {
        add("name", "is missing".to_owned());
    }
    if let Some(programs) = &case.programs
        && !programs.join("ggt-entry").is_file()
    {
        let problem = format!("there is no ggt-entry in {}", programs.display());
        add("programs", problem);
    }
    let load = check_part::<LoadSettings>("load", &case.load, &LOAD_SET, load_sample(), &mut add);
    let services = load.iter().flat_map(|load| &load.classes);
    for class in services {
        let is_plain = matches!(class.kind, CallKind::Booking | CallKind::Read);
        let service = class.service.as_deref().unwrap_or_default();
        if is_plain && !deployment.has_service(service) {
            let problem = format!("{}: there is no service \"{service}\"", class.name);
            add("load.classes", problem);
        }
    }
    let own = own_sample();
    let set: Vec<&str> = own.keys().map(String::as_str).collect();
    let pick = |fields: &[crate::settings::FieldDoc]| {
        let known = |name: &String| fields.iter().any(|field| field.name == name);
        let sample = own.iter().filter(|(name, _)| known(name));
        sample
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect()
    };
    let keeper = pick(KeeperSettings::FIELDS);
    check_part::<KeeperSettings>("keeper", &case.keeper, &set, keeper, &mut add);
    let entry = pick(EntrySettings::FIELDS);
    check_part::<EntrySettings>("entry", &case.entry, &set, entry, &mut add);
}

/// Checks the fields of one part together with those that a trial sets.
fn check_part<S: Settings>(
    part: &str,
    given: &Map<String, Value>,
    set: &[&str],
    sample: Map<String, Value>,
    add: &mut impl FnMut(&str, String),
) -> Option<S> {
    for name in given.keys().filter(|name| set.contains(&name.as_str())) {
        add(
            &format!("{part}.{name}"),
            "is set by the experiment".to_owned(),
        );
    }
    let mut whole = given.clone();
    whole.extend(sample);
    match S::from_object(&whole) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                add(&format!("{part}.{}", fault.field), fault.problem);
            }
            None
        }
    }
}

fn check_names(cases: &[Case], faults: &mut Vec<SettingsFault>) {
    for (index, case) in cases.iter().enumerate() {
        if cases[..index].iter().any(|other| other.name == case.name) {
            faults.push(SettingsFault {
                field: format!("settings[{index}].name"),
                problem: format!("\"{}\" is given twice", case.name),
            });
        }
    }
}

fn load_sample() -> Map<String, Value> {
    to_map(json!({"entries": ["127.0.0.1:1"], "duration_s": 1.0}))
}

/// Returns the fields of keepers and entries that each trial sets, with values that pass.
fn own_sample() -> Map<String, Value> {
    let address = "127.0.0.1:1";
    let key = "0123456789abcdef";
    to_map(json!({
        "vm": "vm-1", "data_centre": "dc", "peer_address": address, "operator_address": address,
        "operations_address": address, "entry_peer_address": address, "callers_address": address,
        "keeper_address": address, "store_addresses": [address], "vm_list_address": address,
        "seed_addresses": [], "peer_key": key, "operator_key": key,
    }))
}

fn to_map(value: Value) -> Map<String, Value> {
    match value {
        Value::Object(map) => map,
        _ => Map::new(),
    }
}
