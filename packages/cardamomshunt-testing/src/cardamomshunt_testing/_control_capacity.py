"""Replicated states of given sizes, and the cost to change and restore them."""

import time

from cardamomshunt.configuration import ClusterConfiguration, DatabaseSettings
from cardamomshunt.control import (
    ApplyPatch,
    ControlState,
    DatabaseRecord,
    InstanceRecord,
    SetDatabase,
    encode_command,
)
from cardamomshunt.messages import Change, FailoverStep, InstanceAddress

_N_INSTANCES = 3
_N_TIMED_PATCHES = 50


def _record(number: int) -> DatabaseRecord:
    name = f"database-{number}"
    instances = {
        f"{name}-{index}": InstanceRecord(
            zone=f"zone-{index}", address=InstanceAddress("127.0.0.1", 3_306 + index)
        )
        for index in range(_N_INSTANCES)
    }
    return DatabaseRecord(
        database=name,
        term=1,
        primary_instance=f"{name}-0",
        step=FailoverStep.SERVING,
        instances=instances,
        revision=1,
    )


def state_of_databases(n_databases: int) -> ControlState:
    """Return a state with a number of databases, each with its own settings."""
    databases = {f"database-{n}": DatabaseSettings() for n in range(n_databases)}
    state = ControlState(configuration=ClusterConfiguration(databases=databases))
    for number in range(n_databases):
        state.apply(encode_command(SetDatabase(record=_record(number))))
    return state


def _apply_patches(state: ControlState, n_patches: int) -> None:
    for _ in range(n_patches):
        version = state.configuration.version
        change = Change(
            path="policy.detection_ms", value=600.0 + float(version % 2 * 100)
        )
        command = ApplyPatch(
            patch_id=f"patch-{version}", base_version=version, changes=[change]
        )
        state.apply(encode_command(command))


def state_of_versions(n_versions: int) -> ControlState:
    """Return a state with a number of accepted patches in its history."""
    state = ControlState()
    _apply_patches(state, n_versions)
    return state


def apply_cost_us(n_databases: int) -> float:
    """Return the CPU time per patch at a number of databases."""
    state = state_of_databases(n_databases)
    started_s = time.process_time()
    _apply_patches(state, _N_TIMED_PATCHES)
    return 1e6 * (time.process_time() - started_s) / _N_TIMED_PATCHES


def restore_cost_ms(n_versions: int) -> float:
    """Return the CPU time to decode a snapshot with a number of versions."""
    snapshot = state_of_versions(n_versions).encode()
    started_s = time.process_time()
    ControlState.decode(snapshot)
    return 1e3 * (time.process_time() - started_s)
