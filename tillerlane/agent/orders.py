"""Orders to a target's runner: the agent refuses an older fence, for targets that do not check."""

import collections
from typing import Any

from tillerlane.agent import target as targets
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.runners import core as runners

__all__ = ["OrderBook"]

MAX_REMEMBERED = 200


class OrderBook:
    """Orders that one target's agent has obeyed.

    Parameters
    ----------
    state : targets.TargetState
        The target.
    """

    def __init__(self, state: targets.TargetState) -> None:
        self._state = state
        self._outcomes: collections.OrderedDict[str, str] = collections.OrderedDict()

    async def obey(self, arguments: dict[str, Any]) -> dict[str, str]:
        """Carry out an order once; a resent one gets its first outcome.

        Raises
        ------
        faults.FaultError
            ``stale_fence`` if a later order was obeyed already, ``target_failed`` if the target
            did not answer; the order is given again.
        """
        order_id = arguments["order_id"]
        known = self._outcomes.get(order_id)
        if known is not None:
            return {"outcome": known}
        term, index = arguments["fence"]
        fence = (int(term), int(index))
        if fence < self._state.fence:
            message = f"{self._state.name}: got fence {fence}, obeyed {self._state.fence} already"
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
        while len(self._outcomes) > MAX_REMEMBERED:
            self._outcomes.popitem(last=False)
        return {"outcome": "done"}
