"""Settings of a daemon, loaded from a YAML file and validated as a whole."""

import difflib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from cardamomshunt.messages import NodeRole


@dataclass(slots=True, frozen=True)
class Address:
    """IP address and port to listen on or connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """Return the address as an nng URL."""
        return f"tcp://{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class ControlNodeAddress:
    """Name, zone and addresses of a control node."""

    node: str
    zone: str
    peer_address: Address
    operator_address: Address


@dataclass(slots=True, frozen=True)
class KeyFile:
    """Id of a key, and the file that contains its secret."""

    key_id: str
    secret_file: Path


@dataclass(slots=True, frozen=True)
class DaemonSettings:
    """Validated settings of one daemon."""

    node: str
    role: NodeRole
    zone: str
    peer_address: Address
    operator_address: Address
    metrics_address: Address
    control_nodes: tuple[ControlNodeAddress, ...]
    keys: tuple[KeyFile, ...] = ()
    caller_address: Address | None = None
    announcement_address: Address | None = None
    data_folder: Path | None = None
    log_file: Path | None = None


@dataclass(slots=True, frozen=True)
class SettingsError:
    """Error at one line of a settings file."""

    file: str
    line: int
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: expected {self.expected}"


class SettingsInvalidError(Exception):
    """Raised if a settings file is invalid, with all of its errors."""

    def __init__(self, errors: list[SettingsError]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


_REQUIRED = ("node", "role", "zone", "peer_address", "operator_address")
_ADDRESS_FIELDS = (
    "peer_address",
    "operator_address",
    "metrics_address",
    "caller_address",
    "announcement_address",
)
KNOWN_FIELDS = (
    *_REQUIRED,
    "metrics_address",
    "caller_address",
    "announcement_address",
    "data_folder",
    "control_nodes",
    "keys",
    "log_file",
)
CONTROL_NODE_FIELDS = ("node", "zone", "peer_address", "operator_address")
KEY_FIELDS = ("key_id", "secret_file")
N_CONTROL_NODES_MAX = 7


@dataclass(slots=True)
class _Validator:
    """Validate the values of one file and collect its errors."""

    file: str
    lines: dict[str, int]
    errors: list[SettingsError] = field(default_factory=list)

    def add_error(self, field_path: str, expected: str) -> None:
        """Record an error at the line of a field or of its parent."""
        path = field_path
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        line = self.lines.get(path, 1)
        self.errors.append(SettingsError(self.file, line, field_path, expected))

    def text(self, value: Any, field_path: str) -> str:
        """Return a non-empty string."""
        if isinstance(value, str) and value:
            return value
        self.add_error(field_path, f"a non-empty string, got {value!r}")
        return ""

    def address(self, value: Any, field_path: str) -> Address:
        """Return an address of the form `host:port`."""
        host, _, port = str(value).rpartition(":")
        if host and port.isdecimal() and 0 < int(port) < 65_536:
            return Address(host, int(port))
        self.add_error(
            field_path, f"host:port with a port of 1 to 65535, got {value!r}"
        )
        return Address("", 0)

    def check_names(
        self, given: dict[str, Any], known: tuple[str, ...], prefix: str
    ) -> None:
        """Record an error for each unknown name, with the closest known one."""
        for name in given:
            if name in known:
                continue
            nearest = difflib.get_close_matches(str(name), known, n=1, cutoff=0.0)
            self.add_error(
                f"{prefix}{name}", f"a known setting; the nearest is {nearest[0]!r}"
            )

    def tables(self, value: Any, name: str, known: tuple[str, ...]) -> list[Any]:
        """Return the tables that have all known names, each with its field path."""
        if not isinstance(value, list):
            self.add_error(name, "a list of tables")
            return []
        complete = []
        for index, item in enumerate(value):
            path = f"{name}.{index}"
            if not isinstance(item, dict):
                self.add_error(path, f"a table with {', '.join(known)}")
                continue
            self.check_names(item, known, f"{path}.")
            missing = [key for key in known if key not in item]
            for key in missing:
                self.add_error(f"{path}.{key}", "a value; it is required")
            if not missing:
                complete.append((path, item))
        return complete


def _collect_lines(node: yaml.Node, prefix: str, lines: dict[str, int]) -> None:
    """Add the line number of each dotted field path below a node."""
    lines[prefix] = node.start_mark.line + 1
    children: list[tuple[str, yaml.Node]] = []
    if isinstance(node, yaml.MappingNode):
        children = [(str(key.value), value) for key, value in node.value]
        for key, _ in node.value:
            lines[f"{prefix}.{key.value}".lstrip(".")] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        children = [(str(index), value) for index, value in enumerate(node.value)]
    for name, value in children:
        _collect_lines(value, f"{prefix}.{name}".lstrip("."), lines)


def load_settings(path: Path) -> DaemonSettings:
    """Load and validate a settings file; raise SettingsInvalidError with all errors."""
    file = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(
            [SettingsError(file, 1, "file", f"a readable UTF-8 file ({error})")]
        ) from error
    try:
        document = yaml.safe_load(text)
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        raise SettingsInvalidError(
            [SettingsError(file, line, "file", f"valid YAML ({problem})")]
        ) from error
    if not isinstance(document, dict) or root is None:
        raise SettingsInvalidError(
            [SettingsError(file, 1, "file", "a table of settings")]
        )
    lines: dict[str, int] = {}
    _collect_lines(root, "", lines)
    validator = _Validator(file, lines)
    settings = _build(validator, document)
    if validator.errors:
        raise SettingsInvalidError(sorted(validator.errors, key=lambda item: item.line))
    return settings


def _build(validator: _Validator, document: dict[str, Any]) -> DaemonSettings:
    """Build the settings and record every error in the validator."""
    validator.check_names(document, KNOWN_FIELDS, "")
    role = _role(validator, document.get("role"))
    required = _REQUIRED
    if role is NodeRole.PROXY:
        required = (*required, "caller_address", "announcement_address")
    else:
        required = (*required, "data_folder")
    for name in required:
        if document.get(name) is None:
            validator.add_error(name, "a value; it is required")
    addresses = {
        name: validator.address(document[name], name)
        for name in _ADDRESS_FIELDS
        if document.get(name) is not None
    }
    unset_address = Address("", 0)
    return DaemonSettings(
        node=_optional_text(validator, document, "node"),
        role=role,
        zone=_optional_text(validator, document, "zone"),
        peer_address=addresses.get("peer_address", unset_address),
        operator_address=addresses.get("operator_address", unset_address),
        metrics_address=addresses.get("metrics_address", Address("127.0.0.1", 0)),
        caller_address=addresses.get("caller_address"),
        announcement_address=addresses.get("announcement_address"),
        control_nodes=_control_nodes(validator, document.get("control_nodes")),
        keys=_keys(validator, document.get("keys", [])),
        data_folder=_optional_path(validator, document, "data_folder"),
        log_file=_optional_path(validator, document, "log_file"),
    )


def _role(validator: _Validator, value: Any) -> NodeRole:
    if value is not None and value not in ("proxy", "control"):
        validator.add_error("role", f"proxy or control, got {value!r}")
    return NodeRole.CONTROL if value == "control" else NodeRole.PROXY


def _optional_text(validator: _Validator, document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    return "" if value is None else validator.text(value, name)


def _optional_path(
    validator: _Validator, document: dict[str, Any], name: str
) -> Path | None:
    value = document.get(name)
    return None if value is None else Path(validator.text(value, name))


def _control_nodes(validator: _Validator, value: Any) -> tuple[ControlNodeAddress, ...]:
    if not value:
        validator.add_error("control_nodes", "a list of at least one control node")
        return ()
    tables = validator.tables(value, "control_nodes", CONTROL_NODE_FIELDS)
    if len(tables) > N_CONTROL_NODES_MAX:
        validator.add_error("control_nodes", f"at most {N_CONTROL_NODES_MAX} nodes")
    names = [item["node"] for _, item in tables]
    if len(set(names)) != len(names):
        validator.add_error("control_nodes", "a different name for each node")
    return tuple(
        ControlNodeAddress(
            node=validator.text(item["node"], f"{path}.node"),
            zone=validator.text(item["zone"], f"{path}.zone"),
            peer_address=validator.address(
                item["peer_address"], f"{path}.peer_address"
            ),
            operator_address=validator.address(
                item["operator_address"], f"{path}.operator_address"
            ),
        )
        for path, item in tables
    )


def _keys(validator: _Validator, value: Any) -> tuple[KeyFile, ...]:
    return tuple(
        KeyFile(
            key_id=validator.text(item["key_id"], f"{path}.key_id"),
            secret_file=Path(
                validator.text(item["secret_file"], f"{path}.secret_file")
            ),
        )
        for path, item in validator.tables(value, "keys", KEY_FIELDS)
    )
