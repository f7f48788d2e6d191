"""Texts that fake runners write: any token can be foretold from the generation and its offset.

A checker that knows a generation's id can so tell a lost, doubled or crossed token without
asking any daemon.
"""

import hashlib
import math
import random

__all__ = ["make_token", "sample_length", "seed_of"]

_FIELDS = ("Title", "Author", "Printer", "Place", "Year", "Format", "Leaves", "Binding", "Notes")
_WORDS = (
    *("nordlys", "saga", "bind", "papir", "trykk", "kart", "fjord", "vinter", "skinn", "gull"),
    *("hefte", "blad", "Bergen", "Oslo", "forlag", "utgave", "kopi", "marg", "rygg", "snitt"),
)
WORDS_A_LINE = 7


def seed_of(text: str) -> int:
    """A seed that is the same on every run."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big")


def make_token(generation_id: str, offset: int) -> str:
    """Token number `offset` of a generation: words in lines, a field name first."""
    seed = seed_of(generation_id)
    line, column = divmod(offset, WORDS_A_LINE)
    if column == 0:
        return f"{_FIELDS[(seed + line) % len(_FIELDS)]}:"
    word = _WORDS[(seed // 7 + offset * 31) % len(_WORDS)]
    ending = f" {seed % 997}.{offset}\n" if column == WORDS_A_LINE - 1 else ""
    return f" {word}{ending}"


def sample_length(seed: int, median: float, spread: float, max_tokens: int) -> int:
    """Length with a long tail (log-normal), in tokens, the same for the same seed."""
    drawn = random.Random(seed).lognormvariate(math.log(median), spread)
    return max(1, min(max_tokens, round(drawn)))
