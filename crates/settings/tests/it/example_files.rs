use std::path::{Path, PathBuf};

use lentil_settings::{EndpointSpec, Role, load_process};

fn example_files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let folders = std::fs::read_dir(root).unwrap();
    let folders = folders.map(|folder| folder.unwrap().path());
    let files = folders
        .filter(|path| path.is_dir())
        .flat_map(|folder| std::fs::read_dir(folder).unwrap());
    files.map(|file| file.unwrap().path()).collect()
}

#[test]
fn all_examples_load() {
    for file in example_files() {
        let loaded = load_process(&file);
        assert!(
            loaded.is_ok(),
            "{}: {}",
            file.display(),
            loaded.unwrap_err()
        );
    }
}

#[test]
fn every_role_has_an_example() {
    let mut roles: Vec<_> = example_files()
        .iter()
        .map(|file| {
            let process = load_process(file).unwrap();
            let role = match process.role {
                Role::Entry(_) => "entry",
                Role::Agent(agent) => match agent.kind {
                    EndpointSpec::Engine { .. } => "engine",
                    EndpointSpec::Service { .. } => "service",
                },
            };
            (process.region.to_string(), role)
        })
        .collect();
    roles.sort();
    let expected = ["ch-west", "kyushu-north"]
        .into_iter()
        .flat_map(|region| ["engine", "entry", "service"].map(|role| (region.to_owned(), role)));
    assert_eq!(roles, expected.collect::<Vec<_>>());
}

#[test]
fn examples_set_keys() {
    for file in example_files() {
        let security = load_process(&file).unwrap().security;
        assert!(security.peer_key.is_some() && security.operator_key.is_some());
        assert!(!security.anonymous_callers);
    }
}
