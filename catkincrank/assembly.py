"""Assembles the executor of statements."""

import random

from catkincrank import acknowledgements, endpoints, filters  # noqa: F401
from catkincrank.acknowledger import Acknowledger
from catkincrank.answermonitor import AnswerMonitor
from catkincrank.catalog import Catalog
from catkincrank.executor import Executor, StatementRunners
from catkincrank.groupupdates import GroupUpdates
from catkincrank.indoubt import InDoubtResolver
from catkincrank.keypruner import KeyPruner
from catkincrank.leases import Leases
from catkincrank.pipeline import Pipeline
from catkincrank.primary import PrimaryFinder
from catkincrank.reading import Reader
from catkincrank.retrier import Retrier
from catkincrank.tally import Tally
from catkincrank.transaction import Transactions
from catkincrank.transactioncommit import TransactionCommitter
from catkincrank.transactionstart import TransactionStarter
from catkincrank.writing import Writer

__all__ = ('assemble_executor',)


def assemble_executor(
    group_updates: GroupUpdates,
    leases: Leases,
    catalog: Catalog,
    zone: str,
    tally: Tally,
    source: random.Random | None = None,
) -> Executor:
    """Return an executor with the registered drivers, filters and policies.

    Args:
        group_updates: Status of the groups, and waiting for updates.
        leases: Leases of pooled connections.
        catalog: Services in force.
        zone: Availability zone of the proxy.
        tally: Counts outcomes.
        source: Random numbers for the jitter of retries.
    """
    # The feed keeps the monitor and calls it when its evidence changes.
    AnswerMonitor(group_updates.feed, leases.waiting)
    retrier = Retrier(source or random.Random())
    reader = Reader(group_updates, leases, retrier, tally, zone)
    primaries = PrimaryFinder(group_updates, leases, retrier)
    acknowledger = Acknowledger(group_updates)
    resolver = InDoubtResolver(leases, primaries, acknowledger, retrier)
    writer = Writer(
        leases,
        primaries,
        acknowledger,
        resolver,
        retrier,
        tally,
    )
    transactions = Transactions(
        leases,
        TransactionStarter(leases, reader, writer, primaries, acknowledger),
        TransactionCommitter(leases, acknowledger, resolver),
        retrier,
    )
    return Executor(
        catalog,
        Pipeline.from_names(),
        StatementRunners(
            leases,
            reader,
            writer,
            transactions,
            primaries,
            retrier,
            KeyPruner(catalog, leases, primaries),
            tally,
        ),
    )
