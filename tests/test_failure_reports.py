"""A failing test is reported whatever garbage is collected meanwhile."""

import shutil
import subprocess
import sys
from pathlib import Path

_ROOT_CONFTEST = Path(__file__).parent.parent / "conftest.py"
_N_LINES = 3_000
_TIMEOUT_S = 60

# A long module, so that the collector runs while pytest parses it for the traceback.
_FAILING_MODULE = """
import ast
import gc


class Leaked:
    is_over = False

    def __init__(self):
        self.cycle = self

    def __del__(self):
        if not Leaked.is_over:
            ast.parse("1")
            Leaked()


def teardown_module():
    Leaked.is_over = True


def test_fails():
    Leaked()
    gc.set_threshold(2_000, 1, 1)
    assert gc is ast
""" + "".join(f"VALUES_{i} = [{i}, {i}]\n" for i in range(_N_LINES))


def test_a_failure_is_reported_while_finalizers_use_the_parser(tmp_path: Path) -> None:
    """Guard against a run that ends with an internal error at its first failure."""
    shutil.copy(_ROOT_CONFTEST, tmp_path)
    (tmp_path / "test_failing.py").write_text(_FAILING_MODULE, encoding="utf-8")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(tmp_path)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    assert run.returncode == 1, run.stdout + run.stderr
    assert "1 failed" in run.stdout
