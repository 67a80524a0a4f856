//! Reads the list of the steps of a job. It stops at the first step too many, as a step takes much more
//! memory than its text.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Most steps of a job.
pub(crate) const STEPS_MAX_COUNT: usize = 256;

struct StepsVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for StepsVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of at most {STEPS_MAX_COUNT} steps")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut rows: A) -> Result<Vec<T>, A::Error> {
        let mut steps = Vec::new();
        while let Some(step) = rows.next_element()? {
            if steps.len() == STEPS_MAX_COUNT {
                return Err(A::Error::invalid_length(STEPS_MAX_COUNT + 1, &self));
            }
            steps.push(step);
        }
        Ok(steps)
    }
}

/// Deserializes a list of at most [`STEPS_MAX_COUNT`] steps.
pub(crate) fn deserialize<'de, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(StepsVisitor(PhantomData))
}
