"""Filter that applies read rules and the caller's maximum staleness."""

import re
from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import final

from catkincrank.filter import Filter, filters
from catkincrank.request import Access, Request
from catkincrank.settings import ReadRule

__all__ = ('ReadRuleFilter',)

_PRIMARY_ONLY = ReadRule(to_replicas=False)
_RULE_CACHE_SIZE = 4096


@final
@filters.register('read-rule')
class ReadRuleFilter(Filter):
    """Limits the staleness of the data that a read may return.

    The first rule that matches the statement applies; a read that matches none
    goes to the primary. A caller's own ``max_staleness`` can only tighten the
    limit.
    """

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``max_staleness_s`` and ``is_strict``."""
        for request in requests:
            if request.access is Access.READ:
                _apply_rule(request)
            yield request


def _apply_rule(request: Request) -> None:
    rule = _find_rule(request.service.reads, request.statement.text)
    staleness_s = _choose_staleness(request, rule)
    request.max_staleness_s = staleness_s
    is_requested = request.options.max_staleness_s == 0
    request.is_strict = staleness_s == 0 and (rule.to_replicas or is_requested)


def _choose_staleness(request: Request, rule: ReadRule) -> float | None:
    if not rule.to_replicas:
        return 0
    if not request.options.has_staleness:
        return rule.max_staleness_s
    requested_s = request.options.max_staleness_s
    if requested_s is None or rule.max_staleness_s is None:
        return rule.max_staleness_s if requested_s is None else requested_s
    return min(requested_s, rule.max_staleness_s)


@lru_cache(maxsize=_RULE_CACHE_SIZE)
def _find_rule(rules: tuple[ReadRule, ...], text: str) -> ReadRule:
    for rule in rules:
        if re.search(rule.pattern, text, re.IGNORECASE):
            return rule
    return _PRIMARY_ONLY
