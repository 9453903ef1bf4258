//! Keys stay on their side while the share moves.

use lentil_core::Permille;
use lentil_once::{HolderState, KeyDigest, KeyOwner, KeyShare, ShareError, SharePhase};

fn share(from: u32, to: u32, phase: SharePhase) -> KeyShare {
    KeyShare {
        from: Permille::new(from),
        to: Permille::new(to),
        phase,
    }
}

/// A key between 300 and 500 thousandths.
const BETWEEN: KeyDigest = KeyDigest::new(400);

#[test]
fn rising_share_keeps_old_keys() {
    let opening = share(300, 500, SharePhase::Preparing);
    let moving = share(300, 500, SharePhase::Moving);
    assert_eq!(
        opening.owner(BETWEEN, None),
        KeyOwner::OtherSystemUnrecorded
    );
    assert_eq!(
        moving.owner(BETWEEN, Some(&HolderState::Elsewhere)),
        KeyOwner::OtherSystem
    );
    assert_eq!(moving.owner(BETWEEN, None), KeyOwner::ThisSystem);
}

#[test]
fn falling_share_keeps_own_keys() {
    let moving = share(500, 300, SharePhase::Moving);
    assert_eq!(
        moving.owner(BETWEEN, Some(&HolderState::Open)),
        KeyOwner::ThisSystem
    );
    assert_eq!(moving.owner(BETWEEN, None), KeyOwner::OtherSystem);
    let settled = KeyShare::stable(Permille::new(300));
    let done = HolderState::Done(None);
    assert_eq!(settled.owner(BETWEEN, Some(&done)), KeyOwner::ThisSystem);
}

#[test]
fn keys_outside_the_move_need_no_record() {
    let opening = share(300, 500, SharePhase::Preparing);
    assert_eq!(
        opening.owner(KeyDigest::new(299), None),
        KeyOwner::ThisSystem
    );
    assert_eq!(
        opening.owner(KeyDigest::new(500), None),
        KeyOwner::OtherSystem
    );
}

#[test]
fn rising_needs_opening() {
    let settled = KeyShare::stable(Permille::new(300));
    let moving = share(300, 500, SharePhase::Moving);
    let opening = share(300, 500, SharePhase::Preparing);
    assert_eq!(settled.check_next(&moving), Err(ShareError::NotPrepared));
    assert_eq!(
        settled.check_next(&KeyShare::stable(Permille::new(500))),
        Err(ShareError::NotPrepared)
    );
    assert_eq!(settled.check_next(&opening), Ok(()));
    assert_eq!(opening.check_next(&moving), Ok(()));
    assert_eq!(
        moving.check_next(&share(500, 700, SharePhase::Preparing)),
        Err(ShareError::ChangeInProgress)
    );
}
