"""Classification of statements by shape.

A statement counts as a plain read only if that is provable. The server's default
sql_mode is assumed, as NO_BACKSLASH_ESCAPES would move the end of string literals.
Views that call functions with side effects cannot be detected.
"""

import hashlib
import re
from collections import OrderedDict

import msgspec

from cardamomshunt._data_path.effects import RequestKind

N_SHAPES_MAX = 2_048
N_SHAPE_CHARACTERS_MAX = 4_096  # longer shapes are not cached

_HINT_COMMENT = re.compile(r"\s*/\*\s*cardamomshunt\s*:.*?\*/\s*", re.DOTALL)
# Literals and comments are replaced in a single pass, so that a quote inside a comment
# or a comment marker inside a literal does not affect the rest. Executable comments
# (/*! and /*M!) and optimizer hints (/*+) stay in the shape.
_TOKEN = re.compile(
    r"""
    (?=['"`/\-\#\d])(?:
    (?P<literal>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    |(?P<identifier>`(?:[^`]|``)*`)
    |(?P<comment>/\*(?![!+]|M!).*?\*/|--(?=[\s\x00-\x1f]|$)[^\n]*|\#[^\n]*)
    |(?P<number>(?<![\w$.])(?:0x[0-9a-f]+|\d+(?:\.\d*)?(?:e[+-]?\d+)?))
    |(?P<open>['"`]|/\*(?![!+]|M!))
    )
    """,
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_LIST = re.compile(r"\?(?:\s*,\s*\?)+")
_ROWS = re.compile(r"\(\s*\?\s*\)(?:\s*,\s*\(\s*\?\s*\))+")
_SPACE = re.compile(r"\s+")
_WORD = re.compile(r"[a-z_$][\w$]*")
_CALL = re.compile(r"(`|[?\w$]+)\s*\(")
_OUTCOME_QUERY = re.compile(r"select cardamomshunt_outcome ?\( ?\? ?\)( as [`\w]+)?")
_USER_VARIABLE = re.compile(r"(?<!@)@(?!@)")
_STATE_CALL = re.compile(
    r"\b(?:last_insert_id\s*\(\s*\)"
    r"|(?:found_rows|row_count|connection_id|get_lock|release_lock"
    r"|release_all_locks|is_used_lock|is_free_lock)\s*\()"
)

_PURE_FUNCTIONS = frozenset(
    [
        "abs",
        "avg",
        "bit_and",
        "bit_or",
        "cast",
        "ceil",
        "ceiling",
        "char_length",
        "coalesce",
        "concat",
        "concat_ws",
        "convert",
        "count",
        "curdate",
        "current_date",
        "current_timestamp",
        "date",
        "date_add",
        "date_format",
        "date_sub",
        "datediff",
        "day",
        "dayofmonth",
        "dayofweek",
        "dense_rank",
        "extract",
        "field",
        "find_in_set",
        "first_value",
        "floor",
        "format",
        "from_unixtime",
        "greatest",
        "group_concat",
        "hex",
        "hour",
        "if",
        "ifnull",
        "instr",
        "isnull",
        "json_array",
        "json_contains",
        "json_extract",
        "json_object",
        "json_unquote",
        "lag",
        "last_value",
        "lead",
        "least",
        "left",
        "length",
        "locate",
        "lower",
        "lpad",
        "ltrim",
        "max",
        "md5",
        "min",
        "minute",
        "mod",
        "month",
        "now",
        "nullif",
        "power",
        "pow",
        "rank",
        "replace",
        "reverse",
        "right",
        "round",
        "row_number",
        "rpad",
        "rtrim",
        "second",
        "sha1",
        "sha2",
        "sign",
        "std",
        "stddev",
        "str_to_date",
        "substr",
        "substring",
        "substring_index",
        "sum",
        "time",
        "timestampdiff",
        "trim",
        "truncate",
        "unix_timestamp",
        "upper",
        "variance",
        "week",
        "weekday",
        "year",
    ]
)
_KEYWORDS_BEFORE_PARENTHESIS = frozenset(
    [
        "all",
        "and",
        "any",
        "as",
        "between",
        "by",
        "case",
        "distinct",
        "else",
        "end",
        "except",
        "exists",
        "from",
        "having",
        "in",
        "inner",
        "intersect",
        "interval",
        "is",
        "join",
        "like",
        "limit",
        "not",
        "on",
        "or",
        "over",
        "partition",
        "regexp",
        "rlike",
        "select",
        "some",
        "then",
        "union",
        "using",
        "values",
        "when",
        "where",
        "with",
        "xor",
    ]
)
_WRITE_KEYWORDS = frozenset(
    [
        "call",
        "create",
        "delete",
        "do",
        "drop",
        "execute",
        "for",
        "handler",
        "insert",
        "into",
        "load",
        "lock",
        "merge",
        "nextval",
        "procedure",
        "replace",
        "returning",
        "set",
        "truncate",
        "update",
    ]
)
_CALLABLE_WRITE_KEYWORDS = frozenset({"insert", "replace", "truncate"})
_WRITE_STATEMENTS = frozenset({"insert", "update", "delete", "replace", "do"})
_SESSION_STATE_KEYWORDS = frozenset(
    [
        "set",
        "use",
        "prepare",
        "execute",
        "deallocate",
        "savepoint",
        "release",
        "declare",
        "handler",
    ]
)
_UNSUPPORTED_KEYWORDS = frozenset(
    [
        "xa",
        "kill",
        "shutdown",
        "load",
        "lock",
        "unlock",
        "change",
        "reset",
        "purge",
        "stop",
        "install",
        "uninstall",
        "clone",
        "binlog",
        "delimiter",
    ]
)
_MULTI_STATEMENT_KEYWORDS = _WRITE_STATEMENTS | {"select", "with"}


class Classification(msgspec.Struct, frozen=True):
    """Kind of a statement, or None with the reason in `unsupported`."""

    kind: RequestKind | None
    unsupported: str = ""


def _supported(kind: RequestKind) -> Classification:
    return Classification(kind)


def _unsupported(reason: str) -> Classification:
    return Classification(None, reason)


def fingerprint_statement(statement: str) -> str:
    """Return a digest of a statement without its leading hints.

    >>> a = fingerprint_statement("/* cardamomshunt: deadline_ms=5 */ SELECT 1")
    >>> a == fingerprint_statement("SELECT 1") != fingerprint_statement("SELECT 2")
    True
    """
    match = _HINT_COMMENT.match(statement)
    text = statement[match.end() :] if match else statement
    data = text.strip().encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def _replace_token(match: re.Match[str]) -> str:
    group = match.lastgroup
    if group in ("literal", "number"):
        return "?"
    if group == "identifier":
        return "`"
    return " " if group == "comment" else "\x00"


def statement_shape(statement: str) -> str:
    """Return a statement in lower case, without comments and with "?" for literals.

    >>> statement_shape("SELECT a -- x\\n FROM t WHERE b IN (1, 'it''s')")
    'select a from t where b in (?)'
    """
    shape = _TOKEN.sub(_replace_token, statement).lower()
    shape = _SPACE.sub(" ", _LIST.sub("?", shape)).strip()
    return _ROWS.sub("(?)", shape)


def _has_only_pure_calls(shape: str) -> bool:
    for match in _CALL.finditer(shape):
        name = match[1]
        if name in _KEYWORDS_BEFORE_PARENTHESIS:
            continue
        # A schema-qualified name is a stored function, even if a pure function has the
        # same name.
        is_qualified = shape[: match.start()].rstrip().endswith(".")
        if name not in _PURE_FUNCTIONS or is_qualified:
            return False
    return True


def _is_plain_read(shape: str) -> bool:
    """Return whether a `SELECT` or `WITH` shape provably changes nothing."""
    if any(token in shape for token in ("@", ":=", "/*", ";")):
        return False
    for match in _WORD.finditer(shape):
        if match[0] not in _WRITE_KEYWORDS:
            continue
        is_call = shape[match.end() : match.end() + 2].lstrip()[:1] == "("
        if not (is_call and match[0] in _CALLABLE_WRITE_KEYWORDS):
            return False
    return _has_only_pure_calls(shape)


def _classify_transaction_end(word: str, shape: str) -> Classification:
    rest = shape.split()[1:]
    if rest[:1] == ["work"]:
        rest = rest[1:]
    if not rest:
        is_commit = word == "commit"
        return _supported(RequestKind.COMMIT if is_commit else RequestKind.ROLLBACK)
    if word == "rollback" and rest[0] == "to":
        return _supported(RequestKind.SESSION_STATE)
    return _unsupported(f"{word.upper()} with options is not supported")


def _classify_transaction_start(word: str, shape: str) -> Classification:
    rest = shape.split()[1:]
    if word == "begin" and rest in ([], ["work"]):
        return _supported(RequestKind.BEGIN)
    if word == "start" and rest[:1] == ["transaction"]:
        is_read_only = "read only" in shape
        return _supported(
            RequestKind.BEGIN_READ_ONLY if is_read_only else RequestKind.BEGIN
        )
    return _unsupported("expected BEGIN or START TRANSACTION")


def _classify_set(shape: str) -> Classification:
    if "sql_mode" in shape:
        return _unsupported("sql_mode cannot be changed through the proxy")
    if "autocommit" in shape:
        return _unsupported("autocommit cannot be changed through the proxy; use BEGIN")
    if " global " in shape or "@@global" in shape or "persist" in shape:
        return _unsupported("server settings cannot be changed through the proxy")
    return _supported(RequestKind.SESSION_STATE)


def _classify_show(shape: str) -> Classification:
    if re.match(r"show (count|warnings|errors|session|local|profile)", shape):
        return _supported(RequestKind.SESSION_STATE)
    return _supported(RequestKind.WRITE)


def _classify_query(word: str, shape: str) -> Classification:
    if "/*!" in shape or "/*m!" in shape:
        return _supported(RequestKind.IMPLICIT_COMMIT)
    if _OUTCOME_QUERY.fullmatch(shape):
        return _supported(RequestKind.OUTCOME_QUERY)
    if _STATE_CALL.search(shape) or _USER_VARIABLE.search(shape):
        return _supported(RequestKind.SESSION_STATE)
    if word in ("select", "with") and _is_plain_read(shape):
        return _supported(RequestKind.READ)
    return _supported(RequestKind.WRITE)


def _classify_multi_statement(shape: str) -> Classification:
    for part in shape.split(";"):
        word = _WORD.match(part.lstrip(" ("))
        if part.strip() and (word is None or word[0] not in _MULTI_STATEMENT_KEYWORDS):
            return _unsupported("multi-statement requests take SELECT and DML only")
    return _supported(RequestKind.IMPLICIT_COMMIT)


def _classify_single(word: str, shape: str) -> Classification:
    if word in ("commit", "rollback"):
        return _classify_transaction_end(word, shape)
    if word in ("begin", "start"):
        return _classify_transaction_start(word, shape)
    if word in _UNSUPPORTED_KEYWORDS:
        return _unsupported(f"{word.upper()} is not supported")
    if word == "set":
        return _classify_set(shape)
    if word == "create" and shape.startswith("create temporary"):
        return _supported(RequestKind.SESSION_STATE)
    if word in _SESSION_STATE_KEYWORDS:
        return _supported(RequestKind.SESSION_STATE)
    if word == "show":
        return _classify_show(shape)
    if word in _WRITE_STATEMENTS or word in ("select", "with"):
        return _classify_query(word, shape)
    if word in ("describe", "desc", "explain", "table", "values"):
        return _supported(RequestKind.WRITE)
    return _supported(RequestKind.IMPLICIT_COMMIT)


def classify_shape(shape: str) -> Classification:
    """Classify a shape made by `statement_shape`."""
    shape = shape.rstrip("; ")
    if "\x00" in shape:
        return _unsupported("unterminated quote or comment")
    word = _WORD.match(shape.lstrip("( "))
    if word is None:
        return _unsupported("expected a statement that starts with a keyword")
    if ";" in shape:
        return _classify_multi_statement(shape)
    return _classify_single(word[0], shape)


class StatementClassifier:
    """Classify statements with a bounded least-recently-used cache of shapes.

    >>> StatementClassifier().classify("SELECT a FROM t WHERE id = 7").kind
    <RequestKind.READ: 'read'>
    >>> StatementClassifier().classify("SELECT a FROM t FOR UPDATE").kind
    <RequestKind.WRITE: 'write'>
    """

    def __init__(self, *, n_shapes_max: int = N_SHAPES_MAX) -> None:
        self._n_shapes_max = n_shapes_max
        self._by_shape: OrderedDict[str, Classification] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_shape)

    def classify(self, statement: str) -> Classification:
        """Return the classification of a statement."""
        shape = statement_shape(statement)
        known = self._by_shape.get(shape)
        if known is not None:
            self._by_shape.move_to_end(shape)
            return known
        classification = classify_shape(shape)
        if len(shape) <= N_SHAPE_CHARACTERS_MAX:
            self._by_shape[shape] = classification
            if len(self._by_shape) > self._n_shapes_max:
                self._by_shape.popitem(last=False)
        return classification
