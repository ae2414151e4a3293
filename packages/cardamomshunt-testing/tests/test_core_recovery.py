"""The measurement of the control nodes' recovery sees each of its faults through."""

import sys
from pathlib import Path

import pytest
from cardamomshunt_testing._core_group import CoreGroup
from cardamomshunt_testing.core_recovery import measure_recovery

_N_CHANGES = 3
_SIZE_BYTES = 2_000


async def test_each_recovery_is_measured() -> None:
    """Guards against a fault that is not injected, or a recovery that is not seen."""
    figures = await measure_recovery("current", sys.executable, _SIZE_BYTES, _N_CHANGES)
    assert figures.n_acknowledged == _N_CHANGES
    assert figures.stored_bytes_per_change >= _SIZE_BYTES
    assert figures.written_ratio >= 1.0
    for time_s in (figures.voter_s, figures.full_disk_s, figures.power_s):
        assert time_s is not None
        assert time_s > 0.0


async def test_a_group_that_cannot_start_is_an_error(tmp_path: Path) -> None:
    """Guards against figures of a group whose processes have ended."""
    group = CoreGroup("/bin/false", tmp_path)
    await group.start()
    try:
        with pytest.raises(RuntimeError, match="ended"):
            await group.change(_SIZE_BYTES, limit_s=10.0)
    finally:
        await group.stop()
