use serde_json::json;

use super::*;

#[test]
fn a_difference_turns_one_document_into_the_other_and_back() {
    let old = json!({"pools": {"a": {"kind": "encode"}, "b": {"kind": "rerank"}}, "list": [1, 2]});
    let new = json!({"pools": {"a": {"kind": "generate"}, "c": {}}, "list": [3]});
    for (from, to) in [(&old, &new), (&new, &old)] {
        let mut document = from.clone();
        json_patch::merge(&mut document, &difference(from, to));
        assert_eq!(&document, to);
    }
}

#[test]
fn paths_name_what_a_patch_sets_and_removes() {
    let patch = json!({"workspaces": {"north": {"share": 3}, "south": null}, "limits": {}});
    let paths = paths_of(&patch);
    assert_eq!(
        paths,
        ["limits", "workspaces.north.share", "workspaces.south"]
    );
}

#[test]
fn paths_are_bounded() {
    let workspaces: Map<String, Value> = (0..200)
        .map(|number| (format!("w{number:03}"), Value::Null))
        .collect();
    let paths = paths_of(&json!({ "workspaces": workspaces }));
    assert_eq!(paths.len(), MAX_PATHS + 1);
    assert_eq!(paths[MAX_PATHS], "and 136 more");
}

#[test]
fn a_patch_that_is_no_object_is_refused() {
    for json in ["null", "[]", "3", "{"] {
        assert!(patch_of(json.as_bytes()).is_err(), "{json}");
    }
}
