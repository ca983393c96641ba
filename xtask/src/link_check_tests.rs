use super::*;

#[test]
fn links_are_relative_and_without_fragment() {
    let text =
        "see [a](API.md#calls), [b](https://example.org/x.md), [c](#here) and [d](design/shape.md)";
    assert_eq!(
        links(text).collect::<Vec<_>>(),
        ["API.md", "design/shape.md"]
    );
}

#[test]
fn mentions_are_pages_in_comments() {
    let text =
        "//! See docs/design/shape.md.\nlet path = \"docs/none.md\";\n/// `docs/API.md`, or not";
    let found: Vec<_> = mentions(text).collect();
    assert_eq!(found, ["docs/design/shape.md", "docs/API.md"]);
}

#[test]
fn a_link_that_leads_nowhere_is_a_problem() {
    let folder = tempfile::tempdir().expect("a folder");
    let root = folder.path();
    for name in ["docs", "crates"] {
        fs::create_dir(root.join(name)).expect("a folder");
    }
    fs::write(root.join("README.md"), "[a](docs/a.md) [b](docs/b.md)").expect("a page");
    fs::write(root.join("CHANGELOG.md"), "").expect("a page");
    fs::write(root.join("docs/a.md"), "").expect("a page");
    assert_eq!(
        problems(root).expect("readable"),
        ["README.md: no docs/b.md"]
    );
}
