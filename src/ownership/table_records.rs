//! The assignment table as keyed records: a header, and a record for each part of a service's keys.
//!
//! An append holds the parts that changed, and the header last. So an append and what hosts read of
//! it do not grow with the table, and a reader that has the header of an append has all of it.

use std::collections;
use std::sync;

use xxhash_rust::xxh3;

use crate::names;
use crate::ownership::assignment;
use crate::serving::topic;

/// The number of keys in one part.
pub const KEYS_PER_PART: u32 = 512;
/// The key of the header.
pub const HEADER_KEY: &str = "header";
/// The key under which builds before 0.2 wrote the whole table.
pub const WHOLE_TABLE_KEY: &str = "book";

/// What the table holds besides the ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TableHeader {
    // Headers of earlier builds have neither a version nor a digest of the parts.
    version: Option<assignment::TableVersion>,
    digest: Option<u64>,
    term: u64,
    granter: Option<assignment::GranterIncarnation>,
    former_granters: Vec<assignment::GranterIncarnation>,
    // Headers of earlier builds have none.
    unfenced_servers: Option<Vec<assignment::UnfencedServer>>,
    lost_grants: Option<assignment::LostGrantsRecord>,
    longest_hold_millis: u64,
    next_fence: u64,
}

impl TableHeader {
    fn new(table: &assignment::AssignmentTable, digest: u64) -> Self {
        Self {
            version: Some(table.version),
            digest: Some(digest),
            unfenced_servers: Some(table.unfenced_servers.clone()),
            lost_grants: table.lost_grants.clone(),
            term: table.term,
            granter: table.granter.clone(),
            former_granters: table.former_granters.clone(),
            longest_hold_millis: table.longest_hold_millis,
            next_fence: table.next_fence,
        }
    }
}

/// Identifies a part: the service, and the number of the part in the order of the keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PartId {
    service: names::ServiceName,
    number: u32,
}

impl PartId {
    // The part that a range belongs to, by its first key.
    fn new(service: &names::ServiceName, range: &assignment::RangeEntry) -> Self {
        Self {
            service: service.clone(),
            number: u32::from(range.first) / KEYS_PER_PART,
        }
    }

    fn with_key(key: &str) -> Option<Self> {
        let (service, number) = key.split_once('/')?;
        Some(Self {
            service: names::ServiceName::new(service).ok()?,
            number: number.parse().ok()?,
        })
    }

    fn key(&self) -> sync::Arc<str> {
        sync::Arc::from(format!("{}/{}", self.service, self.number))
    }
}

type TableParts = collections::BTreeMap<PartId, Vec<assignment::RangeEntry>>;

/// A record is not a part of an assignment table.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum TableError {
    /// The key is neither the header's nor that of a part.
    #[snafu(display("step=decode-table key={key} fault=\"unknown key\""))]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// The value cannot be decoded.
    #[snafu(display("step=decode-table key={key} fault=\"{source}\""))]
    Malformed {
        /// The key.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Ranges overlap, are not sorted, or have a fence that was never allocated.
    #[snafu(display("step=check-table term={term} fault=\"unsound ranges\""))]
    Unsound {
        /// The table's term.
        term: u64,
    },
}

fn parts_of(table: &assignment::AssignmentTable) -> TableParts {
    let mut parts = TableParts::new();
    for (service, ranges) in &table.services {
        for range in ranges {
            let part = parts.entry(PartId::new(service, range)).or_default();
            part.push(range.clone());
        }
    }
    parts
}

// A part as the log has it, with the hash of its record.
#[derive(Clone, Debug)]
struct StoredPart {
    ranges: Vec<assignment::RangeEntry>,
    hash: u64,
}

// Distinguishes the parts of one table from any others, by the hashes of their records.
#[derive(Default)]
struct PartsDigest {
    hasher: xxh3::Xxh3Default,
}

impl PartsDigest {
    fn add(&mut self, id: &PartId, hash: u64) {
        self.hasher.update(id.service.as_str().as_bytes());
        self.hasher.update(&id.number.to_le_bytes());
        self.hasher.update(&hash.to_le_bytes());
    }

    fn value(&self) -> u64 {
        self.hasher.digest()
    }
}

fn keyed_record(key: sync::Arc<str>, value: Vec<u8>) -> topic::KeyedRecord {
    topic::KeyedRecord {
        key,
        value: Some(bytes::Bytes::from(value)),
    }
}

/// Assembles the assignment table from the records of its log.
#[derive(Clone, Debug, Default)]
pub struct TableAssembly {
    header: Option<(TableHeader, u64)>,
    parts: collections::BTreeMap<PartId, StoredPart>,
    // A whole table of an earlier build, and the offset of its record.
    whole: Option<(assignment::AssignmentTable, u64)>,
}

