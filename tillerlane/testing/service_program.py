"""Program of a fake plain service, which counts its runs by the caller's reference."""

import argparse
import asyncio
import collections
from typing import Any

import litestar
import uvicorn


def build_app() -> litestar.Litestar:
    """Build the service's HTTP interface; ``delay`` in a body (seconds) delays the response."""
    ran: collections.Counter[str] = collections.Counter()

    @litestar.post("/orders", status_code=201)
    async def order(data: dict[str, Any]) -> dict[str, Any]:
        reference = str(data.get("reference", ""))
        ran[reference] += 1
        await asyncio.sleep(float(data.get("delay", 0)))
        return {"reference": reference, "times_run": ran[reference]}

    @litestar.get("/shelf/{copy:str}")
    async def shelf(copy: str) -> dict[str, Any]:
        ran[f"shelf/{copy}"] += 1
        return {"copy": copy, "on_shelf": len(copy) % 2 == 0, "price_nok": 100 + len(copy)}

    @litestar.get("/test/record")
    async def record() -> dict[str, int]:
        return dict(ran)

    return litestar.Litestar([order, shelf, record], openapi_config=None)


def main() -> None:
    """Run the fake service until it is terminated."""
    parser = argparse.ArgumentParser(description="Fake plain service for tests and the demo.")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    uvicorn.run(
        build_app(),
        host="127.0.0.1",
        port=arguments.port,
        log_level="warning",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    main()
