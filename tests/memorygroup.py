"""In-memory group of instances with fault injection."""

from contextlib import asynccontextmanager

import anyio

from catkincrank import requestkeys
from catkincrank.assembly import assemble_executor
from catkincrank.catalog import Catalog
from catkincrank.endpoint import (
    Answer,
    Column,
    Description,
    Driver,
    EndpointConnection,
    StatementError,
    TransactionStatus,
)
from catkincrank.errors import EndpointError
from catkincrank.feed import Feed
from catkincrank.grouppools import ConnectOptions, GroupPools
from catkincrank.groupupdates import GroupUpdates
from catkincrank.history import History, LogMark, TermStart
from catkincrank.instance import InstanceStatus, Observation, Role
from catkincrank.leases import Leases
from catkincrank.session import Session
from catkincrank.settings import Endpoint, Limits, Service, Team
from catkincrank.tally import Tally

GROUP = 'sawari/ledger'
NAMES = ('a', 'b', 'c')
IDLE, OPEN = TransactionStatus.IDLE, TransactionStatus.OPEN
FAILED = TransactionStatus.FAILED
STEP_S = 0.001


class MemoryGroup(Driver):
    """Instances that share one log; the first is primary of term 1.

    Attributes:
        effects: Committed writes, in order.
        keys: Committed rows of request keys.
        faults: Fault of the next step, by the name of the step.
        steps: Steps taken so far, each a name and an endpoint. The step of
            a statement has its first word as its name.
        open: Open connections.
        has_table: Whether the table of request keys exists.
        is_acknowledging: Whether replicas report the log that they receive.
    """

    def __init__(self):
        self.feed = Feed()
        self.feed.set_members(GROUP, NAMES)
        self.effects = []
        self.keys = {}
        self.faults = {}
        self.steps = []
        self.open = []
        self.has_table = True
        self.is_acknowledging = True
        self.history = History((TermStart(1, 0),))
        self.primary = 'a'
        self.position = 10

    def publish(self, *names):
        now = anyio.current_time()
        for name in names or NAMES:
            self.feed.record(GROUP, Observation(self.describe(name), now))

    def describe(self, name):
        is_primary = name == self.primary
        return InstanceStatus(
            name,
            'i1',
            Role.PRIMARY if is_primary else Role.REPLICA,
            self.history,
            self.position,
            self.position,
            '' if is_primary else self.primary,
        )

    def promote(self, name, *followers):
        """Begin a term with ``name`` as primary at the current position."""
        term = self.history.term + 1
        self.history = self.history.extend(term, self.position)
        self.primary = name
        self.publish(*((name, *followers) if followers else NAMES))

    async def connect(self, address, credential, application):
        await self.step('connect', address.endpoint)
        connection = MemoryConnection(self, address.endpoint)
        self.open.append(connection)
        return connection

    async def step(self, name, endpoint):
        """Record a step and inject the fault that is set for it."""
        self.steps.append((name, endpoint))
        await anyio.sleep(STEP_S)
        fault = self.faults.pop(name, None)
        if fault == 'refuse':
            raise EndpointError('refused', was_sent=False)
        if fault == 'lose':
            raise EndpointError('connection reset', was_sent=True)
        if fault == 'hang':
            await anyio.sleep_forever()
        if fault == 'read-only':
            raise StatementError('25006', 'read only', {}, FAILED)
        if fault == 'syntax':
            raise StatementError('42601', 'syntax error', {}, FAILED)
        return fault


