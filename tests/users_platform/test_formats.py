"""Tests of the adapter's formats: lines, documents, settings and calls."""

import doctest
import json

import pytest
from cardamomshunt.fleet import ConfigurationInvalidError, ServerState
from cardamomshunt.position import LogPosition
from cardamomshunt_node.deployment import (
    CallerEnd,
    CallerOpen,
    ConfigurationAsked,
    ControlReply,
    ErrorCode,
    HttpRequest,
    LineKind,
    PreparedStatement,
    Promotion,
    ServerLeft,
    ServerReported,
    StatementKind,
    TransactionState,
    UnknownCall,
)
from cardamomshunt_platform import _documents, _lines
from cardamomshunt_platform.__main__ import make_parser
from cardamomshunt_platform._documents import parse_configuration, parse_report
from cardamomshunt_platform._lines import LineProtocol, parse_statement
from cardamomshunt_platform._platform import UsersPlatform
from cardamomshunt_platform._settings import parse_settings

PROTOCOL = LineProtocol()


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("BEGIN", StatementKind.BEGIN),
        ("BEGIN READ", StatementKind.BEGIN_READ_ONLY),
        ("BEGIN WRITE", StatementKind.INVALID),
        ("COMMIT", StatementKind.COMMIT),
        ("ROLLBACK", StatementKind.ROLLBACK),
        ("READ 1a4", StatementKind.READ),
        ("READ", StatementKind.INVALID),
        ("WRITE 1a4 data of a row", StatementKind.WRITE),
        ("SET lang sw", StatementKind.SET),
        ("SET", StatementKind.INVALID),
        ("PREPARE s1 READ q2c", StatementKind.PREPARE),
        ("PREPARE s1 DELETE q2c", StatementKind.INVALID),
        ("EXECUTE s1 1a4 data", StatementKind.EXECUTE),
        ("DEALLOCATE s1", StatementKind.DEALLOCATE),
        ("WAITFOR 1.2 READ 1a4", StatementKind.INVALID),
        ("STATUS", StatementKind.INVALID),
        ("", StatementKind.INVALID),
    ],
)
def test_statements_are_classified(text, kind):
    assert parse_statement(text).kind is kind


def test_named_statements_are_split():
    prepared = parse_statement("PREPARE s1 WRITE q2c")
    assert (prepared.name, prepared.prepared) == ("s1", PreparedStatement(True, "q2c"))
    executed = parse_statement("EXECUTE s1 1a4 some data")
    assert PROTOCOL.execute_text("p9", executed) == "EXECUTE p9 1a4 some data"


def test_messages_of_callers_are_parsed():
    assert PROTOCOL.parse_caller_line(b"START orders u3f1") == CallerOpen(
        "orders", "u3f1"
    )
    assert PROTOCOL.parse_caller_line(b"TERMINATE") == CallerEnd()
    with pytest.raises(ValueError, match="unknown message"):
        PROTOCOL.parse_caller_line(b"GET / HTTP/1.1")


@pytest.mark.parametrize(
    ("line", "kind", "code", "state", "position"),
    [
        (b"ROW abc", LineKind.ROW, None, TransactionState.IDLE, None),
        (b"COMPLETE 7.1f", LineKind.COMPLETE, None, TransactionState.IDLE, None),
        (
            b"ERROR READONLY i-1",
            LineKind.ERROR,
            ErrorCode.READ_ONLY,
            TransactionState.IDLE,
            None,
        ),
        (b"ERROR NEW", LineKind.ERROR, ErrorCode.OTHER, TransactionState.IDLE, None),
        (
            b"READY T 3.12",
            LineKind.READY,
            None,
            TransactionState.OPEN,
            LogPosition(3, 12),
        ),
        (b"READY E -", LineKind.READY, None, TransactionState.FAILED, None),
    ],
)
def test_lines_of_servers_are_parsed(line, kind, code, state, position):
    parsed = PROTOCOL.parse_server_line(line)
    assert (parsed.kind, parsed.code, parsed.state, parsed.position) == (
        kind,
        code,
        state,
        position,
    )


@pytest.mark.parametrize(
    "line",
    [
        b"READY X 1.2",
        b"READY I 1.x",
        b"READY I 1.9223372036854775808",
        b"READY I -1.2",
        b"HELLO",
        b"",
    ],
)
def test_malformed_lines_of_servers_are_refused(line):
    with pytest.raises(ValueError):
        PROTOCOL.parse_server_line(line)


def test_a_read_carries_its_required_position():
    line = PROTOCOL.statement("5c0e", "READ 1a4", LogPosition(3, 1207))
    assert line == b"QUERY 5c0e WAITFOR 3.1207 READ 1a4\r\n"
    assert PROTOCOL.statement("5c0e", "READ 1a4", None) == b"QUERY 5c0e READ 1a4\r\n"


