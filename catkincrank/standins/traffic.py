"""Callers that pay, read and move between proxies, and what they record."""

import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias, final

import anyio

from catkincrank.endpoint import Answer, StatementError
from catkincrank.history import LogMark
from catkincrank.records import (
    RecordedHistory,
    RequestAnswered,
    RequestSubmitted,
)
from catkincrank.registry import Registry
from catkincrank.session import Session
from catkincrank.standins.modelproxy import ModelProxy, ProxyDiedError
from catkincrank.verdict import RequestError, Verdict

__all__ = ('Traffic',)

_GROUP = 'sawari/ledger'
_PAY = (
    'INSERT INTO payments (id, account, version) VALUES ($1, $2, $3) '
    'RETURNING id'
)
_READ = 'SELECT $1, max(version) FROM payments WHERE account = $2'
_SUBMISSIONS = 4
_PAUSE_S = 0.2
_LONG_PAUSE_S = 1
_SHORT_DEADLINE = '0.3s'
_LONG_DEADLINE = '8s'
_FINAL_DEADLINE = '12s'
_STALENESS_S = 1

_Work: TypeAlias = Callable[['Caller', RequestSubmitted], Awaitable[Answer]]
_kinds: Registry[_Work] = Registry('kind of request')


@final
class Caller:
    """One caller and its session.

    Args:
        name: Its name; also the account that it works on.
        source: Random numbers of its choices.

    Attributes:
        proxy: The proxy that it talks to.
        session: Its session there.
        token: What it carries to the next proxy.
        version: Version that its last write made.
    """

    def __init__(self, name: str, source: random.Random) -> None:
        self.name = name
        self.source = source
        self.proxy: ModelProxy | None = None
        self.session = Session(_GROUP)
        self.token = ''
        self.version = 0

    def move(self, proxy: ModelProxy) -> None:
        """Begin a session at ``proxy`` with the token of the last one."""
        self.proxy = proxy
        self.session = Session(_GROUP)
        if self.token:
            self.session.assign('catkincrank.session', self.token)

    async def submit(self, sql: str, *params: str) -> Answer:
        """Run one statement."""
        return await self.proxy.submit(self.session, sql, params)

    def assign(self, name: str, text: str) -> None:
        """Set an option of the session."""
        self.session.assign('catkincrank.{0}'.format(name), text)


