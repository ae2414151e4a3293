"""Tests that arbitrary bytes in MySQL statements reach backend servers unchanged."""

import itertools

import asyncmy.errors
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from mysql_client import LATIN1, UTF8MB4, RawClient, literal
from proxy_site import Site, query

# The proxy is shared by the examples of a test, each of which connects.
_EXAMPLES = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
_SPECIAL = [
    b"'",
    b'"',
    b"`",
    b"\\",
    b"?",
    b";",
    b"--\n",
    b"#",
    b"/*",
    b"*/",
    b" \t\r\n\0\x1a",
    "\u0085\u00a0\u2028\ufeff".encode(),
    b"\x80\xff\xc3",
    b"\xed\xb3\xbf",
]
_DATA = st.lists(st.sampled_from(_SPECIAL) | st.binary(max_size=6), max_size=5).map(
    b"".join
)
_SPACES = st.text(alphabet=" \t\r\n", max_size=3).map(str.encode)
_COMMENTS = st.sampled_from([b"", b"/* ? ' */", b"-- ? '\n", b"--\n", b"# ? '\n"])
_HINTS = st.sampled_from([b"", b"/* cardamomshunt: deadline_ms=900 */", b"KEY"])
_keys = itertools.count(1)


def _hint(text: bytes) -> bytes:
    """Return a hint comment; each idempotency key is used once."""
    if text != b"KEY":
        return text
    return b"/* cardamomshunt: idempotency_key=k%d */" % next(_keys)


async def _connect(site: Site, character_set: int = UTF8MB4) -> RawClient:
    address = site.settings.caller_address
    assert address is not None
    return await RawClient.open(address.host, address.port, "orders", character_set)


def _received(site: Site) -> list[bytes]:
    """Return the statements with data that the backend server was given."""
    texts = [item for item in site.backend.statements if "INSERT INTO t" in item]
    return [text.encode(errors="surrogateescape") for text in texts]


@_EXAMPLES
@given(data=_DATA, spaces=_SPACES, comment=_COMMENTS, hint=_HINTS)
async def test_text_statements_reach_the_server_unchanged(
    site: Site, data: bytes, spaces: bytes, comment: bytes, hint: bytes
) -> None:
    # Guards against statements that are normalised, and against bytes that are no UTF-8.
    site.backend.statements.clear()
    client = await _connect(site)
    statement = b"INSERT INTO t VALUES (%s)%s" % (literal(data), spaces)
    statements = [_hint(hint) + spaces + comment + statement]
    await client.query(statements[0])
    for text in (b"BEGIN", comment + statement, b"COMMIT"):
        await client.query(text)
    assert _received(site) == [*statements, comment + statement]
    client.close()


@_EXAMPLES
@given(data=_DATA, other=_DATA, comment=_COMMENTS, hint=_HINTS)
async def test_parameters_reach_the_server_unchanged(
    site: Site, data: bytes, other: bytes, comment: bytes, hint: bytes
) -> None:
    # Guards against parameters that end their literal, or that are re-encoded.
    site.backend.statements.clear()
    client = await _connect(site)
    start = _hint(hint) + comment + b"INSERT INTO t VALUES ('?\xff', "
    await client.execute(start + b"?, ?) ", data, other)
    expected = [b"%s%s, %s) " % (start, literal(data), literal(other))]
    assert _received(site) == expected
    client.close()


@_EXAMPLES
@given(data=_DATA)
async def test_user_variables_keep_their_bytes(site: Site, data: bytes) -> None:
    # Guards against a value that is changed as its assignment is built again.
    site.backend.statements.clear()
    client = await _connect(site)
    for text in (b"BEGIN", b"SET @note = " + literal(data), b"COMMIT"):
        await client.query(text)
    assert f"SET @note = {data.decode(errors='surrogateescape')}" in (
        site.backend.statements
    )
    client.close()


@_EXAMPLES
@given(data=_DATA)
async def test_rows_reach_the_caller_unchanged(site: Site, data: bytes) -> None:
    # Guards against values that are decoded and encoded on their way to the caller.
    site.backend.row_value = data
    connection = await site.connect(use_unicode=False, conv={})
    assert await query(connection, "SELECT id, name FROM t") == ((b"0", data),)
    connection.close()


@pytest.mark.parametrize(
    ("name", "value", "is_named_at_login"),
    [
        ("latin1", b"caf\xe9 5\x80", True),
        ("latin1", b"caf\xe9 5\x80", False),
        ("cp1251", "\u043f\u0438\u0440\u043e\u0433".encode("cp1251"), False),
        ("gbk", "\u4e2d\u6587".encode("gbk"), False),
        # The second byte of this character is a backslash.
        ("sjis", "\u8868".encode("sjis"), False),
        ("utf8mb3", "caf\u00e9".encode(), False),
        ("binary", b"caf\xc3\xa9\xff", False),
    ],
)
async def test_the_character_set_of_a_caller_is_converted(
    site: Site, name: str, value: bytes, is_named_at_login: bool
) -> None:
    # Guards against statements in the caller's character set that servers read as UTF-8.
    site.backend.statements.clear()
    client = await _connect(site, LATIN1 if is_named_at_login else UTF8MB4)
    if not is_named_at_login:
        await client.query(b"SET NAMES " + name.encode())
    codecs = {"latin1": "cp1252", "utf8mb3": "utf-8", "binary": "utf-8"}
    text = value.decode(codecs.get(name, name), "surrogateescape")
    expected = text.encode(errors="surrogateescape")
    await client.query(b"INSERT INTO t VALUES ('%s')" % value)
    await client.execute(b"INSERT INTO t VALUES ('%s', ?)" % value, value)
    assert _received(site) == [
        b"INSERT INTO t VALUES ('%s')" % expected,
        b"INSERT INTO t VALUES ('%s', '%s')" % (expected, expected),
    ]
    client.close()
    site.backend.row_value = expected
    connection = await site.connect(use_unicode=False, conv={})
    await query(connection, f"SET NAMES {name}")
    assert await query(connection, "SELECT id, name FROM t") == ((b"0", value),)


@pytest.mark.parametrize("name", ["nothing", "swe7", "utf16"])
async def test_a_character_set_that_is_not_converted_is_refused(
    site: Site, name: str
) -> None:
    # Guards against a character set that is acknowledged and not used.
    connection = await site.connect()
    with pytest.raises(asyncmy.errors.Error, match="Unknown character set"):
        await query(connection, f"SET NAMES '{name}'")
    assert await query(connection, "SELECT id, name FROM t")
