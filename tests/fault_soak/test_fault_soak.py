"""A short fault soak of the real daemons, and the seeds that once failed."""

import pytest
from soak import run_seed

_SECONDS = 6.0
_NETWORK = 90


@pytest.mark.parametrize("seed", [1])
async def test_a_seed_keeps_all_promises(seed, tmp_path):
    """Guards the promises to callers while processes and links fail at random."""
    result = await run_seed(seed, _SECONDS, _NETWORK, tmp_path)
    assert result.violations == []
    assert result.n_statements > 100
