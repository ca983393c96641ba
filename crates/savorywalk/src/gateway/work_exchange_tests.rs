use super::*;

#[test]
fn entries_agree_on_who_gathers_and_pools_spread_over_them() {
    let entries: Vec<PeerName> = (1..=6)
        .map(|ip| PeerName::from_ip([10, 0, 0, ip].into()))
        .collect();
    let chosen: BTreeSet<&PeerName> = (0..40)
        .filter_map(|pool| {
            let key = BoardKey {
                pool: format!("pool-{pool}"),
                shard: None,
            };
            entries.iter().max_by_key(|entry| ranking(&key, entry))
        })
        .collect();
    assert!(chosen.len() >= 5, "{chosen:?}");
}
