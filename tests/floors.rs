//! The slices of the library form floors: none uses one that uses it, directly
//! or through others. docs/ARCHITECTURE.md lists what each may use.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Slices by name, each with those that it uses.
type Uses = BTreeMap<String, BTreeSet<String>>;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");

fn slices() -> BTreeSet<String> {
    let entries = fs::read_dir(ROOT).expect("the sources");
    let names = entries.map(|entry| {
        let name = entry.expect("an entry").file_name();
        let name = name.to_string_lossy().into_owned();
        name.trim_end_matches(".rs").to_owned()
    });
    names
        .filter(|name| name != "lib" && name != "bin")
        .collect()
}

/// Names that follow `crate::` in `text`, also within braces.
fn named(text: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for part in text.split("crate::").skip(1) {
        let group = part
            .strip_prefix('{')
            .and_then(|part| part.split('}').next());
        let paths: Vec<&str> = group.map_or_else(|| vec![part], |group| group.split(',').collect());
        let is_name = |character: char| character.is_ascii_lowercase() || character == '_';
        names.extend(paths.into_iter().map(|path| {
            let path = path.trim_start();
            let end = path.find(|character| !is_name(character));
            path[..end.unwrap_or(path.len())].to_owned()
        }));
    }
    names
}

/// Tests may use what they like.
fn is_test(path: &Path) -> bool {
    let name = path.file_stem().unwrap_or_default();
    name == "tests"
}

fn add(path: &Path, found: &mut BTreeSet<String>) {
    if is_test(path) {
        return;
    }
    if path.is_dir() {
        for entry in fs::read_dir(path).expect("a directory") {
            add(&entry.expect("an entry").path(), found);
        }
    } else if path.is_file() && path.extension().is_some_and(|extension| extension == "rs") {
        found.extend(named(&fs::read_to_string(path).expect("text")));
    }
}

fn uses() -> Uses {
    let slices = slices();
    let one = |slice: &String| {
        let mut found = BTreeSet::new();
        let path = Path::new(ROOT).join(slice);
        add(&path, &mut found);
        add(&path.with_extension("rs"), &mut found);
        found.retain(|name| name != slice && slices.contains(name));
        (slice.clone(), found)
    };
    slices.iter().map(one).collect()
}

/// Slices that are left when those that use none of the others are taken away,
/// again and again.
fn circles(mut uses: Uses) -> Uses {
    loop {
        let floor: BTreeSet<String> = uses
            .iter()
            .filter(|(_, used)| used.is_empty())
            .map(|(slice, _)| slice.clone())
            .collect();
        if floor.is_empty() {
            return uses;
        }
        uses.retain(|slice, _| !floor.contains(slice));
        for used in uses.values_mut() {
            used.retain(|name| !floor.contains(name));
        }
    }
}

#[test]
fn no_slice_uses_one_that_uses_it() {
    let circles = circles(uses());
    assert!(circles.is_empty(), "untie {circles:#?}");
}

#[test]
fn circle_is_found() {
    let uses = [("a", "b"), ("b", "c"), ("c", "a"), ("d", "a")];
    let uses = uses.map(|(one, other)| (one.to_owned(), [other.to_owned()].into()));
    let left = circles(uses.into());
    assert_eq!(left.len(), 4);
}

#[test]
fn grouped_names_are_read() {
    let names = named("use crate::{Error, plan::key}; use crate::gate::Load;");
    assert!(
        names.contains("plan") && names.contains("gate"),
        "{names:?}"
    );
}
