"""Callers of the stand-in that a test leaves open."""

import asyncio
from types import SimpleNamespace

from standin import Caller


class _ClosedTransport:
    def abort(self) -> None:
        raise RuntimeError("Event loop is closed")


async def _make_caller() -> Caller:
    return Caller(None, SimpleNamespace(transport=_ClosedTransport()))


async def _close_all() -> None:
    Caller.close_all()


def test_a_caller_of_a_closed_loop_disturbs_no_other_test():
    # Guards against an error in the teardown of a test that follows.
    left_open = asyncio.run(_make_caller())
    asyncio.run(_close_all())
    assert left_open in Caller._all_open
