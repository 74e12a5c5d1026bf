//! Checks the crate layers of the workspace.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

/// Folders in `crates/`, lowest layer first. A crate may depend on crates of its own and lower layers.
const LAYERS: [&str; 7] = [
    "base",
    "state",
    "coordination",
    "protocol",
    "transport",
    "process",
    "tools",
];

fn metadata() -> Value {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let output = Command::new(cargo)
        .args(["metadata", "--no-deps", "--locked", "--format-version", "1"])
        .output()
        .expect("cargo runs");
    serde_json::from_slice(&output.stdout).expect("metadata is JSON")
}

/// Folder of the platform adapter, which belongs to the process layer.
const ADAPTER: &str = "platform";

fn layer_of(folder: &str) -> usize {
    let folder = Path::new(folder);
    let layer = folder
        .parent()
        .and_then(Path::file_name)
        .and_then(|name| name.to_str())
        .expect("crates lie in a layer's folder");
    let own = folder.file_name().and_then(|name| name.to_str());
    let layer = match own {
        Some(ADAPTER) => "process",
        _ if layer == ADAPTER => "tools",
        _ => layer,
    };
    LAYERS
        .iter()
        .position(|name| *name == layer)
        .unwrap_or_else(|| panic!("{layer} is not a layer"))
}

/// Guards against dependencies on a higher layer.
#[test]
fn crates_use_only_their_own_and_lower_layers() {
    let metadata = metadata();
    let packages = metadata["packages"].as_array().expect("packages");
    let mut checked = 0;
    for package in packages {
        let manifest = package["manifest_path"].as_str().expect("manifest path");
        let own = layer_of(manifest.trim_end_matches("/Cargo.toml"));
        for dependency in package["dependencies"].as_array().expect("dependencies") {
            let Some(folder) = dependency["path"].as_str() else {
                continue;
            };
            assert!(
                layer_of(folder) <= own,
                "{} uses {} of a higher layer",
                package["name"],
                dependency["name"]
            );
            checked += 1;
        }
    }
    assert!(checked > 20, "only {checked} dependencies were checked");
}

/// Lists all files in a folder, recursively.
fn list_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("source folder") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            files.extend(list_files(&path));
            continue;
        }
        files.push(path);
    }
    files
}

/// Guards against sockets, threads or clocks in the embeddable crates.
#[test]
fn embeddable_crates_use_no_threads_sockets_or_clocks() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let forbidden = [
        "std::net::Tcp",
        "std::net::Udp",
        "std::thread",
        "Instant",
        "SystemTime",
        "ClockMillis::now",
    ];
    let mut files = 0;
    for layer in ["state", "coordination"] {
        for krate in std::fs::read_dir(root.join(layer)).expect("layer folder") {
            let source = krate.expect("entry").path().join("src");
            for path in list_files(&source) {
                let text = std::fs::read_to_string(&path).expect("source file");
                for word in forbidden {
                    assert!(!text.contains(word), "{} uses {word}", path.display());
                }
                files += 1;
            }
        }
    }
    assert!(files > 10, "only {files} files were checked");
}