def test_a_status_row_is_parsed():
    status = PROTOCOL.parse_status("i-1", "replica 3 3.1209 0 12 2 17")
    assert status.received == LogPosition(3, 1209)
    assert not status.is_primary
    assert status.term == 3


SERVICE = {"name": "db", "connection_limit": 36, "sync_replicas": 0}
ROUTE = {
    "name": "r1",
    "host": "orders",
    "path_prefix": "/",
    "kind": "primary",
    "timeout_ms": 1000,
    "target_latency_ms": 250,
    "priority": 1,
    "service": "db",
    "max_attempts": 2,
}


def make_document(**changes):
    fields = {
        "version": 7,
        "routes": [ROUTE],
        "services": [SERVICE],
        "limits": {"transaction_idle_ms": 3000},
    }
    return json.dumps(fields | changes).encode()


def test_a_configuration_is_decoded():
    table = parse_configuration(make_document())
    assert table.version == 7
    assert table.route_of("orders").group == "db"
    assert table.groups["db"].n_connections_max == 36


@pytest.mark.parametrize(
    "document",
    [
        b"",
        make_document()[:-20],
        make_document(version="7"),
        make_document(routes=None),
        make_document(services=[]),
        make_document(routes=[ROUTE, ROUTE | {"name": "r2"}]),
        make_document(routes=[ROUTE | {"path_prefix": "/a"}] * 2),
        make_document(routes=[ROUTE, {**ROUTE, "path_prefix": "/a", "service": "x"}]),
        make_document(routes=[ROUTE, {**ROUTE, "path_prefix": "/a", "timeout_ms": 0}]),
        make_document(routes=[ROUTE | {"path_prefix": 1}]),
        make_document(version=10**30),
        make_document(version=2**63),
        make_document(note=1)[:-2] + b"[" * 100_000,
        make_document()[:-1] + b', "note": ' + b"[" * 9_999 + b"]" * 9_999 + b"}",
        b"\xff\xfe",
    ],
    ids=lambda document: f"{len(document)}-bytes",
)
def test_malformed_configurations_are_invalid(document):
    with pytest.raises(ConfigurationInvalidError):
        parse_configuration(document)


@pytest.mark.parametrize(
    ("prefixes", "serving"),
    [
        (["/", "/a"], "/"),
        (["/a", "/"], "/"),
        (["/abc", "/a"], "/a"),
        (["/b", "/a"], "/a"),
        (["/a"], "/a"),
    ],
)
def test_one_route_serves_the_sessions_of_a_database(prefixes, serving):
    # Guards against the refusal of a valid configuration, in which only the prefixes of
    # two routes differ, and against a choice that depends on the order of routes.
    routes = [ROUTE | {"name": item, "path_prefix": item} for item in prefixes]
    table = parse_configuration(make_document(routes=routes))
    assert table.route_of("orders").name == serving


# Names that divide a line, or leave one of its fields out.
NAMES_THAT_DIVIDE_LINES = ["", "db i-9", "db\r\nQUERY", "db\t", "\0", "db\u2028"]


@pytest.mark.parametrize("name", NAMES_THAT_DIVIDE_LINES)
def test_a_group_whose_name_divides_lines_is_refused(name):
    # Guards against connections that open another group, server or message than meant.
    document = make_document(services=[SERVICE, SERVICE | {"name": name}])
    with pytest.raises(ConfigurationInvalidError, match="the name is empty or has"):
        parse_configuration(document)


@pytest.mark.parametrize("name", NAMES_THAT_DIVIDE_LINES)
def test_a_team_whose_name_divides_lines_is_refused(name):
    # Guards against connections that are opened for another team than meant.
    with pytest.raises(ConfigurationInvalidError, match="the name is empty or mal"):
        parse_configuration(make_document(tenants=[{"name": name}]))


@pytest.mark.parametrize("server", NAMES_THAT_DIVIDE_LINES)
def test_a_report_whose_server_divides_lines_is_ignored(server):
    # Guards against connections that open another server or message than meant.
    assert parse_report(server, json.dumps(REPORT).encode()) is None


REPORT = {
    "service": "db",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup_remaining_ms": 0,
    "database_role": "replica",
    "sequence": 4,
    "born": 1768462717284,
}


def test_a_report_is_decoded():
    report = parse_report("i-1", json.dumps(REPORT).encode())
    assert report.state is ServerState.READY
    assert (report.started_ms, report.sequence) == (1768462717284, 4)
    assert report.warm_up_ms == 0.0


