"""Queries between daemons: events, status, history, demand, orders and placement."""

import asyncio
import time
from typing import Any

from tillerlane.daemon import core as daemons
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.members import view as views
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["gather_status", "gather_timeline", "query_all", "register_queries"]

MAX_CONCURRENT_QUERIES = 64


def register_queries(daemon: daemons.Daemon) -> None:
    """Register the queries of this module with the daemon."""
    daemon.queries["timeline"] = lambda arguments: _get_timeline(daemon, arguments)
    daemon.queries["status"] = lambda arguments: get_status(daemon)
    daemon.queries["cancel"] = lambda arguments: _cancel(daemon, arguments)
    daemon.queries["demand"] = lambda arguments: _get_demand(daemon)
    daemon.queries["order"] = lambda arguments: _execute_order(daemon, arguments)
    daemon.queries["placement"] = lambda arguments: _get_placement(daemon)
    daemon.queries["history"] = lambda arguments: _get_history(daemon)


def _get_timeline(daemon: daemons.Daemon, arguments: dict[str, Any]) -> list[dict[str, Any]]:
    events = timelines.select_events(
        daemon.timeline.read(),
        request_id=arguments.get("request_id", ""),
        generation_id=arguments.get("generation_id", ""),
        since_ms=arguments.get("since_ms", 0),
    )
    return [event.to_json() for event in events]


def _get_demand(daemon: daemons.Daemon) -> dict[str, Any]:
    return {
        "targets": daemon.agent.build_demand() if daemon.agent else [],
        "unserved": daemon.callers.dispatcher.pop_unserved() if daemon.callers else [],
    }


async def _execute_order(daemon: daemons.Daemon, arguments: dict[str, Any]) -> dict[str, str]:
    if daemon.agent is None:
        fault = faults.new_fault(kinds.ErrorKind.NOT_FOUND, "this daemon is not an agent")
        raise faults.FaultError(fault)
    return await daemon.agent.execute_order(arguments)


async def _get_placement(daemon: daemons.Daemon) -> dict[str, Any]:
    """Return the placement known to the leader; other keepers query the leader."""
    if daemon.keeper is None or daemon.placement is None:
        return {}
    own = daemon.keeper.replica
    leader = daemon.members.find(own.leader)
    if own.has_lease or leader is None or own.leader == own.name:
        return daemon.placement.get_status()
    return await daemon.query_daemon(leader, "placement", {})


def _get_history(daemon: daemons.Daemon) -> list[dict[str, Any]]:
    return list(daemon.keeper.replica.state_machine.history) if daemon.keeper else []


def _cancel(daemon: daemons.Daemon, arguments: dict[str, Any]) -> dict[str, bool]:
    """Cancel a generation that this agent holds."""
    if daemon.agent is None:
        return {"found": False}
    for executor in daemon.agent.executors.values():
        generation = executor.state.held.get(arguments["generation_id"])
        if generation is not None:
            executor.cancel(generation, kinds.ErrorKind.CANCELLED, "cancelled by an operator")
            return {"found": True}
    return {"found": False}


def get_status(daemon: daemons.Daemon) -> dict[str, Any]:
    """Return the state of one daemon as shown to operators."""
    own = daemon.settings
    status: dict[str, Any] = {
        "daemon": own.daemon,
        "data_hall": own.data_hall,
        "roles": [role.value for role in own.roles],
        "version": daemon.store.version,
        "leaving": daemon.stopping,
        "ready": daemon.is_ready,
        "home_keeper": daemon.client.home_name if daemon.client.home else None,
        "uptime_s": round(time.time() - daemon.started_at, 1),
        "links": _get_link_counters(daemon),
    }
    if daemon.callers is not None:
        status["requests"] = daemon.callers.dispatcher.active
    if daemon.keeper is not None:
        status["keeper"] = daemon.keeper.get_status()
    if daemon.agent is not None:
        status["targets"] = _get_targets(daemon)
    return status


def _get_link_counters(daemon: daemons.Daemon) -> dict[str, int]:
    found = daemon.node.get_links()
    return {
        "open": len(found),
        "bytes_in": sum(link.bytes_in for link in found),
        "bytes_out": sum(link.bytes_out for link in found),
        "messages_in": sum(link.messages_in for link in found),
        "messages_out": sum(link.messages_out for link in found),
    }


def _get_targets(daemon: daemons.Daemon) -> list[dict[str, Any]]:
    assert daemon.agent is not None
    now = asyncio.get_running_loop().time()
    targets = []
    for executor in daemon.agent.executors.values():
        state = executor.state
        stalls = [now - max(item.last_token_at, item.arrived) for item in state.waiting]
        stalls += [now - max(item.last_token_at, item.arrived) for item in state.paused]
        stalls += [now - max(item.last_token_at, item.running_since) for item in state.running]
        targets.append(
            {
                "target": state.name,
                "kind": state.kind.value,
                "running": len(state.running),
                "waiting": len(state.waiting),
                "paused": len(state.paused),
                "memory_used": state.memory_used,
                "memory_total": state.memory_total,
                "preemptions": state.preemptions,
                "leaving": state.leaving,
                "healthy": state.healthy,
                "models": sorted(state.models),
                "worst_stall_s": round(max(stalls, default=0.0), 3),
            }
        )
    return targets


async def query_all(
    daemon: daemons.Daemon, subject: str, arguments: dict[str, Any]
) -> tuple[dict[str, Any], list[str]]:
    """Query all daemons concurrently; return the replies and the daemons that did not reply."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    members = {member.daemon_id: member for member in daemon.members.list_all()}
    members.setdefault(daemon.settings.daemon, daemon.announcer.member)

    async def query_one(member: messages.Member) -> Any:
        async with semaphore:
            if member.state == views.GONE:
                return None
            try:
                return await daemon.query_daemon(member, subject, arguments)
            except (links.LinkLost, OSError):
                return None

    replies = await asyncio.gather(*(query_one(member) for member in members.values()))
    reply_by_daemon = dict(zip(members, replies, strict=True))
    missing = sorted(name for name, reply in reply_by_daemon.items() if reply is None)
    return {name: reply for name, reply in reply_by_daemon.items() if reply is not None}, missing


async def gather_timeline(daemon: daemons.Daemon, arguments: dict[str, Any]) -> dict[str, Any]:
    """Collect all daemons' events in causal order, and the names of missing daemons."""
    rings, missing = await query_all(daemon, "timeline", arguments)
    parsed = [[timelines.Event(**event) for event in ring] for ring in rings.values()]
    events = timelines.merge_events(parsed)
    return {"events": [event.to_json() for event in events], "missing": missing}


async def gather_status(daemon: daemons.Daemon) -> dict[str, Any]:
    """Collect the state of the entire fleet."""
    replies, missing = await query_all(daemon, "status", {})
    leaders = [
        (reply["keeper"]["term"], reply["daemon"])
        for reply in replies.values()
        if reply.get("keeper", {}).get("has_lease")
    ]
    return {
        "fleet": daemon.settings.fleet,
        "version": daemon.store.version,
        "leader": max(leaders)[1] if leaders else None,
        "daemons": sorted(replies.values(), key=lambda reply: reply["daemon"]),
        "missing": missing,
    }
