"""Signals that reach a daemon before it is ready for them."""

import subprocess
import sys


def test_a_reload_signal_during_the_start_ends_nothing():
    # Guards against a daemon that a reload ends before its handlers are installed.
    code = (
        "import os, signal, sys\n"
        "from cardamomshunt_platform import __main__\n"
        "__main__._load_platform = lambda: os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.argv = ['daemon', 'control']\n"
        "try:\n"
        "    __main__.main()\n"
        "except AttributeError:\n"
        "    print('alive')\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False
    )
    assert run.stdout == "alive\n", (run.returncode, run.stderr)
