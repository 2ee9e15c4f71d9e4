//! From a sheet to the plan that nodes look things up in.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plan::{self, Plan, Regions, Version, key};

use super::Sheet;
use super::row::{Home, Key, Row};

/// Compiles `sheet`. Rows that a parsed sheet cannot hold are left out.
pub(super) fn plan(sheet: &Sheet, version: Version) -> Plan {
    let mut plan = Plan {
        version,
        ..Plan::default()
    };
    for (key, row) in sheet.rows() {
        add(&mut plan, key, row);
    }
    sort_routes(&mut plan);
    plan
}

/// Rows come in the order of their kinds, so what a row names is there.
fn add(plan: &mut Plan, key: &Key, row: &Row) {
    let name = key.name.clone();
    match row {
        Row::Region => {
            let region = key::Region(position(plan.regions.len()));
            plan.region_names.insert(name.clone(), region);
            plan.regions.push(plan::Region { name });
        }
        Row::Zone(zone) => {
            let Some(&region) = plan.region_names.get(&zone.region) else {
                return;
            };
            let zone_key = key::Zone(position(plan.zones.len()));
            plan.zone_names.insert(name.clone(), zone_key);
            plan.zones.push(plan::Zone {
                name,
                region,
                in_service: zone.in_service,
            });
        }
        Row::Service(service) => {
            let service_key = key::Service(position(plan.services.len()));
            plan.service_names.insert(name.clone(), service_key);
            plan.services.push(plan::Service {
                name,
                slots: service.slots,
                cold: plan::Cold {
                    allowance: service.cold_allowance,
                    steps: service.warm_steps,
                    step_time: millis(service.warm_step_ms),
                },
                routes: Vec::new(),
                upkeep: plan::Upkeep::default(),
            });
        }
        Row::Tenant(tenant) => {
            let regions = regions(&plan.region_names, &tenant.home);
            let tenant_key = key::Tenant(position(plan.tenants.len()));
            plan.tenant_names.insert(name.clone(), tenant_key);
            plan.tenants.push(plan::Tenant {
                name,
                regions,
                ..plan::Tenant::default()
            });
        }
        Row::Route(route) => {
            let Some(&service) = plan.service_names.get(&key.service) else {
                return;
            };
            let route_key = key::Route(position(plan.routes.len()));
            plan.services[service.index()].routes.push(route_key);
            plan.routes.push(plan::Route {
                name,
                service,
                method: route.method.map(Into::into),
                path: route.path.clone(),
                regions: regions(&plan.region_names, &route.home),
                worth: route.worth,
                idempotent: route.idempotent,
                deadline: millis(route.deadline_ms),
                second_copy: route.second_copy,
                terms: plan::Terms {
                    attempts: route.attempts,
                    objective: route.objective_ms.map(millis),
                    ..plan::Terms::default()
                },
            });
        }
    }
}

/// Longest path first; of the same path, the route with a method first.
fn sort_routes(plan: &mut Plan) {
    let routes = &plan.routes;
    for service in &mut plan.services {
        service.routes.sort_by_key(|key| {
            let route = &routes[key.index()];
            (std::cmp::Reverse(route.path.len()), route.method.is_none())
        });
    }
}

fn position(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

/// A region that is not known adds nothing, so a call is never allowed more
/// regions than its row names.
fn regions(names: &BTreeMap<String, key::Region>, home: &Home) -> Regions {
    let mut regions = Regions::NONE;
    match home {
        Home::All => return Regions::ALL,
        Home::Named(home) => {
            for region in home.iter().filter_map(|name| names.get(name)) {
                regions.insert(*region);
            }
        }
    }
    regions
}
