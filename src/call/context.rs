//! What a call carries through every hop.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::headers;
use crate::plan::{KeyDigest, Plan, Regions};

use super::Reason;

/// Nodes that a call and the calls it was made for may enter.
pub const MAX_HOPS: u32 = 10;

/// Limits that came with a request and hold for all it causes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Context {
    /// Nodes entered, this one included.
    pub hops: u32,
    /// Time left as the caller sees it.
    pub time_left: Option<Duration>,
    /// Regions the call must stay in, when it is bound to any.
    pub regions: Option<Vec<String>>,
    /// Tenant on whose behalf the call is made.
    pub tenant: Option<String>,
    /// Digest of the caller's API key.
    pub api_key: Option<KeyDigest>,
}

impl Context {
    /// Reads the headers of a request that enters a node.
    ///
    /// # Errors
    ///
    /// Refuses headers that are doubled or not of the documented form, and the
    /// eleventh hop.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self, Reason> {
        let hops = parse_number(headers, &headers::HOPS)?.unwrap_or(0);
        if hops >= u64::from(MAX_HOPS) {
            return Err(Reason::TooManyHops);
        }
        let time_left = parse_number(headers, &headers::DEADLINE_MS)?.map(Duration::from_millis);
        let regions = single_value(headers, &headers::REGIONS)?.map(split_names);
        let tenant = single_value(headers, &headers::TENANT)?.map(str::to_owned);
        Ok(Self {
            hops: u32::try_from(hops).unwrap_or(MAX_HOPS) + 1,
            time_left,
            regions,
            tenant,
            api_key: None,
        })
    }

    /// Regions of `plan` that the call may use.
    #[must_use]
    pub fn allowed_regions(&self, plan: &Plan) -> Regions {
        self.regions.as_ref().map_or(Regions::ALL, |names| {
            let mut allowed = Regions::NONE;
            for name in names {
                if let Some(&key) = plan.region_names.get(name) {
                    allowed.insert(key);
                }
            }
            allowed
        })
    }

    /// Tells the backend server what it must pass on with the calls it makes.
    pub fn write_headers(&self, headers: &mut HeaderMap, time_left: Duration) {
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(headers::DEADLINE_MS, HeaderValue::from(millis));
        headers.insert(headers::HOPS, HeaderValue::from(self.hops));
        write_header(headers, headers::TENANT, self.tenant.as_deref());
        let regions = self.regions.as_ref().map(|names| names.join(","));
        write_header(headers, headers::REGIONS, regions.as_deref());
    }
}

/// Names of the regions in `allowed`; none when every region of the plan is.
#[must_use]
pub fn region_names(plan: &Plan, allowed: Regions) -> Option<Vec<String>> {
    let named: Vec<String> = plan
        .region_names
        .iter()
        .filter(|&(_, &key)| allowed.contains(key))
        .map(|(name, _)| name.clone())
        .collect();
    (named.len() < plan.region_names.len()).then_some(named)
}

fn write_header(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    match value.and_then(|text| HeaderValue::from_str(text).ok()) {
        Some(value) => {
            headers.insert(name, value);
        }
        None => {
            headers.remove(name);
        }
    }
}

fn split_names(names: &str) -> Vec<String> {
    names
        .split(',')
        .map(|name| name.trim().to_owned())
        .collect()
}

fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Reason> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Reason::Malformed);
    }
    let text = value.to_str().map_err(|_| Reason::Malformed)?;
    if text.is_empty() {
        return Err(Reason::Malformed);
    }
    Ok(Some(text))
}

/// Decimal digits only: `u64::from_str` would also take a plus sign.
fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Reason> {
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Reason::Malformed);
    }
    text.parse().map(Some).map_err(|_| Reason::Malformed)
}
