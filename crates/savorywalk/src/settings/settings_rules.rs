//! Rules that no single key can show: what a role needs, what goes together.

use std::net::SocketAddrV4;

use super::{DaemonSettings, ListenerSettings, RoleSet, SettingsError, SettingsProblem};
use crate::gateway::FeatureSwitch;
use crate::prelude::*;
use crate::routing::RoutingPolicy;
use crate::transport::{PeerName, parse_peers};

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

pub(super) fn violations(settings: &DaemonSettings) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    check_node(settings, &mut errors);
    check_listener("callers", settings.callers.as_ref(), &mut errors);
    check_listener("operators", settings.operators.as_ref(), &mut errors);
    check_listener("endpoints", settings.endpoints.as_ref(), &mut errors);
    check_entry(settings, &mut errors);
    check_switches(settings, &mut errors);
    check_control(settings, roles_of(settings), &mut errors);
    check_link(settings, &mut errors);
    check_log(settings, &mut errors);
    errors
}

fn check_node(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
    let Some(node) = &settings.node else {
        errors.push(missing(
            "node",
            "*",
            "add a [node] section with `name` and `data_center`",
        ));
        return;
    };
    let roles = match RoleSet::from_settings(node) {
        Ok(roles) => roles,
        Err(role) => {
            errors.push(bad_value(
                "node",
                "roles",
                &role,
                "use entry, control or both; or gateway or registry",
            ));
            return;
        }
    };
    if roles.entry {
        need_section("callers", settings.callers.is_some(), errors);
        need_section("endpoints", settings.endpoints.is_some(), errors);
    }
    if roles.gateway || roles.registry {
        need_section("cluster", settings.cluster.is_some(), errors);
        check_cluster(settings, roles, errors);
    }
    if roles.entry || roles.control {
        need_section("operators", settings.operators.is_some(), errors);
    }
    let folder = settings
        .control
        .as_ref()
        .map(|control| control.data_folder.as_str());
    if roles.control && folder.unwrap_or_default().is_empty() {
        errors.push(missing(
            "control",
            "data_folder",
            "name a folder on a disk that lasts",
        ));
    }
}

fn check_cluster(settings: &DaemonSettings, roles: RoleSet, errors: &mut Vec<SettingsError>) {
    if roles.gateway {
        need_section("gateway", settings.gateway.is_some(), errors);
    }
    if roles.registry {
        need_section("registry", settings.registry.is_some(), errors);
    }
    let cluster = settings.cluster.iter();
    let gateway = settings.gateway.iter();
    let registry = settings.registry.iter();
    let addresses = cluster
        .map(|cluster| ("cluster", "address", &cluster.address))
        .chain(gateway.clone().flat_map(|gateway| {
            [
                ("gateway", "callers", &gateway.callers),
                ("gateway", "probes", &gateway.probes),
            ]
        }))
        .chain(registry.map(|registry| ("registry", "address", &registry.address)));
    for (section, key, address) in addresses {
        if address.parse::<SocketAddrV4>().is_err() {
            let remedy = "write an IPv4 number and a port, such as 127.0.0.1:8080";
            errors.push(bad_value(section, key, address, remedy));
        }
    }
    let seeds = settings.cluster.iter().flat_map(|cluster| &cluster.seeds);
    for seed in seeds.filter(|seed| seed.parse::<SocketAddrV4>().is_err()) {
        let remedy = "write IP:PORT of registry daemons, separated by commas";
        errors.push(bad_value("cluster", "seeds", seed, remedy));
    }
}

fn need_section(section: &str, there: bool, errors: &mut Vec<SettingsError>) {
    if !there {
        let remedy =
            format!("add a [{section}] section with `address = IP:PORT`; the roles need it");
        errors.push(missing(section, "*", &remedy));
    }
}

fn check_listener(
    section: &str,
    listener: Option<&ListenerSettings>,
    errors: &mut Vec<SettingsError>,
) {
    let Some(listener) = listener else { return };
    let address = &listener.address;
    if !address.is_empty() && address.parse::<SocketAddr>().is_err() {
        let remedy = "write an IP number and a port, such as 127.0.0.1:8080";
        errors.push(bad_value(section, "address", address, remedy));
    }
    if listener.certificate.is_empty() != listener.key.is_empty() {
        errors.push(SettingsError {
            section: section.into(),
            key: "certificate".into(),
            problem: SettingsProblem::Conflict("certificate and key go together".into()),
            remedy: "name both files for TLS, or neither".into(),
        });
    }
}

