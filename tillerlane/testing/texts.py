"""Output texts of fake runners, in which each token is determined by generation id and offset.

A checker that knows the generation id can therefore detect lost, duplicated or mixed-up tokens
without querying any daemon.
"""

import hashlib
import math
import random

__all__ = ["compute_seed", "make_token", "sample_length"]

_FIELDS = ("Title", "Author", "Printer", "Place", "Year", "Format", "Leaves", "Binding", "Notes")
_WORDS = (
    *("nordlys", "saga", "bind", "papir", "trykk", "kart", "fjord", "vinter", "skinn", "gull"),
    *("hefte", "blad", "Bergen", "Oslo", "forlag", "utgave", "kopi", "marg", "rygg", "snitt"),
)
WORDS_PER_LINE = 7


def compute_seed(text: str) -> int:
    """Derive a seed from a text, identical on every run."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big")


def make_token(generation_id: str, offset: int) -> str:
    """Return the token of a generation at an offset; each line starts with a field name."""
    seed = compute_seed(generation_id)
    line, column = divmod(offset, WORDS_PER_LINE)
    if column == 0:
        return f"{_FIELDS[(seed + line) % len(_FIELDS)]}:"
    word = _WORDS[(seed // 7 + offset * 31) % len(_WORDS)]
    ending = f" {seed % 997}.{offset}\n" if column == WORDS_PER_LINE - 1 else ""
    return f" {word}{ending}"


def sample_length(seed: int, median: float, spread: float, max_tokens: int) -> int:
    """Sample a length in tokens from a log-normal distribution, reproducible by its seed."""
    sample = random.Random(seed).lognormvariate(math.log(median), spread)
    return max(1, min(max_tokens, round(sample)))
