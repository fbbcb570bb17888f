"""Initial member record of this instance."""

from __future__ import annotations

import time

from ebonyhaven_decisions import MemberRecord, MemberState

INCARNATION_EPOCH_S = 1_735_689_600  # 2025-01-01 UTC; keeps incarnations short


def make_own_record(
    *,
    name: str,
    control_address: str,
    caller_address: str,
    data_centre: str,
    region: str,
) -> MemberRecord:
    """Return the initial record of this instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    control_address, caller_address : str
        ``IP:PORT``.
    data_centre, region : str

    Returns
    -------
    MemberRecord
        Its incarnation is taken from the wall clock. If it is too low, it is raised as
        soon as another instance sends a record with a higher one.
    """
    return MemberRecord(
        incarnation=max(0, int(time.time()) - INCARNATION_EPOCH_S),
        state=MemberState.LIVE,
        name=name,
        control_address=control_address,
        caller_address=caller_address,
        data_centre=data_centre,
        region=region,
    )
