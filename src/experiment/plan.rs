//! Checked plan of an experiment; all faults are reported before anything is started.

use {
    super::{
        ComparedSetting, Disruption, DisruptionAction, ExperimentSettings,
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

/// Fields of the load settings that the experiment sets for each trial; a file must not set them.
const RESERVED_LOAD_FIELDS: [&str; 9] = [
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

/// A compared setting or build, merged with the fields common to all of them.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedSetting {
    /// The name of the setting in the report.
    pub name: String,
    /// The directory of the programs to run; those built with `ggt-load` if absent.
    pub programs: Option<PathBuf>,
    /// The fields of the load settings.
    pub load: Map<String, Value>,
    /// The fields of the keepers' settings.
    pub keeper: Map<String, Value>,
    /// The fields of the entries' settings.
    pub entry: Map<String, Value>,
}

/// The checked plan of an experiment.
#[derive(Debug, Clone)]
pub struct ExperimentPlan {
    /// The fields of the experiment file.
    pub settings: ExperimentSettings,
    /// The configuration and processes to deploy.
    pub deployment: ExperimentDeployment,
    /// The scheduled disruptions.
    pub disruptions: Vec<Disruption>,
    /// The settings to compare.
    pub resolved_settings: Vec<ResolvedSetting>,
}

impl ExperimentPlan {
    /// Reads and checks an experiment file and the configuration that it names.
    ///
    /// # Errors
    ///
    /// Returns all faults at once.
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

    /// Checks the fields of an experiment; paths are relative to `base`.
    ///
    /// # Errors
    ///
    /// Returns all faults at once.
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
            let resolved = resolve_setting(&settings, &deployment, setting, base);
            check_setting(index, &resolved, &deployment, &mut faults);
            resolved
        };
        let resolved_settings: Vec<ResolvedSetting> =
            compared.into_iter().enumerate().map(make).collect();
        check_names(&resolved_settings, &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            settings,
            deployment,
            disruptions,
            resolved_settings,
        })
    }
}

fn resolve_setting(
    settings: &ExperimentSettings,
    deployment: &ExperimentDeployment,
    setting: ComparedSetting,
    base: &Path,
) -> ResolvedSetting {
    let merge = |common: &Map<String, Value>, own: Map<String, Value>| {
        let mut merged = common.clone();
        merged.extend(own);
        merged
    };
    let mut load = merge(&settings.load, setting.load);
    load.entry("names")
        .or_insert_with(|| json!(deployment.names()));
    ResolvedSetting {
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
            DisruptionAction::Freeze => true,
            DisruptionAction::Kill | DisruptionAction::Restart => kind != TargetKind::Store,
            DisruptionAction::Cut | DisruptionAction::Slow => kind != TargetKind::System,
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

fn check_setting(
    index: usize,
    resolved: &ResolvedSetting,
    deployment: &ExperimentDeployment,
    faults: &mut Vec<SettingsFault>,
) {
    let mut add = |field: &str, problem: String| {
        let field = format!("settings[{index}].{field}");
        faults.push(SettingsFault { field, problem });
    };
    if resolved.name.is_empty() {
        add("name", "is missing".to_owned());
    }
    if let Some(programs) = &resolved.programs
        && !programs.join("ggt-entry").is_file()
    {
        let problem = format!("there is no ggt-entry in {}", programs.display());
        add("programs", problem);
    }
    let load = check_part::<LoadSettings>(
        "load",
        &resolved.load,
        &RESERVED_LOAD_FIELDS,
        sample_load(),
        &mut add,
    );
    let services = load.iter().flat_map(|load| &load.classes);
    for class in services {
        let is_plain = matches!(class.kind, CallKind::Booking | CallKind::Read);
        let service = class.service.as_deref().unwrap_or_default();
        if is_plain && !deployment.has_service(service) {
            let problem = format!("{}: there is no service \"{service}\"", class.name);
            add("load.classes", problem);
        }
    }
    let sample = sample_settings();
    let reserved: Vec<&str> = sample.keys().map(String::as_str).collect();
    let pick = |fields: &[crate::settings::FieldDoc]| {
        let known = |name: &String| fields.iter().any(|field| field.name == name);
        let picked = sample.iter().filter(|(name, _)| known(name));
        picked
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect()
    };
    let keeper = pick(KeeperSettings::FIELDS);
    check_part::<KeeperSettings>("keeper", &resolved.keeper, &reserved, keeper, &mut add);
    let entry = pick(EntrySettings::FIELDS);
    check_part::<EntrySettings>("entry", &resolved.entry, &reserved, entry, &mut add);
}

/// Checks the settings of one part, completed by a sample of the fields that each trial sets.
fn check_part<S: Settings>(
    part: &str,
    given: &Map<String, Value>,
    reserved: &[&str],
    sample: Map<String, Value>,
    add: &mut impl FnMut(&str, String),
) -> Option<S> {
    for name in given
        .keys()
        .filter(|name| reserved.contains(&name.as_str()))
    {
        add(
            &format!("{part}.{name}"),
            "is set by the experiment".to_owned(),
        );
    }
    let mut merged = given.clone();
    merged.extend(sample);
    match S::from_object(&merged) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                add(&format!("{part}.{}", fault.field), fault.problem);
            }
            None
        }
    }
}

fn check_names(settings: &[ResolvedSetting], faults: &mut Vec<SettingsFault>) {
    for (index, resolved) in settings.iter().enumerate() {
        if settings[..index]
            .iter()
            .any(|other| other.name == resolved.name)
        {
            faults.push(SettingsFault {
                field: format!("settings[{index}].name"),
                problem: format!("\"{}\" is given twice", resolved.name),
            });
        }
    }
}

fn sample_load() -> Map<String, Value> {
    to_map(json!({"entries": ["127.0.0.1:1"], "duration_s": 1.0}))
}

/// Returns the fields of keepers and entries that each trial sets, with valid sample values.
fn sample_settings() -> Map<String, Value> {
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
