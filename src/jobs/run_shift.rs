//! Test for a shift of the run times of one kind of work. The runs of one job share the error of its
//! estimate, so of the jobs in a row on one side of the median, each has one vote.

use std::collections::VecDeque;

use crate::jobs::keys::JobKey;

/// Evidence that shows a shift. Without one, at most one in some 8,000 sequences of jobs on one side
/// of the median reaches it, by Lundberg's bound.
const SHIFT_EVIDENCE: f64 = 25.0;
/// Most evidence of one job, so that a shift takes at least five.
const JOB_EVIDENCE_MAX: f64 = 5.0;
/// Most ratios that are retained.
const RATIOS_MAX_COUNT: usize = 32;

/// Side of the median on which a run lies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Side {
    /// Close to the median.
    #[default]
    Near,
    /// Longer.
    Above,
    /// Shorter.
    Below,
}

/// Jobs in a row that lie on one side of the median, and the ratios of their runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShiftTest {
    side: Side,
    jobs: Vec<JobKey>,
    /// Sum over the jobs of the negative logarithm of the share of runs at least as far out.
    evidence: f64,
    ratios_permille: VecDeque<u64>,
}

impl ShiftTest {
    /// Adds a run of `job`; `tail_share` is the share of the known runs that are at least as far
    /// from the median on the same side. Returns the ratios of the runs since the shift, oldest
    /// first, if there was one, and starts over.
    pub(crate) fn observe(
        &mut self,
        job: JobKey,
        ratio_permille: u64,
        (side, tail_share): (Side, f64),
    ) -> Option<VecDeque<u64>> {
        if !self.jobs.contains(&job) {
            self.vote(job, side, tail_share);
        }
        if self.side == Side::Near {
            return None;
        }
        if self.ratios_permille.len() == RATIOS_MAX_COUNT {
            self.ratios_permille.pop_front();
        }
        self.ratios_permille.push_back(ratio_permille);
        let is_shift = self.evidence >= SHIFT_EVIDENCE;
        is_shift.then(|| std::mem::take(self).ratios_permille)
    }

    fn vote(&mut self, job: JobKey, side: Side, tail_share: f64) {
        if side != self.side {
            *self = Self {
                side,
                ..Self::default()
            };
        }
        if side != Side::Near {
            // At most half of the runs lie on either side, so that each job adds evidence, and the
            // number of jobs is bounded.
            let evidence = -tail_share.clamp(f64::MIN_POSITIVE, 0.5).ln();
            self.evidence += evidence.min(JOB_EVIDENCE_MAX);
            self.jobs.push(job);
        }
    }
}