impl TableAssembly {
    /// Creates an assembly without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a record.
    ///
    /// # Errors
    /// Fails when the record is not a part of a table; it is passed over.
    pub fn apply(&mut self, stored: &topic::LogRecord) -> Result<(), TableError> {
        let key = &*stored.record.key;
        let value = stored.record.value.as_deref();
        if key == HEADER_KEY {
            self.header = value
                .map(|value| decode(key, value).map(|header| (header, stored.offset)))
                .transpose()?;
            return Ok(());
        }
        if key == WHOLE_TABLE_KEY {
            self.whole = value
                .map(|value| decode(key, value).map(|table| (table, stored.offset)))
                .transpose()?;
            return Ok(());
        }
        let id = PartId::with_key(key);
        let id = id.ok_or_else(|| TableError::UnknownKey {
            key: key.to_owned(),
        })?;
        match value {
            Some(value) => {
                let ranges = decode(key, value)?;
                let hash = xxh3::xxh3_64(value);
                self.parts.insert(id, StoredPart { ranges, hash });
            }
            None => {
                self.parts.remove(&id);
            }
        }
        Ok(())
    }

    /// Returns the records to append for a change to `table`: the parts that differ, and the header
    /// last.
    ///
    /// # Errors
    /// Fails when a part cannot be encoded.
    pub fn changed_records(
        &self,
        table: &assignment::AssignmentTable,
    ) -> Result<Vec<topic::KeyedRecord>, serde_json::Error> {
        let parts = parts_of(table);
        let mut records = Vec::new();
        let mut digest = PartsDigest::default();
        for (id, ranges) in &parts {
            let stored = self.parts.get(id).filter(|part| part.ranges == *ranges);
            if let Some(stored) = stored {
                digest.add(id, stored.hash);
                continue;
            }
            let value = serde_json::to_vec(ranges)?;
            digest.add(id, xxh3::xxh3_64(&value));
            records.push(keyed_record(id.key(), value));
        }
        let gone = self.parts.keys().filter(|id| !parts.contains_key(*id));
        let gone = gone.map(PartId::key);
        let whole = self.whole.iter().map(|_| sync::Arc::from(WHOLE_TABLE_KEY));
        records.extend(
            gone.chain(whole)
                .map(|key| topic::KeyedRecord { key, value: None }),
        );
        let header = TableHeader::new(table, digest.value());
        let header = serde_json::to_vec(&header)?;
        records.push(keyed_record(sync::Arc::from(HEADER_KEY), header));
        Ok(records)
    }

    /// Returns the table of a log that ends at `end`. Returns `None` while records of its last append
    /// are missing, or where there is none.
    ///
    /// # Errors
    /// Fails when the records do not make a sound table.
    pub fn table(&self, end: u64) -> Result<Option<assignment::AssignmentTable>, TableError> {
        let table = match (&self.header, &self.whole) {
            (Some((header, offset)), _) if offset + 1 == end => self.assemble(header),
            (_, Some((table, offset))) if offset + 1 == end => table.clone(),
            _ => return Ok(None),
        };
        if table.is_sound() {
            return Ok(Some(table));
        }
        Err(TableError::Unsound { term: table.term })
    }

    /// Returns the table that `records` make of this one, as [`Self::changed_records`] returns them.
    ///
    /// # Errors
    /// Fails when a record is not a part of a table, or the records do not make a sound table.
    pub fn changed_table(
        &self,
        records: impl IntoIterator<Item = topic::KeyedRecord>,
    ) -> Result<Option<assignment::AssignmentTable>, TableError> {
        let mut changed = self.clone();
        let mut end = 0;
        for record in records {
            changed.apply(&topic::LogRecord {
                offset: end,
                record,
            })?;
            end += 1;
        }
        changed.table(end)
    }

    /// Reports whether a host of an earlier build wrote to the log after one of this build: the two
    /// do not know of each other's ranges.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        let header = self.header.as_ref().map(|(_, offset)| *offset);
        let whole = self.whole.as_ref().map(|(_, offset)| *offset);
        header
            .zip(whole)
            .is_some_and(|(header, whole)| whole > header)
    }

    fn assemble(&self, header: &TableHeader) -> assignment::AssignmentTable {
        let mut services = collections::BTreeMap::<_, Vec<_>>::new();
        let mut digest = PartsDigest::default();
        for (id, part) in &self.parts {
            let service = services.entry(id.service.clone()).or_default();
            service.extend(part.ranges.iter().cloned());
            digest.add(id, part.hash);
        }
        // An append that was planned on other parts makes a mixture, which no version names.
        let mixed = header.digest.is_some_and(|known| digest.value() != known);
        let version = header.version.filter(|_| !mixed).unwrap_or_default();
        assignment::AssignmentTable {
            version,
            unfenced_servers: header.unfenced_servers.clone().unwrap_or_default(),
            lost_grants: header.lost_grants.clone(),
            term: header.term,
            granter: header.granter.clone(),
            former_granters: header.former_granters.clone(),
            longest_hold_millis: header.longest_hold_millis,
            next_fence: header.next_fence,
            services,
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(value).map_err(|source| TableError::Malformed {
        key: key.to_owned(),
        source,
    })
}
