"""SQL functions and keywords that may precede a parenthesis in a read.

A query that calls any other function may write, so it runs on the primary in
its own transaction.
"""

__all__ = ('PURE_FUNCTIONS', 'SESSION_FUNCTIONS')

_SYNTAX = """
all and any array as between by case cast cross cube distinct else end except
exists filter from full group grouping having in inner intersect is isnull join
lateral left like ilike limit not notnull nulls offset on only or order outer
over partition right rollup row select sets similar some table then union using
values when where window with within returning rows range materialized recursive
"""
_TYPES = """
bigint bit boolean bpchar bytea char character date decimal double float int
integer interval json jsonb numeric precision real smallint text time timestamp
timestamptz timetz uuid varbit varchar varying zone
"""
_AGGREGATES = """
array_agg avg bit_and bit_or bool_and bool_or count cume_dist dense_rank every
first_value json_agg json_object_agg jsonb_agg jsonb_object_agg lag last_value
lead max min mode nth_value ntile percent_rank percentile_cont percentile_disc
rank row_number stddev stddev_pop stddev_samp string_agg sum var_pop var_samp
variance
"""
_MATHEMATICS = """
abs acos asin atan atan2 cbrt ceil ceiling cos degrees div exp floor gcd lcm ln
log log10 mod pi power radians round sign sin sqrt tan trunc width_bucket
"""
_TEXT = """
ascii btrim char_length character_length chr concat concat_ws convert_from
convert_to decode encode format initcap length lower lpad ltrim md5
octet_length overlay position quote_ident quote_literal quote_nullable
regexp_match regexp_matches regexp_replace regexp_split_to_array
regexp_split_to_table repeat replace reverse rpad rtrim sha256 sha512
split_part starts_with strpos substr substring to_hex translate trim upper
"""
_DATE_TIME = """
age clock_timestamp current_date current_time current_timestamp date_part
date_trunc extract isfinite justify_days justify_hours localtime
localtimestamp make_date make_interval make_time make_timestamp now
statement_timestamp to_char to_date to_number to_timestamp
transaction_timestamp
"""
_MISCELLANEOUS = """
array_append array_cat array_length array_lower array_position array_positions
array_remove array_replace array_to_json array_to_string array_upper
cardinality coalesce col_description current_catalog current_database
current_schema current_schemas current_setting current_user format_type
generate_series generate_subscripts greatest has_table_privilege
json_array_elements json_array_length json_build_array json_build_object
json_each json_extract_path json_extract_path_text json_object_keys
json_typeof jsonb_array_elements jsonb_array_length jsonb_build_array
jsonb_build_object jsonb_each jsonb_extract_path jsonb_extract_path_text
jsonb_object_keys jsonb_typeof least nullif num_nonnulls obj_description
pg_get_constraintdef pg_get_expr pg_get_indexdef pg_get_userbyid
pg_table_is_visible pg_type_is_visible pg_typeof row_to_json session_user
string_to_array to_json to_jsonb to_regclass unnest version
"""

PURE_FUNCTIONS = frozenset(
    ' '.join(
        (
            _SYNTAX,
            _TYPES,
            _AGGREGATES,
            _MATHEMATICS,
            _TEXT,
            _DATE_TIME,
            _MISCELLANEOUS,
        ),
    ).split(),
)
SESSION_FUNCTIONS = frozenset(
    (
        'pg_advisory_lock',
        'pg_advisory_lock_shared',
        'pg_try_advisory_lock',
        'pg_try_advisory_lock_shared',
        'set_config',
        'setseed',
    ),
)
