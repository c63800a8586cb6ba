from camphorpath.placement.budget import RetryBudget


def test_repeats_of_all_daemons_stay_within_the_budget():
    """Guards against retries that multiply the load of a service that fails."""
    daemons = 8
    total = 0
    for _ in range(daemons):
        budget = RetryBudget(ratio=0.2, window_s=10, allowance=56)
        for _ in range(20):
            budget.note_call('llm', 1)
            total += budget.take('llm', 1, daemons)
    assert 0 < total <= 0.2 * daemons * 20 + 56


def test_window_slides():
    """Guards against a budget that never comes back."""
    budget = RetryBudget(ratio=0, window_s=10, allowance=2)
    assert budget.take('llm', 0, 1)
    assert not budget.take('llm', 9, 1)
    assert budget.take('llm', 11, 1)


def test_services_have_budgets_of_their_own():
    """Guards against failures of one service that stop the retries of another."""
    budget = RetryBudget(ratio=0, window_s=10, allowance=2)
    assert budget.take('llm', 0, 1)
    assert budget.take('ledger', 0, 1)
