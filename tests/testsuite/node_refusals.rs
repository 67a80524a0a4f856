//! Refusals between nodes and to callers.

use hawthornladder::node::{CallAnswer, Refusal, Refused};
use hawthornladder::platform::callers::encode_answer;
use hyper::header::RETRY_AFTER;

fn over_rate(retry_after_s: u64) -> CallAnswer {
    CallAnswer::Refused(Refused {
        refusal: Refusal::TeamOverRate,
        retry_after_s: Some(retry_after_s),
    })
}

/// Guards against answers that nodes of the version before cannot read while nodes are replaced one
/// after another: only a refusal with a time of its own has the new form.
#[test]
fn refusals_without_a_time_of_their_own_keep_their_form() {
    let text = |answer: CallAnswer| serde_json::to_string(&answer).expect("a refusal");
    assert_eq!(text(Refusal::NoLeader.into()), r#"{"refused":"no_leader"}"#);
    for answer in [Refusal::BadKey.into(), over_rate(1), over_rate(4)] {
        let read: CallAnswer = serde_json::from_str(&text(answer)).expect("a refusal");
        assert_eq!(read, answer);
    }
}

/// Guards against callers that are told to come back at another time than the leader said.
#[test]
fn a_refusal_over_the_rate_is_a_429_with_the_leaders_time() {
    let answer = encode_answer(&over_rate(4));
    assert_eq!(answer.status, 429);
    let time = answer.headers.iter().find(|(name, _)| name == RETRY_AFTER);
    assert_eq!(time.expect("a header").1, "4");
}