fn check_entry(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
    let Some(entry) = &settings.entry else { return };
    if RoutingPolicy::from_name(&entry.routing).is_none() {
        let remedy = "use adaptive, round_robin or least_outstanding";
        errors.push(bad_value("entry", "routing", &entry.routing, remedy));
    }
}

fn check_switches(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
    let Some(gateway) = &settings.gateway else {
        return;
    };
    let switches = [
        ("appointments", &gateway.appointments),
        ("workspace_shares", &gateway.workspace_shares),
        ("shard_balance", &gateway.shard_balance),
    ];
    for (key, value) in switches {
        if FeatureSwitch::from_name(value).is_none() {
            let remedy = format!("use {}", FeatureSwitch::NAMES);
            errors.push(bad_value("gateway", key, value, &remedy));
        }
    }
}

fn roles_of(settings: &DaemonSettings) -> RoleSet {
    let roles = settings.node.as_ref().map(RoleSet::from_settings);
    roles.and_then(Result::ok).unwrap_or_default()
}

fn check_control(settings: &DaemonSettings, roles: RoleSet, errors: &mut Vec<SettingsError>) {
    let control = settings.control.clone().unwrap_or_default();
    let name = settings.node.as_ref().map(|node| node.name.as_str());
    match parse_peers(&control.voters) {
        Ok(voters) if roles.control && !voters.contains_key(name.unwrap_or_default()) => {
            let remedy = "name every daemon with the control role, this one included";
            errors.push(missing("control", "voters", remedy));
        }
        Ok(_) => {}
        Err(problem) => {
            let voters = control.voters.join(", ");
            errors.push(bad_value(
                "control",
                "voters",
                &voters,
                &problem.to_string(),
            ));
        }
    }
    let is_joined = roles.control || !control.voters.is_empty();
    if is_joined && settings.link.is_none() {
        let remedy = "add a [link] section; control is reached over links";
        errors.push(missing("link", "*", remedy));
    }
}

fn check_link(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
    let Some(link) = &settings.link else { return };
    let files = [
        ("certificate", &link.certificate),
        ("key", &link.key),
        ("authority", &link.authority),
    ];
    for (key, file) in files {
        if file.is_empty() {
            errors.push(missing(
                "link",
                key,
                "name the file that `savorywalk keys` wrote",
            ));
        }
    }
    if link.address.parse::<SocketAddr>().is_err() {
        let remedy = "write an IP number and a port, such as 127.0.0.1:7113";
        errors.push(bad_value("link", "address", &link.address, remedy));
    }
    if let Err(problem) = parse_peers(&link.seeds) {
        let seeds = link.seeds.join(", ");
        errors.push(bad_value("link", "seeds", &seeds, &problem.to_string()));
    }
    let name = settings.node.as_ref().map(|node| node.name.as_str());
    if let Some(Err(problem)) = name.map(PeerName::new) {
        let name = name.unwrap_or_default();
        errors.push(bad_value("node", "name", name, &problem.to_string()));
    }
}

fn check_log(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
    let Some(log) = &settings.log else { return };
    if !LOG_LEVELS.contains(&log.level.as_str()) {
        let remedy = format!("use one of: {}", LOG_LEVELS.join(", "));
        errors.push(bad_value("log", "level", &log.level, &remedy));
    }
}

fn missing(section: &str, key: &str, remedy: &str) -> SettingsError {
    SettingsError {
        section: section.into(),
        key: key.into(),
        problem: SettingsProblem::Missing,
        remedy: remedy.into(),
    }
}

fn bad_value(section: &str, key: &str, value: &str, remedy: &str) -> SettingsError {
    SettingsError {
        section: section.into(),
        key: key.into(),
        problem: SettingsProblem::BadValue(value.into()),
        remedy: remedy.into(),
    }
}
