//! Configs of the operator.

/// One rule of the host.
pub struct Rule {
    pub name: &'static str,
    pub kind: &'static str,
    pub slo_s: f64,
    pub prefix: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    /// Regions outside which its requests may not be served; none for everywhere.
    pub homes: &'static [&'static str],
}

/// Host of every rule.
pub const HOST: &str = "ficu95.example";

/// A config with these rules and services.
pub fn text(version: u32, rules: &[Rule], services: &[&str]) -> String {
    let rules: Vec<String> = rules.iter().map(rule_text).collect();
    let clusters: Vec<String> = services.iter().map(|name| cluster_text(name)).collect();
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},
"listeners":[{{"host":"{HOST}","rules":[{}]}}],"clusters":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

fn rule_text(rule: &Rule) -> String {
    let Rule {
        name,
        kind,
        slo_s,
        prefix,
        service,
        timeout_s,
        homes,
    } = rule;
    let homes: Vec<String> = homes.iter().map(|home| format!("\"{home}\"")).collect();
    let homes = homes.join(",");
    format!(
        r#"{{"name":"{name}","kind":"{kind}","slo_s":{slo_s},"priority":1,"match":{{"prefix":"{prefix}"}},
"action":{{"service":"{service}","timeout_s":{timeout_s},"attempts":2,"home_regions":[{homes}]}}}}"#
    )
}

fn cluster_text(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/healthz","max_conns":220,"proto":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":26.0}}"#
    )
}
