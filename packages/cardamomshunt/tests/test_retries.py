"""Tests of retry decisions: only safe requests are repeated, within the budget."""

import pytest
from cardamomshunt.effects import AttemptOutcome
from cardamomshunt.retries import (
    Action,
    AtMostOnceRetryPolicy,
    RepeatRule,
    RetryBudget,
)
from cardamomshunt.verdict import Verdict

HARMLESS, KEYED, NEVER = RepeatRule.HARMLESS, RepeatRule.KEYED, RepeatRule.NEVER
REPEAT, REFUSE, COMPLETE = Action.REPEAT, Action.REFUSE, Action.COMPLETE


@pytest.mark.parametrize(
    ("outcome", "rule", "may_have_run", "action", "verdict"),
    [
        ("ok", NEVER, False, COMPLETE, None),
        ("backend_error", NEVER, False, COMPLETE, None),
        ("backend_error", KEYED, True, REFUSE, Verdict.MAY_HAVE_RUN),
        ("lost", NEVER, False, REFUSE, Verdict.MAY_HAVE_RUN),
        ("lost", KEYED, False, REPEAT, None),
        ("lost", HARMLESS, False, REPEAT, None),
        ("not_acknowledged", NEVER, False, REFUSE, Verdict.MAY_HAVE_RUN),
        ("not_acknowledged", KEYED, False, REPEAT, None),
        ("not_sent", NEVER, False, REPEAT, None),
        ("fenced", NEVER, False, Action.REPEAT_IN_NEW_TERM, None),
        ("key_reused", KEYED, True, REFUSE, Verdict.NOT_RUN),
        ("key_revoked", KEYED, False, REFUSE, Verdict.NOT_RUN),
    ],
)
def test_decision(
    outcome: str,
    rule: RepeatRule,
    may_have_run: bool,
    action: Action,
    verdict: Verdict | None,
) -> None:
    decision = AtMostOnceRetryPolicy().decide(
        AttemptOutcome(outcome),
        rule,
        n_attempts=1,
        may_have_run=may_have_run,
        budget=RetryBudget(0.1),
        detail="",
    )
    assert decision.action is action
    refusal = decision.refusal
    assert (refusal.verdict if refusal is not None else None) is verdict


def test_budget_bounds_retries_to_a_share_of_requests() -> None:
    budget = RetryBudget(0.1)
    while budget.try_acquire():
        pass
    n_retries = 0
    for _ in range(1_000):
        budget.on_request()
        n_retries += budget.try_acquire()
    assert 95 <= n_retries <= 100


def test_repeat_without_budget_is_refused_as_may_have_run() -> None:
    budget = RetryBudget(0.0)
    while budget.try_acquire():
        pass
    decision = AtMostOnceRetryPolicy().decide(
        AttemptOutcome.LOST,
        KEYED,
        n_attempts=1,
        may_have_run=False,
        budget=budget,
        detail="",
    )
    assert decision.refusal is not None
    assert decision.refusal.verdict is Verdict.MAY_HAVE_RUN
