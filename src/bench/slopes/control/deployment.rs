//! A sheet of any size, and the places of its backend servers.

use std::fmt::Write;

use crate::bench::fleet::{Place, Spec};
use crate::sheet::{self, Sheet};
use crate::standin::backend;

const REGIONS: [&str; 3] = ["cechy", "morava", "slezsko"];
const ZONES_PER_REGION: u32 = 2;
const HEADING: &str = "kind,name,region,state,slots,cold_allowance,warm_steps,warm_step_ms,\
                       service,method,path,regions,worth,idempotent,deadline_ms,second_copy";

/// Zones of the deployment.
pub const ZONES: u32 = 6;

/// What runs where, and the rules in force.
#[derive(Clone, Debug)]
pub struct Deployment {
    per_zone: u32,
    routes: u32,
    worth: u32,
    zone_out: bool,
}

impl Deployment {
    /// `nodes` nodes in [`ZONES`] zones, and a sheet with `routes` routes.
    #[must_use]
    pub const fn new(nodes: u32, routes: u32) -> Self {
        Self {
            per_zone: nodes.div_ceil(ZONES),
            routes,
            worth: 1,
            zone_out: false,
        }
    }

    /// One backend server of each service in each zone.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Spec> {
        let mut upstreams = Vec::new();
        for (region, zone) in zones() {
            for service in 0..self.per_zone {
                let place = Place {
                    service: service_name(service),
                    region: region.to_owned(),
                    zone: zone.clone(),
                };
                let backend = backend::Settings::default();
                upstreams.push(Spec { place, backend });
            }
        }
        upstreams
    }

    /// Changes one row.
    pub const fn change(&mut self) {
        self.worth = self.worth % 50 + 1;
    }

    /// Takes the first zone in or out of service.
    pub const fn set_first_zone(&mut self, in_service: bool) {
        self.zone_out = !in_service;
    }

    /// The sheet.
    ///
    /// # Panics
    ///
    /// Panics when the text made here is no sheet.
    #[must_use]
    pub fn sheet(&self) -> Sheet {
        sheet::parse(self.text().as_bytes()).expect("the text is made by the rules of sheets")
    }

    /// Text of the sheet.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("{HEADING}\n");
        for region in REGIONS {
            line(&mut text, format_args!("region,{region},,,,,,,,,,,,,,"));
        }
        for (region, zone) in zones() {
            let out = self.zone_out && zone == first_zone();
            let state = if out { "out" } else { "in" };
            line(
                &mut text,
                format_args!("zone,{zone},{region},{state},,,,,,,,,,,,"),
            );
        }
        for service in 0..self.per_zone {
            let name = service_name(service);
            line(
                &mut text,
                format_args!("service,{name},,,9,2,4,500,,,,,,,,"),
            );
        }
        for route in 0..self.routes {
            let service = service_name(route % self.per_zone);
            let worth = if route == 0 { self.worth } else { 30 };
            line(
                &mut text,
                format_args!(
                    "route,route-{route:04},,,,,,,{service},GET,/path/{route:04},all,{worth},,800,yes"
                ),
            );
        }
        text
    }
}

/// Name of the first zone.
#[must_use]
pub fn first_zone() -> String {
    format!("{}-a", REGIONS[0])
}

fn line(text: &mut String, row: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{row}");
}

fn zones() -> Vec<(&'static str, String)> {
    let letters = ["a", "b"];
    let zones = REGIONS.iter().flat_map(|region| {
        let letters = letters.iter().take(ZONES_PER_REGION as usize);
        letters.map(move |letter| (*region, format!("{region}-{letter}")))
    });
    zones.collect()
}

fn service_name(index: u32) -> String {
    format!("service-{index:02}")
}
