"""Settings of the randomized tests: fixed examples in CI, more and random ones in ``make fuzz``."""

import os

import hypothesis

__all__ = ["FUZZ_VARIABLE", "choose"]

FUZZ_VARIABLE = "TILLERLANE_FUZZ"
FUZZ_FACTOR = 10


def choose(examples: int, steps: int = 50) -> hypothesis.settings:
    """Build the settings of a test.

    Parameters
    ----------
    examples : int
        Number of examples in CI; ``make fuzz`` runs `FUZZ_FACTOR` times as many, with random seeds.
    steps : int
        Number of steps of a stateful test.
    """
    is_fuzzing = bool(os.environ.get(FUZZ_VARIABLE))
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    return hypothesis.settings(
        derandomize=not is_fuzzing,
        max_examples=examples * (FUZZ_FACTOR if is_fuzzing else 1),
        stateful_step_count=steps,
        deadline=None,
        phases=[*phases, hypothesis.Phase.shrink] if is_fuzzing else phases,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
