use super::*;

const SOURCE: &str = "
#[test]
fn plain() {}

#[rstest]
#[case(1)]
#[tokio::test]
async fn table(#[case] number: u32) {}

fn helper() {}
";

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn functions_with_a_test_attribute_are_tests() {
    assert_eq!(
        test_functions(SOURCE).collect::<Vec<_>>(),
        ["plain", "table"]
    );
}

#[test]
fn modules_are_named_after_what_they_test() {
    let unit = Path::new("savorywalk/src/routing/retry_budget_tests.rs");
    assert_eq!(module(unit), "savorywalk::routing::retry_budget");
    assert_eq!(
        module(Path::new("daemon/tests/metrics.rs")),
        "daemon::metrics"
    );
}

#[test]
fn a_cell_names_a_test_or_says_why_not() {
    let page = "
| fault | sent | done |
| --- | --- | --- |
| slow | `a::b::c` | open |
| cut | cannot happen: nothing was sent | `a::b::c`, `a::b::d` |
";
    let summary = check(page, &names(&["a::b::c", "a::b::d"]));
    assert_eq!(summary.problems, Vec::<String>::new());
    assert_eq!(
        (summary.tested, summary.impossible, summary.open),
        (2, 1, 1)
    );
}

#[test]
fn a_cell_that_proves_nothing_is_a_problem() {
    let page = "
| fault | sent | done | answered |
| --- | --- | --- | --- |
| slow | `a::gone` | fine | cannot happen: |
";
    let problems = check(page, &names(&["a::b"])).problems;
    assert_eq!(problems.len(), 3, "{problems:?}");
    assert_eq!(problems[0], "line 4: no test a::gone");
}
