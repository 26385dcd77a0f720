"""Attempts of a call that overlap, on virtual time."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fuchsiatrack.control.hedgedcall import ATTEMPT_INTERVAL_MS, Attempt, HedgedCall
from fuchsiatrack.kernel.errors import PlatformBusy, PlatformUnavailable, RecordsExpired
from tests.fakes import NodeClock, run_virtual

TIMEOUT_MS = 1_500


class Service:
    """Answers attempts from *available_at* on; earlier ones hang, or fail at once if *refuses*.

    `attempts` has the start and the arguments of each attempt.
    """

    def __init__(self, available_at: int, refuses: bool = False) -> None:
        self.clock = NodeClock()
        self.attempts: list[tuple[int, bool, bool]] = []
        self.failures: list[int] = []
        self.cancelled = 0
        self._available_at = available_at
        self._refuses = refuses

    async def attempt(self, attempt: Attempt) -> str:
        self.attempts.append((self.clock.now(), attempt.is_first, attempt.new_connection))
        if self.clock.now() >= self._available_at:
            await asyncio.sleep(0.004)
            return f"result {len(self.attempts)}"
        if self._refuses:
            raise PlatformBusy("rejected")
        try:
            await asyncio.sleep(TIMEOUT_MS / 1_000)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        raise PlatformUnavailable("no response")

    def call(self) -> HedgedCall[str]:
        return HedgedCall(
            self.attempt, self.clock, lambda error, started_at: self.failures.append(started_at)
        )


class TestHedgedCall:
    """The first attempt that returns wins."""

    def test_one_attempt_is_enough_for_a_healthy_service(self):
        async def scenario():
            service = Service(0)
            call = service.call()
            assert await call.run() == "result 1"
            assert service.attempts == [(0, True, False)]
            assert call.unavailable_at is None
            assert not call.is_repeated

        run_virtual(scenario())

    def test_first_attempt_without_a_response_may_only_have_lost_its_connection(self):
        async def scenario():
            service = Service(ATTEMPT_INTERVAL_MS - 100)
            call = service.call()
            await call.run()
            assert call.is_repeated
            assert call.unavailable_at is None

        run_virtual(scenario())

    @pytest.mark.parametrize("available_at", [610, 1_000, 1_799, 4_100])
    def test_recovery_is_noticed_within_one_interval_while_attempts_hang(self, available_at):
        async def scenario():
            service = Service(available_at)
            call = service.call()
            await call.run()
            assert service.clock.now() <= available_at + ATTEMPT_INTERVAL_MS + 10
            assert available_at - ATTEMPT_INTERVAL_MS - 10 <= call.unavailable_at < available_at
            await asyncio.sleep(0)
            assert service.cancelled == len(service.attempts) - 1 - len(service.failures)
            assert all(new_connection for _, _, new_connection in service.attempts[1:])

        run_virtual(scenario())

    def test_refused_attempts_are_repeated_after_the_interval_on_the_same_connections(self):
        async def scenario():
            service = Service(1_000, refuses=True)
            call = service.call()
            await call.run(first_wait=20_000)
            starts = [start for start, _, _ in service.attempts]
            assert all(b - a >= ATTEMPT_INTERVAL_MS for a, b in itertools.pairwise(starts))
            assert service.clock.now() <= 1_000 + ATTEMPT_INTERVAL_MS + 10
            assert service.failures == starts[:-1]
            assert not any(new_connection for _, _, new_connection in service.attempts)

        run_virtual(scenario())

    def test_first_attempt_that_waits_is_not_repeated_before_its_wait_ends(self):
        async def scenario():
            service = Service(10**9)
            task = asyncio.ensure_future(service.call().run(first_wait=500))
            await asyncio.sleep(1.0)
            assert len(service.attempts) == 1
            await asyncio.sleep(0.2)
            assert len(service.attempts) == 2
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert service.cancelled == 2

        run_virtual(scenario())

    def test_attempt_whose_response_is_arriving_is_not_repeated(self):
        """Repeating the read of a large record slows every read down, its own included."""

        async def scenario():
            clock, attempts = NodeClock(), []

            async def respond_slowly(attempt: Attempt) -> str:
                attempts.append(attempt)
                await asyncio.sleep(0.1)
                attempt.record_response_start()
                await asyncio.sleep(3 * ATTEMPT_INTERVAL_MS / 1_000)
                return "large record"

            call = HedgedCall(respond_slowly, clock, lambda *a: None)
            assert await call.run() == "large record"
            assert len(attempts) == 1

        run_virtual(scenario())

    def test_other_errors_end_the_call(self):
        async def scenario():
            async def attempt(attempt: Attempt) -> None:
                raise RecordsExpired(7)

            with pytest.raises(RecordsExpired):
                await HedgedCall(attempt, NodeClock(), lambda *a: None).run()

        run_virtual(scenario())
