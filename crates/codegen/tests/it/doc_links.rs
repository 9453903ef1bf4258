//! Checks that every relative link in the docs points to an existing file and
//! heading.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Least number of pages that the search must find. With fewer, it searched the
/// wrong directory.
const PAGES_MIN: usize = 15;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_pages(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_pages(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

fn markdown_pages() -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = ["README.md", "CHANGELOG.md", "CONTRIBUTING.md"]
        .map(|name| workspace_root().join(name))
        .into();
    collect_pages(&workspace_root().join("docs"), &mut pages);
    pages.sort();
    pages
}

/// Removes fenced blocks and code spans, in which brackets are not links.
fn strip_code(text: &str) -> String {
    let mut fenced = false;
    let mut prose = String::new();
    for line in text.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
        } else if !fenced {
            prose.extend(line.split('`').step_by(2));
            prose.push('\n');
        }
    }
    prose
}

fn link_targets(text: &str) -> Vec<String> {
    strip_code(text)
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target.trim().to_owned())
        .collect()
}

fn anchor(heading: &str) -> String {
    heading
        .trim()
        .to_lowercase()
        .chars()
        .filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'))
        .map(|c| if c == ' ' { '-' } else { c })
        .collect()
}

fn anchors(text: &str) -> BTreeSet<String> {
    text.lines()
        .filter(|line| line.starts_with('#'))
        .map(|line| anchor(line.trim_start_matches('#')))
        .collect()
}

/// Returns a description of a broken link, or `None` if the link resolves.
fn broken_link(page: &Path, target: &str) -> Option<String> {
    if target.contains("://") || target.starts_with("mailto:") {
        return None;
    }
    let (path, heading) = target.split_once('#').unwrap_or((target, ""));
    let file = match path {
        "" => page.to_owned(),
        path => page.parent().unwrap().join(path),
    };
    if !file.exists() {
        return Some(format!("{}: no file {target}", page.display()));
    }
    let known =
        heading.is_empty() || anchors(&fs::read_to_string(&file).unwrap()).contains(heading);
    (!known).then(|| format!("{}: no heading {target}", page.display()))
}

fn broken_links(pages: &[PathBuf]) -> Vec<String> {
    pages
        .iter()
        .flat_map(|page| {
            link_targets(&fs::read_to_string(page).unwrap())
                .into_iter()
                .filter_map(|target| broken_link(page, &target))
                .collect::<Vec<_>>()
        })
        .collect()
}

#[test]
fn links_resolve() {
    let pages = markdown_pages();
    assert!(pages.len() >= PAGES_MIN, "only {} pages", pages.len());
    assert_eq!(broken_links(&pages), Vec::<String>::new());
}

#[test]
fn broken_links_are_reported() {
    let page = workspace_root().join("README.md");
    let targets =
        link_targets("see [a](docs/none.md), [b](README.md#none) and `[c](x)`\n```\n[d](y)\n```");
    assert_eq!(targets, ["docs/none.md", "README.md#none"]);
    assert!(
        targets
            .iter()
            .all(|target| broken_link(&page, target).is_some())
    );
}
