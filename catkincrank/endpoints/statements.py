"""Statements with which the PostgreSQL driver monitors and controls instances.

Each runs on a real PostgreSQL; the endpoint stand-in answers the same texts.
"""

__all__ = (
    'COMMIT',
    'CONFIGURE_PRIMARY',
    'INCARNATION',
    'LOCK',
    'MARK',
    'PROMOTE',
    'READ_ONLY_OFF',
    'READ_ONLY_ON',
    'RELOAD',
    'STATUS',
    'TERMINATE',
    'TERMINATE_OTHERS',
    'UNLOCK',
)

_TIMELINE = (
    "('x' || left(pg_walfile_name(pg_current_wal_insert_lsn()), 8))"
    '::bit(32)::int8'
)
_RECOVERY_TIMELINE = (
    'coalesce((SELECT received_tli::int8 FROM pg_stat_wal_receiver), '
    '(SELECT timeline_id::int8 FROM pg_control_checkpoint()))'
)

COMMIT = 'COMMIT'
INCARNATION = 'SELECT pg_postmaster_start_time()::text'
MARK = (
    'SELECT CASE WHEN pg_is_in_recovery() THEN NULL ELSE {0} END, '
    'CASE WHEN pg_is_in_recovery() THEN NULL ELSE '
    "pg_wal_lsn_diff(pg_current_wal_insert_lsn(), '0/0')::int8 END"
).format(_TIMELINE)
STATUS = (
    'SELECT json_build_array(s.recovery, s.timeline, '
    "pg_wal_lsn_diff(s.received, '0/0')::int8, "
    "pg_wal_lsn_diff(s.replayed, '0/0')::int8, "
    'pg_postmaster_start_time()::text, '
    '(SELECT setting FROM pg_file_settings '
    "WHERE name = 'primary_conninfo' ORDER BY seqno DESC LIMIT 1), "
    "pg_read_file('pg_wal/' || lpad(upper(to_hex(s.timeline)), 8, '0') "
    "|| '.history', true), "
    '(SELECT count(*) FROM pg_stat_activity '
    "WHERE backend_type = 'client backend'), "
    '(SELECT count(*) FROM pg_stat_wal_receiver))::text '
    'FROM (SELECT pg_is_in_recovery() AS recovery, '
    'CASE WHEN pg_is_in_recovery() THEN {0} ELSE {1} END AS timeline, '
    'CASE WHEN pg_is_in_recovery() '
    'THEN coalesce(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()) '
    'ELSE pg_current_wal_insert_lsn() END AS received, '
    'CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() '
    'ELSE pg_current_wal_insert_lsn() END AS replayed) AS s'
).format(_RECOVERY_TIMELINE, _TIMELINE)

_ADVISORY_LOCK_KEY = 7103
LOCK = 'SELECT pg_advisory_lock({0})'.format(_ADVISORY_LOCK_KEY)
UNLOCK = 'SELECT pg_advisory_unlock({0})'.format(_ADVISORY_LOCK_KEY)
CONFIGURE_PRIMARY = 'ALTER SYSTEM SET primary_conninfo = {0}'
READ_ONLY_ON = 'ALTER SYSTEM SET default_transaction_read_only = on'
READ_ONLY_OFF = 'ALTER SYSTEM SET default_transaction_read_only = off'
RELOAD = 'SELECT pg_reload_conf()'
PROMOTE = 'SELECT pg_promote(true, 10)'
TERMINATE = (
    'SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity '
    'WHERE application_name = $1 AND pid <> pg_backend_pid()'
)
TERMINATE_OTHERS = (
    'SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity '
    "WHERE backend_type = 'client backend' AND pid <> pg_backend_pid() "
    "AND application_name NOT LIKE 'catkincrank-keeper%'"
)
