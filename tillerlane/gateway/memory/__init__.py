"""Memory budget of one process: bytes of connections, requests and buffered answers.

``docs/design/memory-budget.md`` describes what is counted and what happens as the budget fills.
"""

from tillerlane.gateway.memory.accounts import (
    Account,
    Budget,
    Holder,
    Holding,
    Refused,
)
from tillerlane.gateway.memory.readers import UnsentBytes

__all__ = ["Account", "Budget", "Holder", "Holding", "Refused", "UnsentBytes"]
