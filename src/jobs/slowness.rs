//! Tells a slow worker from one that had unlucky work. Each run is compared with the distribution of
//! its kind: the evidence for a slow worker is the sum of the logarithms of how much likelier the
//! runs are on one than on a healthy one, never below 0 (the CUSUM test of Page, 1954). Runs of kinds
//! with too few runs for a distribution count by their smoothed ratio to the expected time.

use crate::jobs::run_distribution::RunVerdict;

/// Smoothed ratio of run time to expected time above which a worker is slow, in thousandths.
const SLOW_PERMILLE: u64 = 1_600;
/// Bound of one ratio, in thousandths, so that a straggler does not decide alone.
const RATIO_MAX_PERMILLE: u64 = 4_000;
/// Number of runs over which the ratio is smoothed.
const SMOOTHING: u64 = 6;

/// Share of the runs on a slow worker that take more than twice the median of their kind.
const SLOW_LONG_SHARE: f64 = 0.7;
/// Bounds of the share of such runs on a healthy worker. The lower one limits the evidence of one
/// run; at the upper one, long runs say little about their worker.
const HEALTHY_LONG_SHARE_BOUNDS: (f64, f64) = (0.12, 0.6);
/// Evidence from which a worker is slow: that of five long runs in a row. On a healthy worker it is
/// reached once in e^8.8 runs, some 6,600, or more seldom, by Lorden's bound.
const SLOW_EVIDENCE: f64 = 8.8;
/// Bound of the evidence, so that a worker that is no longer slow is found healthy again.
const EVIDENCE_MAX: f64 = 13.2;

/// Evidence of whether a worker is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    /// Smoothed ratio of run time to expected time, in thousandths.
    smoothed_permille: u64,
    evidence: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            smoothed_permille: 1_000,
            evidence: 0.0,
        }
    }
}

impl Slowness {
    /// Returns whether the worker is slow.
    pub fn is_slow(&self) -> bool {
        self.smoothed_permille > SLOW_PERMILLE || self.evidence >= SLOW_EVIDENCE
    }

    /// Adds a run that took `ran_ms` where `expected_ms` was expected. `verdict` compares it with
    /// its kind, if that has enough runs.
    pub fn observe(&mut self, ran_ms: u64, expected_ms: u64, verdict: Option<RunVerdict>) {
        match verdict {
            None => self.smooth(ran_ms * 1_000 / expected_ms.max(1)),
            Some(verdict) => self.add_evidence(verdict),
        }
    }

    fn smooth(&mut self, ratio_permille: u64) {
        let observed = ratio_permille.min(RATIO_MAX_PERMILLE);
        self.smoothed_permille = (self.smoothed_permille * (SMOOTHING - 1) + observed) / SMOOTHING;
    }

    fn add_evidence(&mut self, verdict: RunVerdict) {
        let (low, high) = HEALTHY_LONG_SHARE_BOUNDS;
        let healthy_share = verdict.long_share.clamp(low, high);
        let likelier = match verdict.is_long {
            true => SLOW_LONG_SHARE / healthy_share,
            false => (1.0 - SLOW_LONG_SHARE) / (1.0 - healthy_share),
        };
        self.evidence = (self.evidence + likelier.ln()).clamp(0.0, EVIDENCE_MAX);
        // What runs of kinds that were little known seemed to show is forgotten.
        if !verdict.is_long {
            self.smooth(1_000);
        }
    }
}
