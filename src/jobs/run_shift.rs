//! Test for a shift of the run times of one kind of work. The runs of one job share the error of its
//! estimate, so of the jobs in a row on one side of the median, each has one vote.

use std::collections::VecDeque;

use crate::jobs::keys::JobKey;

/// Distance from the median within which a run is neither long nor short, in thousandths.
const USUAL_PERMILLE: u64 = 100;
/// Number of jobs in a row on one side of the median that show a shift. Without a shift this
/// happens once in some 65,000 jobs.
const JOBS_COUNT: usize = 16;
/// Most ratios that are retained.
const RATIOS_MAX_COUNT: usize = 32;

/// Side of the median on which a run lies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Side {
    #[default]
    Near,
    Above,
    Below,
}

/// Jobs in a row that lie on one side of the median, and the ratios of their runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShiftTest {
    side: Side,
    jobs: Vec<JobKey>,
    ratios_permille: VecDeque<u64>,
}

impl ShiftTest {
    /// Adds a run of `job`. Returns the ratios of the runs since the shift, oldest first, if there
    /// was one, and starts over.
    pub(crate) fn observe(
        &mut self,
        job: JobKey,
        ratio_permille: u64,
        median_permille: u64,
    ) -> Option<VecDeque<u64>> {
        if !self.jobs.contains(&job) {
            self.vote(job, side_of(ratio_permille, median_permille));
        }
        if self.side == Side::Near {
            return None;
        }
        if self.ratios_permille.len() == RATIOS_MAX_COUNT {
            self.ratios_permille.pop_front();
        }
        self.ratios_permille.push_back(ratio_permille);
        let is_shift = self.jobs.len() >= JOBS_COUNT;
        is_shift.then(|| std::mem::take(self).ratios_permille)
    }

    fn vote(&mut self, job: JobKey, side: Side) {
        if side != self.side {
            *self = Self {
                side,
                ..Self::default()
            };
        }
        if side != Side::Near {
            self.jobs.push(job);
        }
    }
}

fn side_of(ratio_permille: u64, median_permille: u64) -> Side {
    let margin_permille = median_permille * USUAL_PERMILLE / 1_000;
    match ratio_permille {
        ratio if ratio > median_permille + margin_permille => Side::Above,
        ratio if ratio < median_permille - margin_permille => Side::Below,
        _ => Side::Near,
    }
}