def test_the_rest_of_a_warm_up_is_decoded():
    fields = REPORT | {"warmup_remaining_ms": 2_500}
    report = parse_report("i-1", json.dumps(fields).encode())
    assert report.warm_up_ms == 2_500.0


@pytest.mark.parametrize(
    "changes",
    [
        {"sequence": "4"},
        {"state": "resting"},
        {"database_role": "witness"},
        {"born": None},
        {"address": 7},
        # Numbers that no message between nodes can carry.
        {"sequence": 10**30},
        {"sequence": -1},
        {"born": 2**63},
        {"born": -(10**30)},
        {"slots": 2**64},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:-1"},
        {"address": "10.0.0.9:" + "9" * 5_000},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.999:8080"},
        {"address": "server:8080"},
        {"address": ""},
    ],
)
def test_malformed_reports_are_ignored(changes):
    # Guards against an entry that ends what the nodes do with all other entries.
    assert parse_report("i-1", json.dumps(REPORT | changes).encode()) is None


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x00not json",
        b"\xff\xfe",
        b"[" * 100_000,
        json.dumps(REPORT).encode()[:-1] + b', "x": ' + b"[" * 9_999 + b"]" * 9_999,
        json.dumps(REPORT)[:-1].encode() + b', "warmup_remaining_ms": 1e999}',
    ],
    ids=["empty", "text", "bytes", "nested", "nested_in_report", "infinite"],
)
def test_unreadable_reports_are_ignored(body):
    assert parse_report("i-1", body) is None


def test_a_report_without_an_id_is_ignored():
    assert parse_report("", json.dumps(REPORT).encode()) is None


SETTINGS = """
node_name = "core-a-1"
ip_address = "10.1.0.8"
zone = "a"
internal_port_range = [7440, 7455]
seeds = ["10.1.0.11:8782", "10.2.0.9:8782"]
bootstrap = true
data_directory = "/data"
a_new_field = 3
[listen_addresses]
control = "10.1.0.8:8782"
[bounds]
grace_period_s = 6
[cloud_api]
address = "10.200.0.160:8783"
"""


def test_settings_are_decoded_and_new_fields_ignored():
    settings = parse_settings(SETTINGS)
    assert settings.peer_address == "10.1.0.8:7440"
    assert settings.seed_peer_addresses == ["10.1.0.11:7440", "10.2.0.9:7440"]
    assert settings.stop_timeout_ms == 6_000.0
    assert settings.is_first_start
    assert not settings.is_load_managed


@pytest.mark.parametrize(
    ("options", "is_load_managed"), [([], False), (["--manage-load"], True)]
)
def test_an_option_switches_load_management_on(options, is_load_managed):
    # Guards against limits in a deployment that did not ask for them.
    arguments = make_parser().parse_args(["entry", *options])
    assert arguments.manage_load is is_load_managed


@pytest.mark.parametrize(
    ("options", "is_traced"), [([], False), (["--trace-statements"], True)]
)
def test_an_option_switches_the_trace_of_statements_on(options, is_traced):
    # Guards against a log line for each statement in a deployment that did not ask.
    arguments = make_parser().parse_args(["entry", *options])
    assert arguments.trace_statements is is_traced


@pytest.mark.parametrize("text", ["", "zone = ", 'node_name = "x"'])
def test_settings_that_lack_a_field_are_refused(text):
    with pytest.raises(ValueError):
        parse_settings(text)


@pytest.mark.parametrize(
    ("method", "path", "kind"),
    [
        ("POST", "/Instances.Heartbeat/i-1", ServerReported),
        ("POST", "/Instances.Deregister/i-1", ServerLeft),
        ("GET", "/Configuration.Read", ConfigurationAsked),
        ("POST", "/Configuration.Read", UnknownCall),
        ("GET", "/", UnknownCall),
    ],
)
def test_control_calls_are_classified(method, path, kind):
    call = UsersPlatform().parse_control_call(HttpRequest(method, path))
    assert isinstance(call, kind)


def test_a_redirect_names_the_same_path():
    request = HttpRequest("GET", "/Configuration.Read")
    reply = ControlReply(307, redirect="10.0.0.4:8080")
    response = UsersPlatform().control_response(reply, request)
    assert response.headers["Location"] == "http://10.0.0.4:8080/Configuration.Read"


def test_a_promotion_carries_holder_and_token():
    request = UsersPlatform().promotion_request(Promotion("db", "i-2", "core-1", 17))
    assert request.headers == {"X-Duty-Holder": "core-1", "X-Fencing-Token": "17"}
    assert json.loads(request.body) == {"service": "db", "id": "i-2"}


def test_doctests_pass():
    # pytest can't collect a folder whose name is that of a standard module.
    for module in (_documents, _lines):
        assert doctest.testmod(module).failed == 0
