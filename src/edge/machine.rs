//! The memory and the descriptors that the system allows this process.

use std::fs;

use crate::memory::limits;

const MEMORY_FILE: &str = "/proc/meminfo";
const GROUP_FILE: &str = "/sys/fs/cgroup/memory.max";
const LIMITS_FILE: &str = "/proc/self/limits";

/// Returns the memory that this process may use, in MiB: the limit of its control group, or else half
/// of the machine's memory.
#[must_use]
pub fn memory_mb() -> u64 {
    let group = fs::read_to_string(GROUP_FILE).ok();
    let group = group.and_then(|text| text.trim().parse::<u64>().ok());
    let group_mb = group.map(|bytes| bytes >> 20);
    let memory = fs::read_to_string(MEMORY_FILE).ok();
    let total_kb = memory.and_then(|text| number_after(&text, "MemTotal:"));
    let half_mb = total_kb.map(|kb| kb / 1_024 / 2);
    let known = group_mb.into_iter().chain(half_mb).min();
    known.unwrap_or(limits::DEFAULT_MEMORY_MB)
}

/// Returns the number of descriptors that this process may open.
#[must_use]
pub fn descriptors() -> u64 {
    let text = fs::read_to_string(LIMITS_FILE).ok();
    let known = text.and_then(|text| number_after(&text, "Max open files"));
    known.unwrap_or(limits::DEFAULT_DESCRIPTORS)
}

// Returns the first number after a label at the start of a line.
fn number_after(text: &str, label: &str) -> Option<u64> {
    let rest = text.lines().find_map(|line| line.strip_prefix(label))?;
    rest.split_whitespace().next()?.parse().ok()
}
