"""JSON schema of the settings file, for use by editors."""

from typing import Any

from cardamomshunt_node._settings import (
    CONTROL_NODE_FIELDS,
    KEY_FIELDS,
    KNOWN_FIELDS,
    N_CONTROL_NODES_MAX,
)

_ADDRESS = {"type": "string", "pattern": r"^.+:[0-9]{1,5}$"}
_TEXT = {"type": "string", "minLength": 1}
_DESCRIPTIONS = {
    "node": "Unique name of the daemon.",
    "role": "proxy serves callers; control stores the replicated log.",
    "zone": "Availability zone of the VM.",
    "peer_address": "Listener for messages of other daemons.",
    "operator_address": "Listener for cardamomctl.",
    "metrics_address": "HTTP listener for Prometheus.",
    "caller_address": "MySQL listener; required for a proxy.",
    "announcement_address": "HTTP listener for backend servers; required for a proxy.",
    "data_folder": "Folder on a disk; required for control.",
    "control_nodes": "All control nodes, the same list in every file.",
    "keys": "The first key signs, all are accepted; reread on SIGHUP.",
    "log_file": "File for events; standard error if null.",
}


def settings_schema() -> dict[str, Any]:
    """Return the schema, built from the field names that the loader accepts."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Settings of a cardamomshunt daemon",
        "type": "object",
        "additionalProperties": False,
        "properties": {
            name: {"description": _DESCRIPTIONS[name], **_type_of(name)}
            for name in KNOWN_FIELDS
        },
        "required": [
            "node",
            "role",
            "zone",
            "peer_address",
            "operator_address",
            "control_nodes",
        ],
        "if": {"properties": {"role": {"const": "proxy"}}},
        "then": {"required": ["caller_address", "announcement_address"]},
        "else": {"required": ["data_folder"]},
    }


def _type_of(name: str) -> dict[str, Any]:
    if name.endswith("_address"):
        return _ADDRESS
    if name == "role":
        return {"enum": ["proxy", "control"]}
    if name == "control_nodes":
        return {
            **_tables(CONTROL_NODE_FIELDS),
            "minItems": 1,
            "maxItems": N_CONTROL_NODES_MAX,
        }
    if name == "keys":
        return _tables(KEY_FIELDS)
    if name in ("data_folder", "log_file"):
        return {"type": ["string", "null"]}
    return _TEXT


def _tables(names: tuple[str, ...]) -> dict[str, Any]:
    properties = {
        name: _ADDRESS if name.endswith("_address") else _TEXT for name in names
    }
    return {
        "type": "array",
        "items": {
            "type": "object",
            "additionalProperties": False,
            "properties": properties,
            "required": list(names),
        },
    }
