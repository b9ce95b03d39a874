//! Prints `docs/settings.md` from the settings themselves.

use greengagetrail::{
    entry::EntrySettings, experiment::ExperimentSettings, keeper::KeeperSettings,
    load::LoadSettings, settings::markdown_table, standin::StandinSettings,
};

fn main() {
    println!("# Settings\n");
    println!(
        "Each process reads one JSON file: `--settings FILE`. A field can be overridden by an"
    );
    println!(
        "argument of its name with dashes, such as `--log-level debug`. `--check` only checks;"
    );
    println!("all faults are told at once and the exit code is 2.\n");
    println!("This page is made by `cargo run --example settings_page > docs/settings.md`.\n");
    println!("## ggt-entry\n\n{}", markdown_table::<EntrySettings>());
    println!("## ggt-keeper\n\n{}", markdown_table::<KeeperSettings>());
    println!("## ggt-standin\n\n{}", markdown_table::<StandinSettings>());
    println!("## ggt-load\n\n{}", markdown_table::<LoadSettings>());
    println!("## ggt-load experiment FILE\n");
    println!("The file is the argument; `--report DIR` says where the report goes.\n");
    print!("{}", markdown_table::<ExperimentSettings>());
}
