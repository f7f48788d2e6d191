"""Settings of the randomized tests: fixed examples in CI, random and many with ``make fuzz``."""

import os

import hypothesis

__all__ = ["FUZZ_VARIABLE", "choose"]

FUZZ_VARIABLE = "TILLERLANE_FUZZ"
FUZZ_FACTOR = 10


def choose(examples: int, steps: int = 50) -> hypothesis.settings:
    """Settings for a test.

    Parameters
    ----------
    examples : int
        Examples in CI; `FUZZ_FACTOR` times as many with random seeds under ``make fuzz``.
    steps : int
        Steps of a stateful test.
    """
    fuzzing = bool(os.environ.get(FUZZ_VARIABLE))
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    return hypothesis.settings(
        derandomize=not fuzzing,
        max_examples=examples * (FUZZ_FACTOR if fuzzing else 1),
        stateful_step_count=steps,
        deadline=None,
        phases=[*phases, hypothesis.Phase.shrink] if fuzzing else phases,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