class MemoryConnection(EndpointConnection):
    """A connection; statements without a ``do_`` method are writes."""

    incarnation = 'i1'
    seal = promote = follow = terminate = None

    def __init__(self, group, endpoint):
        self.group = group
        self.endpoint = endpoint
        self.status = IDLE
        self.pending = []
        self.keys = {}
        self.is_closed = False
        self.state = set()

    @property
    def transaction(self):
        return self.status

    async def execute(self, sql, params=()):
        assert not self.is_closed
        first_word = sql.split()[0].lower()
        try:
            await self.group.step(
                _STEP_NAMES.get(sql, first_word), self.endpoint
            )
        except StatementError:
            if self.status is OPEN:
                self.status = FAILED
            raise
        if self.status is FAILED and first_word != 'rollback':
            raise StatementError('25P02', 'aborted', {}, FAILED)
        return getattr(self, 'do_' + first_word, self.do_write)(sql, params)

    async def describe(self, sql):
        await self.group.step('describe', self.endpoint)
        columns = None if sql.startswith('pay') else (Column('n', 20),)
        return Description((), columns)

    async def commit(self):
        fault = await self.group.step('commit', self.endpoint)
        if self.status is FAILED:
            self.end()
            return None
        if fault == 'lose-before':
            raise EndpointError('connection reset', was_sent=True)
        self.group.effects.extend(self.pending)
        self.group.keys.update(self.keys)
        self.group.position += len(self.pending)
        self.end()
        mark = LogMark(self.group.history.term, self.group.position)
        if self.group.is_acknowledging:
            self.group.publish()
        if fault == 'lose-after':
            raise EndpointError('connection reset', was_sent=True)
        return mark

    async def fetch_status(self):
        return self.group.describe(self.endpoint)

    async def close(self):
        self.is_closed = True
        self.end()
        self.group.open.remove(self)

    def end(self):
        self.status = IDLE
        self.pending = []
        self.keys = {}

    def answer(self, command, rows=None):
        columns = None if rows is None else (Column('n', 20),)
        return Answer(command, columns, rows or (), self.status)

    def do_begin(self, sql, params):
        self.status = OPEN
        return self.answer('BEGIN')

    def do_rollback(self, sql, params):
        self.end()
        return self.answer('ROLLBACK')

    def do_discard(self, sql, params):
        self.state.clear()
        return self.answer('DISCARD ALL')

    def do_set(self, sql, params):
        self.state.add(sql)
        return self.answer('SET')

    def do_create(self, sql, params):
        self.group.has_table = True
        return self.answer('CREATE TABLE')

    def do_insert(self, sql, params):
        if not self.group.has_table:
            self.status = FAILED
            raise StatementError('42P01', 'no table', {}, FAILED)
        key = params[:2]
        if key in self.group.keys:
            return self.answer('INSERT 0 0')
        self.keys[key] = [params[2], None]
        return self.answer('INSERT 0 1')

    def do_update(self, sql, params):
        self.keys[params[:2]][1] = params[2]
        return self.answer('UPDATE 1')

    def do_select(self, sql, params):
        if sql == requestkeys.FIND_SQL:
            return self.answer('SELECT 1', (tuple(self.group.keys[params]),))
        count = len(self.group.effects) + len(self.pending)
        return self.answer('SELECT 1', ((str(count),),))

    def do_write(self, sql, params):
        self.pending.append(sql)
        return self.answer('UPDATE 1')


_STEP_NAMES = {
    requestkeys.CLAIM_SQL: 'claim',
    requestkeys.FIND_SQL: 'find',
    requestkeys.RECORD_SQL: 'record',
}


@asynccontextmanager
async def serve_group(**limits):
    """Yield a group and an executor that uses it."""
    group = MemoryGroup()
    endpoints = tuple(Endpoint(name, 'z1', name, 1) for name in NAMES)
    service = Service(endpoints, limits=Limits(**{'proxies': 4, **limits}))
    catalog = Catalog()
    catalog.replace('sawari', Team({'ledger': service}))
    async with anyio.create_task_group() as tasks:
        pools = GroupPools(ConnectOptions('p1', 'z1', {}, group), tasks)
        pools.configure(GROUP, service)
        tasks.start_soon(pools.run)
        group.publish()
        group.pools = pools
        yield (
            group,
            assemble_executor(
                GroupUpdates(group.feed),
                Leases(pools),
                catalog,
                'z1',
                Tally(),
            ),
        )
        tasks.cancel_scope.cancel()


def open_session(**options):
    """Return a session with the given options."""
    session = Session(GROUP)
    for name, text in options.items():
        session.assign('catkincrank.{0}'.format(name), text)
    return session
