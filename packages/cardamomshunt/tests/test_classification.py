"""Tests of the classification: a statement that may write is never a plain read."""

import pytest
from cardamomshunt.classification import StatementClassifier
from cardamomshunt.effects import RequestKind

READ = RequestKind.READ
WRITE = RequestKind.WRITE
STATE = RequestKind.SESSION_STATE
IMPLICIT = RequestKind.IMPLICIT_COMMIT

CASES = [
    ("SELECT 1", READ),
    ("select a from t where b = 'it''s; -- /* x' and c = 1", READ),
    ("SELECT a FROM t WHERE b = 'it\\'s' -- FOR UPDATE\n LIMIT 1", READ),
    ('SELECT a FROM `for update` WHERE b = "x\\"; DELETE FROM t"', READ),
    ("(SELECT a FROM t) UNION (SELECT b FROM u)", READ),
    ("WITH x AS (SELECT 1) SELECT COUNT(*) FROM x", READ),
    ("SELECT REPLACE(a, 'x', 'y') FROM t;", READ),
    ("/* cardamomshunt: session=s1 */ SELECT a FROM t # FOR UPDATE", READ),
    ("SELECT a FROM t WHERE b = 5--1", READ),
    ("SELECT a FROM t FOR UPDATE", WRITE),
    ("SELECT a FROM t FOR/**/SHARE", WRITE),
    ("SELECT a FROM t LOCK IN SHARE MODE", WRITE),
    ("SELECT a INTO OUTFILE 'f' FROM t", WRITE),
    ("SELECT a FROM t LIMIT 1.INTO OUTFILE 'f'", WRITE),
    ("SELECT a FROM t LIMIT 1.0FOR SHARE", WRITE),
    ("SELECT sleep(5)", WRITE),
    ("SELECT `count`(a) FROM t", WRITE),
    ("SELECT shop.count(a) FROM t", WRITE),
    ("SELECT a FROM t WHERE next_number() > 1", WRITE),
    ("WITH x AS (SELECT 1) DELETE FROM t", WRITE),
    ("SELECT /*+ SET_VAR(sort_buffer_size = 1) */ a FROM t", WRITE),
    ("SELECT @@version", WRITE),
    ("INSERT INTO t VALUES (1, 'a'), (2, 'b')", WRITE),
    ("SHOW TABLES", WRITE),
    ("SELECT @a := 1", STATE),
    ("SELECT LAST_INSERT_ID()", STATE),
    ("INSERT INTO t VALUES (LAST_INSERT_ID(), 2)", STATE),
    ("SELECT GET_LOCK('a', 1)", STATE),
    ("SET @a = 1", STATE),
    ("SAVEPOINT a", STATE),
    ("ROLLBACK TO SAVEPOINT a", STATE),
    ("CREATE TEMPORARY TABLE x (a INT)", STATE),
    ("SELECT 1 /*!50000 INTO OUTFILE 'f' */", IMPLICIT),
    ("SELECT 1 /*M!100000 FOR UPDATE */", IMPLICIT),
    ("SELECT 1; DELETE FROM t", IMPLICIT),
    ("ALTER TABLE t ADD b INT", IMPLICIT),
    ("CALL place_order(1)", IMPLICIT),
    ("SELECT cardamomshunt_outcome('k1')", RequestKind.OUTCOME_QUERY),
    ("BEGIN", RequestKind.BEGIN),
    ("start transaction", RequestKind.BEGIN),
    ("START TRANSACTION READ ONLY", RequestKind.BEGIN_READ_ONLY),
    ("COMMIT", RequestKind.COMMIT),
    ("rollback work;", RequestKind.ROLLBACK),
    ("COMMIT AND CHAIN", None),
    ("BEGIN; DELETE FROM t", None),
    ("SELECT 1; COMMIT", None),
    ("/*! BEGIN */", None),
    ("SET autocommit = 0", None),
    ("SET SESSION sql_mode = 'NO_BACKSLASH_ESCAPES'", None),
    ("SELECT 'open", None),
    ("SELECT 1 /* open", None),
    ("XA START 'x'", None),
    ("", None),
]


@pytest.mark.parametrize(("statement", "kind"), CASES, ids=[c[0] for c in CASES])
def test_kind(statement: str, kind: RequestKind | None) -> None:
    classification = StatementClassifier().classify(statement)
    assert classification.kind is kind
    assert bool(classification.unsupported) is (kind is None)


def test_cache_is_bounded_and_shared_by_literals() -> None:
    classifier = StatementClassifier(n_shapes_max=3)
    for index in range(10):
        classifier.classify(f"SELECT a FROM t WHERE b = {index} AND c = '{index}'")
    assert len(classifier) == 1
    for index in range(10):
        classifier.classify(f"SELECT a{index} FROM t")
    assert len(classifier) == 3
