"""Exit codes of the command line, which are stable between versions."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command; documented in docs/cli.md."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NO_ANSWER = 3
    REFUSED = 4
    STALE_BASE = 5
    NOT_IN_FORCE = 6
    PROBLEMS = 7
    NO_LEADER = 8


class CommandError(Exception):
    """Error that ends a command with a message for the operator and an exit code."""

    def __init__(self, text: str, exit_code: ExitCode) -> None:
        super().__init__(text)
        self.exit_code = exit_code
