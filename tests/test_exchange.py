"""One request's sends, by themselves: what the caller is told after several tries."""

from __future__ import annotations

import asyncio
import random
import types

import pytest
from fakes import NodeClock, run_virtual

from fuchsiatrack.control.orders import BeginResult
from fuchsiatrack.kernel.metrics import NullMetrics
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.model.objects import Caller, Service
from fuchsiatrack.routing.admission import Admitted
from fuchsiatrack.routing.connectionpool import Failed, Target
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.exchange import Exchange, ExchangeDependencies, ServerSelector
from fuchsiatrack.routing.retries import RetryBudget

OWNER = Target("poles-1", "127.0.2.1:7100", 110, "all/1", 7)
POOLED = Target("billing-1", "127.0.2.2:7100", 110)


class ScriptedSelector(ServerSelector):
    """Gives the targets of a list, then says that there is no owner."""

    def __init__(self, targets):
        self._targets = list(targets)

    async def select(self, admitted, avoid):
        if not self._targets:
            raise RequestError(ErrorReason.NO_OWNER)
        return self._targets.pop(0)

    def request_started(self, target):
        pass

    def request_finished(self, target, latency, verdict):
        pass


class ScriptedConnectionPool:
    """Answers sends with the outcomes of a list."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)

    async def send(self, target, sending):
        return self.outcomes.pop(0)


class SilentDeduplicator:
    """A ledger whose log does not answer."""

    def __init__(self):
        self.released = []

    async def begin(self, attempt, timeout):
        return BeginResult.UNSETTLED

    def release(self, attempt):
        self.released.append(attempt)


def error_of(method, targets, outcomes, service=None, order=""):
    """Run an exchange that ends in a refusal, and return it with the ledger."""

    async def run():
        clock, deduplicator = NodeClock(), SilentDeduplicator()
        request = types.SimpleNamespace(
            method=method, headers={}, can_read_body=False, content_length=0
        )
        caller = Caller("Caller", "crew", "0" * 64, ("poles",))
        admitted = Admitted(
            caller,
            service or Service("Service", "poles", True),
            "pole-1",
            order,
            method in ("GET", "PUT"),
            clock.now() + 1_000,
            (),
        )
        dependencies = ExchangeDependencies(
            ScriptedSelector(targets),
            ScriptedConnectionPool(outcomes),
            deduplicator,
            RetryBudget(),
            clock,
            NullMetrics(),
            random.Random(1),
            1_000,
        )
        with pytest.raises(RequestError) as caught:
            await Exchange(request, "/x", admitted, "id", dependencies).run()
        await asyncio.sleep(0)
        return caught.value, deduplicator

    return run_virtual(run())


class TestVerdictOfSeveralSends:
    unsure = Failed(Verdict.MAY_HAVE_RUN, ErrorReason.CONNECTION)
    shed = Failed(Verdict.NOT_RUN, ErrorReason.SHED)

    def test_later_refusal_does_not_hide_that_an_earlier_send_may_have_run(self):
        request_error, _ = error_of("PUT", [OWNER], [self.unsure])
        assert request_error.reason is ErrorReason.NO_OWNER
        assert request_error.verdict is Verdict.MAY_HAVE_RUN

    def test_later_proof_concerns_only_its_own_send(self):
        request_error, _ = error_of("PUT", [OWNER] * 2, [self.unsure, self.shed])
        assert request_error.verdict is Verdict.MAY_HAVE_RUN

    def test_sends_that_all_did_not_run(self):
        request_error, _ = error_of("POST", [OWNER] * 2, [self.shed, self.shed])
        assert request_error.verdict is Verdict.NOT_RUN

    def test_order_is_not_sent_again_without_proof(self):
        request_error, _ = error_of("POST", [OWNER] * 2, [self.unsure])
        assert (request_error.reason, request_error.verdict) == (
            ErrorReason.CONNECTION,
            Verdict.MAY_HAVE_RUN,
        )


class TestOrdersWithoutTheLog:
    def test_pool_that_deduplicates_does_not_stand_in_for_the_log(self):
        service = Service("Service", "billing", deduplicates=True)
        request_error, deduplicator = error_of("POST", [POOLED], [], service, "o-1")
        assert (request_error.reason, request_error.verdict) == (
            ErrorReason.ORDER_LOG_UNAVAILABLE,
            Verdict.NOT_RUN,
        )
        assert len(deduplicator.released) == 1
