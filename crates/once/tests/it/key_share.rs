//! Keys keep their owner while the share changes.

use lentil_core::Permille;
use lentil_once::{HolderState, KeyDigest, KeyOwner, KeyShare, ShareError, SharePhase};

fn share(from: u32, to: u32, phase: SharePhase) -> KeyShare {
    KeyShare {
        from: Permille::new(from),
        to: Permille::new(to),
        phase,
    }
}

/// A key at a position between 300 and 500 per mille.
const BETWEEN: KeyDigest = KeyDigest::new(400);

#[test]
fn rising_share_leaves_recorded_keys_with_other_system() {
    let preparing = share(300, 500, SharePhase::Preparing);
    let changing = share(300, 500, SharePhase::Changing);
    assert_eq!(
        preparing.owner(BETWEEN, None),
        KeyOwner::OtherSystemUnrecorded
    );
    assert_eq!(
        changing.owner(BETWEEN, Some(&HolderState::Elsewhere)),
        KeyOwner::OtherSystem
    );
    assert_eq!(changing.owner(BETWEEN, None), KeyOwner::ThisSystem);
}

#[test]
fn falling_share_keeps_claimed_keys() {
    let changing = share(500, 300, SharePhase::Changing);
    assert_eq!(
        changing.owner(BETWEEN, Some(&HolderState::Open)),
        KeyOwner::ThisSystem
    );
    assert_eq!(changing.owner(BETWEEN, None), KeyOwner::OtherSystem);
    let stable = KeyShare::stable(Permille::new(300));
    let done = HolderState::Done(None);
    assert_eq!(stable.owner(BETWEEN, Some(&done)), KeyOwner::ThisSystem);
}

#[test]
fn keys_outside_changed_range_need_no_record() {
    let preparing = share(300, 500, SharePhase::Preparing);
    assert_eq!(
        preparing.owner(KeyDigest::new(299), None),
        KeyOwner::ThisSystem
    );
    assert_eq!(
        preparing.owner(KeyDigest::new(500), None),
        KeyOwner::OtherSystem
    );
}

#[test]
fn rising_share_requires_preparing_phase() {
    let stable = KeyShare::stable(Permille::new(300));
    let changing = share(300, 500, SharePhase::Changing);
    let preparing = share(300, 500, SharePhase::Preparing);
    assert_eq!(stable.check_next(&changing), Err(ShareError::NotPrepared));
    assert_eq!(
        stable.check_next(&KeyShare::stable(Permille::new(500))),
        Err(ShareError::NotPrepared)
    );
    assert_eq!(stable.check_next(&preparing), Ok(()));
    assert_eq!(preparing.check_next(&changing), Ok(()));
    assert_eq!(
        changing.check_next(&share(500, 700, SharePhase::Preparing)),
        Err(ShareError::ChangeInProgress)
    );
}
