"""Memory budget of one entry: bytes of request bodies and of buffered answers.

``docs/design/memory-budget.md`` describes what is counted and what happens as the budget fills.
"""

from tillerlane.gateway.memory.accounts import Account, Budget, Refused
from tillerlane.gateway.memory.readers import UnsentBytes

__all__ = ["Account", "Budget", "Refused", "UnsentBytes"]
