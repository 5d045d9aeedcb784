"""Attempts that overlap: which result is returned, and what becomes of the others."""

import asyncio

import pytest

from lynxreel.overlapping import first_result
from tests.net import run, until


def test_the_first_attempt_is_not_given_up_for_being_slower_than_the_interval() -> None:
    async def scenario() -> None:
        begun, answer = list[int](), asyncio.Event()

        async def exchange() -> int:
            begun.append(len(begun))
            number = begun[-1]
            if number:
                await asyncio.Event().wait()
            await answer.wait()
            return number

        waiting = asyncio.ensure_future(first_result(exchange, 0.01, 50))
        await until(lambda: len(begun) > 3)
        answer.set()
        assert await waiting == 0

    run(scenario)


def test_a_later_attempt_is_answered_where_the_earlier_ones_are_lost() -> None:
    async def scenario() -> None:
        begun = list[int]()

        async def exchange() -> int:
            begun.append(len(begun))
            number = begun[-1]
            if number < 2:
                await asyncio.Event().wait()
            return number

        assert await first_result(exchange, 0.01, 4) == 2

    run(scenario)


def test_the_end_of_all_attempts_is_a_timeout_and_a_failure_is_raised_at_once() -> None:
    async def scenario() -> None:
        ended = list[str]()

        async def never() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ended.append("cancelled")

        async def fail() -> None:
            raise ConnectionRefusedError

        with pytest.raises(TimeoutError):
            await first_result(never, 0.01, 3)
        await until(lambda: len(ended) == 3)
        with pytest.raises(ConnectionRefusedError):
            await first_result(fail, 60.0, 3)

    run(scenario)


def test_what_a_second_attempt_has_opened_is_discarded() -> None:
    async def scenario() -> None:
        answer, discarded, begun = asyncio.Event(), list[int](), list[int]()

        async def exchange() -> int:
            begun.append(len(begun))
            number = begun[-1]
            await answer.wait()
            return number

        waiting = asyncio.ensure_future(first_result(exchange, 0.01, 4, discarded.append))
        await until(lambda: len(begun) == 2)
        answer.set()  # both of them succeed in one iteration of the loop
        assert await waiting == 0
        await until(lambda: discarded == [1])

    run(scenario)
