import time

import anyio

from tests import virtualtime


async def _sleep_a_day():
    await anyio.sleep(86400)
    return anyio.current_time()


def test_virtual_clock_skips_idle_time():
    began = time.monotonic()
    assert virtualtime.run(_sleep_a_day) >= 86400
    assert time.monotonic() - began < 3600
