//! How much work each stretch of keys brings, as the hosts measure it.

use std::collections;

use crate::names;

/// The number of keys in one stretch.
pub const STRETCH_KEYS: u32 = 16;
/// The number of stretches.
pub const STRETCHES: usize = 65_536 / 16;
/// The weight of the newest report in the running estimate.
pub const REPORT_WEIGHT: f64 = 0.5;

/// The work of one stretch in one report.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StretchHeat {
    /// The stretch's number.
    pub stretch: u16,
    /// The work, in slots that were busy on average.
    pub busy: f32,
}

/// Returns the stretch of a key.
#[must_use]
pub const fn stretch_of(key: u16) -> u16 {
    key / STRETCH_KEYS as u16
}

/// The running estimate for the keys of one service.
#[derive(Clone, Debug)]
pub struct HeatMap {
    busy: Vec<f64>,
    total: f64,
}

impl HeatMap {
    /// Creates a map without work.
    #[must_use]
    pub fn new() -> Self {
        Self {
            busy: vec![0.0; STRETCHES],
            total: 0.0,
        }
    }

    /// Takes the sum of the hosts' newest reports.
    pub fn note(&mut self, report: &[StretchHeat]) {
        for busy in &mut self.busy {
            *busy *= 1.0 - REPORT_WEIGHT;
        }
        for heat in report {
            if let Some(busy) = self.busy.get_mut(usize::from(heat.stretch)) {
                *busy += f64::from(heat.busy) * REPORT_WEIGHT;
            }
        }
        self.total = self.busy.iter().sum();
    }

    /// Returns the work of the keys from `first` to `last`.
    #[must_use]
    pub fn range(&self, first: u16, last: u16) -> f64 {
        let (low, high) = (stretch_of(first), stretch_of(last));
        // A little for keys that nobody has asked for yet.
        let idle = (self.total * 0.1 + 0.01) / 65_536.0;
        let keys = f64::from(u32::from(last) - u32::from(first) + 1);
        let measured: f64 = (low..=high)
            .map(|stretch| {
                let start = u32::from(stretch) * STRETCH_KEYS;
                let from = start.max(u32::from(first));
                let to = (start + STRETCH_KEYS - 1).min(u32::from(last));
                let part = f64::from(to - from + 1) / f64::from(STRETCH_KEYS);
                self.busy[usize::from(stretch)] * part
            })
            .sum();
        measured + idle * keys
    }
}

impl Default for HeatMap {
    fn default() -> Self {
        Self::new()
    }
}

/// The maps of all services.
pub type ServiceHeat = collections::BTreeMap<names::ServiceName, HeatMap>;
