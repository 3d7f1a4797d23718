//! The ranks by which requests are served.

use std::fmt;

/// The urgency of a request, from 1, the most urgent, to [`WorkRank::COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct WorkRank(u8);

impl WorkRank {
    /// The number of ranks.
    pub const COUNT: usize = 3;

    /// Creates a rank from 1 to 3.
    ///
    /// # Errors
    /// Fails outside that range.
    pub fn new(number: u8) -> Result<Self, RankError> {
        if number == 0 || usize::from(number) > Self::COUNT {
            return RankSnafu { number }.fail();
        }
        Ok(Self(number))
    }

    /// Returns the rank's index, from 0 for the most urgent.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0) - 1
    }
}

impl TryFrom<u8> for WorkRank {
    type Error = RankError;

    fn try_from(number: u8) -> Result<Self, RankError> {
        Self::new(number)
    }
}

impl From<WorkRank> for u8 {
    fn from(rank: WorkRank) -> Self {
        rank.0
    }
}

impl fmt::Display for WorkRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number is not a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("{number} is no rank: use 1, 2 or 3"))]
pub struct RankError {
    number: u8,
}
