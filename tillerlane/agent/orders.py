"""Fenced orders to a target's runner; stale fences are refused here for targets without checks."""

import collections
from typing import Any

from tillerlane.agent import target as targets
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.runners import core as runners

__all__ = ["OrderExecutor"]

MAX_OUTCOMES = 200


class OrderExecutor:
    """Executes the orders of one target, each once.

    Parameters
    ----------
    state : targets.TargetState
        The target.
    """

    def __init__(self, state: targets.TargetState) -> None:
        self._state = state
        self._outcomes: collections.OrderedDict[str, str] = collections.OrderedDict()

    async def execute(self, arguments: dict[str, Any]) -> dict[str, str]:
        """Execute an order once; a resent one gets the outcome of the first.

        Raises
        ------
        faults.FaultError
            ``stale_fence`` if an order with a higher fence was accepted before, ``target_failed``
            if the target did not reply; the sender retries the order.
        """
        order_id = arguments["order_id"]
        known = self._outcomes.get(order_id)
        if known is not None:
            return {"outcome": known}
        term, index = arguments["fence"]
        fence = (int(term), int(index))
        if fence < self._state.fence:
            message = (
                f"{self._state.name}: got stale fence {fence}, the latest is {self._state.fence}"
            )
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.STALE_FENCE, message))
        self._state.fence = fence
        order = runners.Order(fence, arguments["action"], arguments["model"])
        try:
            self._state.models = set(await self._state.client.give_order(order))
        except runners.TargetError as error:
            raise faults.FaultError(
                faults.new_fault(kinds.ErrorKind.TARGET_FAILED, str(error))
            ) from error
        self._outcomes[order_id] = "done"
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
        return {"outcome": "done"}
