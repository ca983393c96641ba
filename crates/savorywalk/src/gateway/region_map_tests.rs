use super::*;

fn parse(entries: &[&str]) -> Result<RegionMap> {
    let entries: Vec<String> = entries.iter().map(|entry| entry.to_string()).collect();
    RegionMap::parse(&entries)
}

#[test]
fn regions_name_their_data_centres() {
    let map = parse(&["a:north", "b:south", "c:north"]).unwrap();
    let north = BTreeSet::from(["north".to_string()]);
    let names = map.data_centers_of(&north);
    assert_eq!(names, BTreeSet::from(["a".to_string(), "c".to_string()]));
    assert_eq!(map.data_centers().count(), 3);
    assert!(map.data_centers_of(&BTreeSet::new()).is_empty());
}

#[test]
fn an_entry_without_a_region_is_refused_with_the_remedy() {
    for entry in ["a", "a:", ":north"] {
        let error = parse(&[entry]).unwrap_err();
        assert!(error.to_string().contains("NAME:REGION"), "{error}");
    }
}
