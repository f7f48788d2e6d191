"""The replicated state: what the keepers agree on, changed only by applying log entries.

Applying is deterministic: it reads no clock and draws no number.
"""

import collections
import dataclasses
from typing import Any

import msgspec

from tillerlane.config import store as stores
from tillerlane.keeper import claims, commands, publications
from tillerlane.peers import messages

__all__ = ["StateMachine"]

MAX_REMEMBERED_CHANGES = 20_000
"""Change ids whose first answer is remembered: over a week at 2,300 changes a day."""
MAX_HISTORY = 1_000
MAX_ORDERS_KEPT = 500
MAX_QUARANTINED = 1_000
"""Requests held back at most: all of them, written as one delta, are 248 kB, which an entry's link
of 5 Mbit/s carries in 0.4 s when it starts.  Daemons hold back further ones by what they hear,
until all of them stop."""
FORMAT = 1


@dataclasses.dataclass(slots=True)
class OrderRecord:
    """An order to a runner; its fence is (term, index) of its entry."""

    order_id: str
    target: str
    action: str
    model: str
    at_ms: int
    fence: tuple[int, int]
    outcome: str = ""


class StateMachine:
    """State of the replicated log.

    Attributes
    ----------
    store : stores.Store
        Configuration in force.
    claims : claims.ClaimBook
        Requests that may not be repeated.
    voters : dict
        Keeper to `commands.Voter`.
    orders : dict
        Order id to `OrderRecord`.
    pins : set
        (runner, model) that demand does not move.
    published : publications.Publisher
        The published document of the highest version.
    """

    def __init__(self) -> None:
        self.store = stores.Store()
        self.claims = claims.ClaimTable()
        self.published = publications.PublicationRegister()
        self.voters: dict[str, commands.Voter] = {}
        self.orders: collections.OrderedDict[str, OrderRecord] = collections.OrderedDict()
        self.pins: set[tuple[str, str]] = set()
        self.history: collections.deque[dict[str, Any]] = collections.deque(maxlen=MAX_HISTORY)
        self._answers: collections.OrderedDict[str, dict[str, Any]] = collections.OrderedDict()

    def apply(self, term: int, index: int, command: commands.Command) -> dict[str, Any]:
        """Apply one entry and give its answer."""
        match command:
            case commands.Change():
                return self._answer_once(command.change_id, lambda: self._change(command))
            case commands.Drain():
                return self._answer_once(command.change_id, lambda: self._drain(command))
            case commands.Evacuate():
                return self._evacuate(command)
            case commands.Quarantine():
                return self._quarantine(command)
            case commands.ClaimOpen():
                return self.claims.open(command)
            case commands.ClaimMove():
                return self.claims.move(command)
            case commands.ClaimSettle():
                return self.claims.settle(command)
            case commands.ClaimRelease():
                return self.claims.release(command)
            case commands.Publish():
                return self.published.publish(command)
            case commands.Bootstrap():
                self.voters = dict(command.voters)
            case commands.VoterAdd():
                self.voters[command.name] = commands.Voter(command.address, command.disk_id)
            case commands.VoterRemove():
                self.voters.pop(command.name, None)
            case commands.Order():
                return self._order(command, (term, index))
            case commands.OrderDone():
                return self._finish_order(command)
            case commands.Pin():
                pair = (command.target, command.model)
                (self.pins.add if command.pinned else self.pins.discard)(pair)
        return {"done": True}

    def _answer_once(self, change_id: str, work: Any) -> dict[str, Any]:
        """Give the first answer again to a change that was resent."""
        known = self._answers.get(change_id)
        if known is not None:
            return {**known, "resent": True}
        answer = work()
        self._answers[change_id] = answer
        while len(self._answers) > MAX_REMEMBERED_CHANGES:
            self._answers.popitem(last=False)
        return answer

    def _change(self, command: commands.Change) -> dict[str, Any]:
        version = self.store.version
        if command.against != version:
            return {"accepted": False, "version": version, "against": command.against}
        if not command.puts and not command.deletes:
            return {"accepted": True, "version": version}
        puts = {(item.kind, item.name): item.body for item in command.puts}
        deletes = [(item.kind, item.name) for item in command.deletes]
        self.store.apply_change(version + 1, puts, deletes)
        self._remember(command.actor, command.at_ms, command.change_id, command.note)
        return {"accepted": True, "version": version + 1}

    def _drain(self, command: commands.Drain) -> dict[str, Any]:
        key = (stores.DRAINS, command.name)
        is_drained = key in self.store.get_bodies()
        if is_drained != command.leaving:
            puts = {key: "{}"} if command.leaving else {}
            deletes = [] if command.leaving else [key]
            self.store.apply_change(self.store.version + 1, puts, deletes)
            verb = "drain" if command.leaving else "undrain"
            note = f"{verb} {command.name}"
            self._remember(command.actor, command.at_ms, command.change_id, note)
        return {"accepted": True, "version": self.store.version}

    def _evacuate(self, command: commands.Evacuate) -> dict[str, Any]:
        version = self.store.version
        if (command.data_hall in self.store.list_names(stores.EVACUATIONS)) == command.evacuated:
            return {"accepted": True, "version": version}
        if command.against != version:
            return {"accepted": False, "version": version, "against": command.against}
        key = (stores.EVACUATIONS, command.data_hall)
        puts = {key: "{}"} if command.evacuated else {}
        deletes = [] if command.evacuated else [key]
        self.store.apply_change(version + 1, puts, deletes)
        verb = "evacuate" if command.evacuated else "take back"
        note = f"{verb} {command.data_hall}"
        self._remember(command.actor, command.at_ms, "", note)
        return {"accepted": True, "version": version + 1}

    def _quarantine(self, command: commands.Quarantine) -> dict[str, Any]:
        version = self.store.version
        held = self.store.list_names(stores.QUARANTINE)
        if (command.fingerprint in held) == command.held:
            return {"accepted": True, "version": version}
        if command.held and len(held) >= MAX_QUARANTINED:
            return {"accepted": False, "version": version}
        key = (stores.QUARANTINE, command.fingerprint)
        evidence = {"at_ms": command.at_ms, "target_ids": command.target_ids}
        puts = {key: msgspec.json.encode(evidence).decode()} if command.held else {}
        deletes = [] if command.held else [key]
        self.store.apply_change(version + 1, puts, deletes)
        verb = "hold back" if command.held else "let run again"
        self._remember(command.actor, command.at_ms, "", f"{verb} {command.fingerprint}")
        return {"accepted": True, "version": version + 1}

    def _remember(self, actor: str, at_ms: int, change_id: str, note: str) -> None:
        entry = {
            "version": self.store.version,
            "actor": actor,
            "at_ms": at_ms,
            "change_id": change_id,
            "note": note,
        }
        self.history.append(entry)

    def _order(self, command: commands.Order, fence: tuple[int, int]) -> dict[str, Any]:
        known = self.orders.get(command.order_id)
        if known is None:
            known = OrderRecord(
                command.order_id,
                command.target,
                command.action,
                command.model,
                command.at_ms,
                fence,
            )
            self.orders[command.order_id] = known
            self._forget_orders()
        return {"fence": list(known.fence), "outcome": known.outcome}

    def _forget_orders(self) -> None:
        done = [key for key, item in self.orders.items() if item.outcome]
        for key in done[: max(0, len(self.orders) - MAX_ORDERS_KEPT)]:
            del self.orders[key]

    def _finish_order(self, command: commands.OrderDone) -> dict[str, Any]:
        known = self.orders.get(command.order_id)
        if known is not None and not known.outcome:
            known.outcome = command.outcome
        return {"done": known is not None}

    # Snapshots

    def dump(self) -> bytes:
        """The whole state for a snapshot."""
        values = {
            "format": FORMAT,
            "version": self.store.version,
            "entities": [dataclasses.asdict(item) for item in self.store.get_entities()],
            "answers": list(self._answers.items()),
            "history": list(self.history),
            "claims": self.claims.dump(),
            "voters": self.voters,
            "orders": [dataclasses.asdict(item) for item in self.orders.values()],
            "pins": sorted(self.pins),
            "published": self.published.dump(),
        }
        return msgspec.json.encode(values)

    def load(self, data: bytes) -> None:
        """Take over a snapshot."""
        values = msgspec.json.decode(data)
        if values["format"] != FORMAT:
            raise ValueError(f"got snapshot format {values['format']}, expected {FORMAT}")
        entities = [messages.Entity(**item) for item in values["entities"]]
        self._answers = collections.OrderedDict(
            (change_id, answer) for change_id, answer in values["answers"]
        )
        self.history = collections.deque(values["history"], maxlen=MAX_HISTORY)
        self.claims.load(values["claims"])
        self.voters = {name: commands.Voter(**voter) for name, voter in values["voters"].items()}
        self.orders = collections.OrderedDict()
        for item in values["orders"]:
            item["fence"] = tuple(item["fence"])
            self.orders[item["order_id"]] = OrderRecord(**item)
        self.pins = {(target, model) for target, model in values["pins"]}
        self.store.restore(values["version"], entities)
        self.published.load(values.get("published"))
