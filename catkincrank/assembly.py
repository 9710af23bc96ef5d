"""Assembles the executor of statements."""

import random

from catkincrank import acknowledgements, endpoints, filters  # noqa: F401
from catkincrank.acknowledger import Acknowledger
from catkincrank.answermonitor import AnswerMonitor
from catkincrank.catalog import Catalog
from catkincrank.executor import Executor, StatementRunners
from catkincrank.housekeeping import KeyPruner
from catkincrank.indoubt import InDoubtResolver
from catkincrank.leases import Leases
from catkincrank.news import News
from catkincrank.pipeline import Pipeline
from catkincrank.primary import PrimaryFinder
from catkincrank.reading import Reader
from catkincrank.retrying import Retries
from catkincrank.tally import Tally
from catkincrank.transaction import Transactions
from catkincrank.transactioncommit import TransactionCommitter
from catkincrank.transactionstart import TransactionStarter
from catkincrank.writing import Writer

__all__ = ('assemble_executor',)


def assemble_executor(
    news: News,
    leases: Leases,
    catalog: Catalog,
    zone: str,
    tally: Tally,
    source: random.Random | None = None,
) -> Executor:
    """Return an executor with the registered drivers, filters and policies.

    Args:
        news: Status of the groups, and waiting for changes of it.
        leases: Leases of pooled connections.
        catalog: Services in force.
        zone: Availability zone of the proxy.
        tally: Counts outcomes.
        source: Random numbers for the jitter of retries.
    """
    AnswerMonitor(news.feed, leases.waiting)
    retries = Retries(source or random.Random())
    reader = Reader(news, leases, retries, tally, zone)
    primaries = PrimaryFinder(news, leases, retries)
    acknowledger = Acknowledger(news)
    resolver = InDoubtResolver(leases, primaries, acknowledger, retries)
    writer = Writer(
        leases,
        primaries,
        acknowledger,
        resolver,
        retries,
        tally,
    )
    transactions = Transactions(
        leases,
        TransactionStarter(leases, reader, writer, primaries, acknowledger),
        TransactionCommitter(leases, acknowledger, resolver),
        retries,
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
            retries,
            KeyPruner(catalog, leases, primaries),
            tally,
        ),
    )
