//! The module stays in files that are short enough to read.

use std::path::Path;

#[test]
fn the_module_keeps_its_size_and_width() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/scheduler");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("the module's folder") {
        let path = entry.expect("a file of the module").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= 260, "{lines} lines that are not blank in {}", path.display());
        files += 1;
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= 110, "a line of {widest} columns in {}", path.display());
    }
    assert!(files > 1, "the module is not where it was");
}

#[test]
fn the_deploy_file_names_every_file_of_the_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    for entry in std::fs::read_dir(root.join("src/scheduler")).expect("the module's folder") {
        let name = entry.expect("a file of the module").file_name();
        let named = format!("\"src/scheduler/{}\"", name.to_str().expect("a plain name"));
        assert!(deploy.contains(&named), "no {named} in the deploy file");
    }
}
