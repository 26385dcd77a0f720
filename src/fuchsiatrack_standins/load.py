"""Open-loop load generator: arrivals do not wait for responses.

Latency counts from the scheduled time of a request.  Prints one JSON object with counts,
percentiles in milliseconds, and the histogram in the encoding of HdrHistogram.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Iterator

import aiohttp
from absl import app, flags
from hdrh.histogram import HdrHistogram

FLAGS = flags.FLAGS
flags.DEFINE_list("urls", [], "URLs of daemons, used in rotation.")
flags.DEFINE_float("rate", 100.0, "Requests per second.")
flags.DEFINE_float("seconds", 5.0, "Duration of sending.")
flags.DEFINE_float("warm_seconds", 1.0, "Initial time that is not counted.")
flags.DEFINE_integer("seed", 1, "Seed of arrival times and keys.")
flags.DEFINE_integer("keys", 2_000, "Number of different keys.")
flags.DEFINE_string("service", "poles", "Service that is called.")
flags.DEFINE_string("caller", "depot-crews", "Caller whose token is sent.")
flags.DEFINE_string("query", "", "Query string of each request.")
flags.DEFINE_integer("deadline_ms", 4_000, "Deadline of each request.")
flags.DEFINE_integer("connections", 200, "Concurrent connections.")

HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS = 10, 60_000_000, 3


@dataclasses.dataclass
class Counts:
    """Counts of the requests after the warm-up.

    `answered` counts status 200, `refused` 429, 503 and 504, and `failed` all others and requests
    without a response.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0


class OpenLoop:
    """Sender at a fixed mean rate, independent of the responses."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._rng = random.Random(FLAGS.seed)
        self._headers = {"Authorization": f"Bearer token-of-{FLAGS.caller}"}
        self.counts = Counts()
        self.histogram = HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)

    async def run(self) -> None:
        """Send for the whole duration, then wait for all responses."""
        loop = asyncio.get_running_loop()
        started_at_s, tasks = loop.time(), set()
        for number, offset_s in enumerate(self._arrivals()):
            scheduled_at_s = started_at_s + offset_s
            if (delay_s := scheduled_at_s - loop.time()) > 0:
                await asyncio.sleep(delay_s)
            is_counted = offset_s >= FLAGS.warm_seconds
            task = asyncio.create_task(self._send(number, scheduled_at_s, is_counted))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _arrivals(self) -> Iterator[float]:
        offset_s = 0.0
        while offset_s < FLAGS.seconds:
            yield offset_s
            offset_s += self._rng.expovariate(FLAGS.rate)

    async def _send(self, number: int, scheduled_at_s: float, is_counted: bool) -> None:
        url = FLAGS.urls[number % len(FLAGS.urls)] + f"/{FLAGS.service}/status?{FLAGS.query}"
        headers = {
            **self._headers,
            "Fuchsiatrack-Key": f"pole-{self._rng.randrange(FLAGS.keys)}",
            "Fuchsiatrack-Deadline-Ms": str(FLAGS.deadline_ms),
        }
        try:
            async with self._session.get(url, headers=headers) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        if is_counted:
            self._record(status, asyncio.get_running_loop().time() - scheduled_at_s)

    def _record(self, status: int, latency_s: float) -> None:
        self.counts.sent += 1
        self.counts.answered += status == 200
        self.counts.refused += status in (429, 503, 504)
        self.counts.failed += status not in (200, 429, 503, 504)
        self.histogram.record_value(max(HISTOGRAM_MIN_US, int(latency_s * 1e6)))


async def _run() -> None:
    connector = aiohttp.TCPConnector(limit=FLAGS.connections)
    async with aiohttp.ClientSession(connector=connector) as session:
        open_loop = OpenLoop(session)
        cpu_start_s = time.process_time()
        await open_loop.run()
    percentiles = {
        str(percent): open_loop.histogram.get_value_at_percentile(percent) / 1_000
        for percent in (50, 90, 99, 99.9)
    }
    counted_s = FLAGS.seconds - FLAGS.warm_seconds
    result = {
        **dataclasses.asdict(open_loop.counts),
        "rate": open_loop.counts.answered / counted_s,
        "percentiles_ms": percentiles,
        "cpu_share": (time.process_time() - cpu_start_s) / FLAGS.seconds,
        "histogram": open_loop.histogram.encode().decode(),
    }
    print(json.dumps(result))


def main(argv: list[str]) -> None:
    """Generate the load and print the result."""
    asyncio.run(_run())


if __name__ == "__main__":
    app.run(main)
