//! Kinds of requests that drive every route of a plan.

use std::time::Duration;

use http::Method;

use crate::bench::fleet::{Place, Spec};
use crate::plan::{Plan, Regions, Route, key};
use crate::standin::backend;
use crate::standin::caller::Kind;

/// How long a caller waits beyond the deadline of a route.
const PATIENCE: Duration = Duration::from_secs(2);
const REQUEST_BYTES_PER_DEADLINE_MS: usize = 20;
const ANSWER_BYTES_PER_DEADLINE_MS: usize = 10;

/// One upstream of each service in each availability zone.
#[must_use]
pub fn upstreams(plan: &Plan, seed: u64) -> Vec<Spec> {
    let services = plan.services.iter();
    let pairs = services.flat_map(|service| plan.zones.iter().map(move |zone| (service, zone)));
    pairs
        .zip(seed..)
        .map(|((service, zone), seed)| {
            let place = Place {
                service: service.name.clone(),
                region: plan.region(zone.region).name.clone(),
                zone: zone.name.clone(),
            };
            let backend = backend::Settings {
                region: place.region.clone(),
                slots: service.slots,
                cold_allowance: service.cold.allowance,
                seed,
                ..backend::Settings::default()
            };
            Spec { place, backend }
        })
        .collect()
}

/// Requests of every route, without a tenant and for each tenant that may use
/// it somewhere.
#[must_use]
pub fn kinds(plan: &Plan) -> Vec<Kind> {
    let tenants = (0..plan.tenants.len()).filter_map(|index| u16::try_from(index).ok());
    let tenants: Vec<_> = std::iter::once(None)
        .chain(tenants.map(|index| Some(key::Tenant(index))))
        .collect();
    let mut kinds = Vec::new();
    for (index, route) in plan.routes.iter().enumerate() {
        let Ok(index) = u16::try_from(index) else {
            continue;
        };
        for tenant in &tenants {
            let home = plan.home_regions(key::Route(index), *tenant);
            if !home.is_empty() {
                kinds.extend(methods(route).map(|method| kind(plan, route, *tenant, home, method)));
            }
        }
    }
    kinds
}

fn methods(route: &Route) -> impl Iterator<Item = Method> {
    let any = [Method::GET, Method::POST];
    let own = route.method.clone();
    let own = own.map_or_else(|| any.to_vec(), |method| vec![method]);
    own.into_iter()
}

fn kind(
    plan: &Plan,
    route: &Route,
    tenant: Option<key::Tenant>,
    home: Regions,
    method: Method,
) -> Kind {
    let deadline_ms = usize::try_from(route.deadline.as_millis()).unwrap_or_default();
    let reads = method.is_safe();
    Kind {
        route: format!("{} {}", plan.service(route.service).name, route.name),
        service: plan.service(route.service).name.clone(),
        tenant: tenant.map(|tenant| plan.tenant(tenant).name.clone()),
        path: format!("{}/1", route.path.trim_end_matches('/')),
        idempotent: route.is_idempotent(&method),
        keyed: false,
        home: names(plan, home),
        request_bytes: if reads {
            0
        } else {
            deadline_ms * REQUEST_BYTES_PER_DEADLINE_MS
        },
        answer_bytes: if reads {
            deadline_ms * ANSWER_BYTES_PER_DEADLINE_MS
        } else {
            0
        },
        patience: route.deadline + PATIENCE,
        method,
    }
}

fn names(plan: &Plan, home: Regions) -> Vec<String> {
    let regions = plan.regions.iter().enumerate();
    regions
        .filter(|(index, _)| u16::try_from(*index).is_ok_and(|i| home.contains(key::Region(i))))
        .map(|(_, region)| region.name.clone())
        .collect()
}