@final
class Traffic:
    """Runs callers.

    Args:
        proxies: Proxies by name; it may change.
        history: Where to record.
        source: Random numbers.
        outlives_primary: What the policy promises of acknowledged writes.

    Attributes:
        reach: Called with the name of each step that only callers see.
    """

    def __init__(
        self,
        proxies: Mapping[str, ModelProxy],
        history: RecordedHistory,
        source: random.Random,
        *,
        outlives_primary: bool,
    ) -> None:
        self.reach: Callable[[str, Caller], Awaitable[None]] = _pass
        self._proxies = proxies
        self._history = history
        self._source = source
        self._outlives_primary = outlives_primary
        self._callers: list[Caller] = []
        self._keys: dict[str, list[str]] = {}
        self._verdicts: dict[str, Verdict] = {}

    async def run_caller(self, name: str, count: int) -> None:
        """Make ``count`` requests, then one that has to succeed."""
        caller = Caller(name, random.Random(self._source.random()))
        self._callers.append(caller)
        for number in range(count):
            pause_s = caller.source.uniform(0, _PAUSE_S)
            await anyio.sleep(pause_s)  # noqa: WPS476
            kind = caller.source.choice(_kinds.names())
            deadline = caller.source.choice((_SHORT_DEADLINE, _LONG_DEADLINE))
            request = '{0}-{1}'.format(name, number)
            await self._make(  # noqa: WPS476
                caller,
                kind,
                request,
                deadline,
            )

    async def pay_last(self, name: str) -> bool:
        """Pay once more; return whether that was acknowledged."""
        caller = Caller(name, random.Random(0))
        caller.version = 1000
        await self._make(
            caller, 'pay', '{0}-last'.format(name), _FINAL_DEADLINE
        )
        submissions = self._keys['{0}-last'.format(name)]
        return self._verdicts.get(submissions[-1]) is Verdict.RAN

    def cancel(self, proxy: str) -> None:
        """Let the callers of a proxy cancel what they wait for."""
        for caller in self._callers:
            if caller.proxy and caller.proxy.name == proxy:
                caller.session.cancel()

    def attribute(self, name: str) -> tuple[str, str]:
        """Return the submission and key that an effect comes from.

        A key's submissions look the same to the database: the effect is that
        of the last one that may have run, if there is any.
        """
        submissions = self._keys.get(name)
        if submissions is None:
            return name, ''
        for request in reversed(submissions):
            if self._verdicts.get(request) is not Verdict.NOT_RUN:
                return request, name
        return submissions[0], name

    async def _make(
        self,
        caller: Caller,
        kind: str,
        name: str,
        deadline: str,
    ) -> None:
        """Submit a request; a keyed one again while its outcome is open."""
        work = _kinds.find(kind)
        is_keyed = kind == 'pay'
        if kind != 'read' and kind != 'old-read':
            caller.version += 1
        if is_keyed:
            self._keys[name] = []
        for attempt in range(_SUBMISSIONS):
            caller.move(caller.source.choice(list(self._proxies.values())))
            caller.assign('deadline', deadline)
            request = name
            if is_keyed:
                request = '{0}#{1}'.format(name, attempt)
                self._keys[name].append(request)
                caller.assign('request_key', name)
                caller.assign('idempotent', 'off')
            verdict = await self._submit(  # noqa: WPS476
                caller,
                kind,
                work,
                name,
                request,
            )
            if verdict is Verdict.RAN or not is_keyed:
                return
            pause_s = caller.source.uniform(0, _LONG_PAUSE_S)
            await anyio.sleep(pause_s)  # noqa: WPS476

    async def _submit(
        self,
        caller: Caller,
        kind: str,
        work: _Work,
        name: str,
        request: str,
    ) -> Verdict:
        is_read = kind in {'read', 'old-read'}
        submitted = RequestSubmitted(
            anyio.current_time(),
            request,
            caller.name,
            caller.proxy.name,
            caller.name,
            0 if is_read else caller.version,
            name if kind == 'pay' else '',
            is_idempotent=is_read,
            max_staleness_s=_STALENESS_S if kind == 'old-read' else None,
        )
        self._history.add(submitted)
        await self.reach('arrive', caller)
        answered = await self._await_answer(caller, work, submitted, name)
        await self.reach('answer', caller)
        self._history.add(answered)
        self._verdicts[request] = answered.verdict
        caller.token = caller.session.show_token() or caller.token
        await caller.proxy.end(caller.session)
        return answered.verdict

    async def _await_answer(
        self,
        caller: Caller,
        work: _Work,
        submitted: RequestSubmitted,
        name: str,
    ) -> RequestAnswered:
        request = submitted.request
        try:
            answer = await work(caller, submitted)
        except RequestError as error:
            return self._record_failure(request, error.verdict)
        except StatementError:
            # The endpoint refused it, and its transaction is rolled back.
            return self._record_failure(request, Verdict.NOT_RUN)
        except ProxyDiedError:
            return RequestAnswered(
                anyio.current_time(),
                request,
                Verdict.MAY_HAVE_RUN,
                is_disconnected=True,
            )
        return self._record_success(caller, submitted, answer, name)

    def _record_failure(
        self, request: str, verdict: Verdict
    ) -> RequestAnswered:
        return RequestAnswered(anyio.current_time(), request, verdict)

    def _record_success(
        self,
        caller: Caller,
        submitted: RequestSubmitted,
        answer: Answer,
        name: str,
    ) -> RequestAnswered:
        row = answer.rows[0] if answer.rows else (name,)
        mark: LogMark | None = caller.session.mark
        seen = row[1] if len(row) > 1 else None
        return RequestAnswered(
            anyio.current_time(),
            submitted.request,
            Verdict.RAN,
            int(seen or 0),
            mark,
            submitted.request if row[0] == name else row[0] or '',
            is_complete=bool(answer.rows) or answer.command == 'COMMIT',
            outlives_primary=self._outlives_primary,
        )


@_kinds.register('pay')
@_kinds.register('write')
async def _pay(caller: Caller, request: RequestSubmitted) -> Answer:
    name = request.key or request.request
    return await caller.submit(_PAY, name, caller.name, str(caller.version))


@_kinds.register('transaction')
async def _pay_in_transaction(
    caller: Caller,
    request: RequestSubmitted,
) -> Answer:
    await caller.submit('BEGIN')
    await _pay(caller, request)
    await caller.submit(_READ, request.request, caller.name)
    return await caller.submit('COMMIT')


@_kinds.register('read')
async def _read(caller: Caller, request: RequestSubmitted) -> Answer:
    return await caller.submit(_READ, request.request, caller.name)


@_kinds.register('old-read')
async def _read_old(caller: Caller, request: RequestSubmitted) -> Answer:
    caller.assign('max_staleness', '{0}s'.format(_STALENESS_S))
    return await caller.submit(_READ, request.request, caller.name)


async def _pass(step: str, caller: Caller) -> None:
    """Cause no fault."""
