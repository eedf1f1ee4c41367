package sqltext

import "strings"

// FunctionSet is a set of read-only functions. Names are in lowercase and qualified by their
// schema unless that is pg_catalog.
type FunctionSet map[string]bool

// has reports whether the set holds a name, ignoring case. It does not allocate for a name
// that is already in lowercase or is found as written.
func (f FunctionSet) has(name string) bool { return f[name] || f[strings.ToLower(name)] }

// readOnlyFunctions are functions of pg_catalog that change neither stored data nor session
// state that a later statement could see. Deliberately excluded are functions for sequences
// (nextval, setval), settings (set_config), locks, large objects, notifications and signals to
// other sessions, and all functions that execute a statement given as text (query_to_xml,
// ts_stat, ts_rewrite, dblink).
var readOnlyFunctions = func() FunctionSet {
	f := FunctionSet{}
	for _, name := range strings.Fields(`
abs acos acosd acosh age any_value array_agg array_append array_cat array_dims array_fill array_length array_lower
array_ndims array_position array_positions array_prepend array_remove array_replace array_reverse array_sample
array_shuffle array_sort array_to_json array_to_string array_upper ascii asin asind asinh atan atan2 atan2d atand atanh
avg bit_and bit_count bit_length bit_or bit_xor bool bool_and bool_or box bpchar btrim bytea cardinality cbrt ceil
ceiling center char_length character_length chr circle clock_timestamp coalesce col_description concat concat_ws convert
convert_from convert_to corr cos cosd cosh cot cotd count covar_pop covar_samp crc32 crc32c cube cume_dist
current_database current_query current_schema current_schemas current_setting date date_add date_bin date_part
date_subtract date_trunc daterange datemultirange decode degrees dense_rank diagonal diameter div encode enum_first
enum_last enum_range erf erfc every exp extract factorial family first_value float4 float8 floor format format_type
gamma gcd gen_random_uuid generate_series generate_subscripts get_bit get_byte get_current_ts_config
greatest has_any_column_privilege has_column_privilege has_database_privilege has_function_privilege
has_schema_privilege has_sequence_privilege has_table_privilege has_type_privilege height host hostmask
inet_client_addr inet_client_port inet_merge inet_same_family inet_server_addr inet_server_port initcap int2 int4
int4multirange int4range int8 int8multirange int8range isclosed isempty isfinite isopen json_agg
json_array_elements json_array_elements_text json_array_length json_build_array json_build_object json_each
json_each_text json_extract_path json_extract_path_text json_object_agg json_object_keys json_populate_record
json_populate_recordset json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_agg
jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each
jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg
jsonb_object_keys jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first
jsonb_populate_record jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_set_lax jsonb_strip_nulls
jsonb_to_record jsonb_to_recordset jsonb_typeof justify_days justify_hours justify_interval lag last_value lcm lead
least left length lgamma line ln log log10 lower lower_inc lower_inf lpad lseg ltrim macaddr make_date make_interval
make_time make_timestamp make_timestamptz masklen max md5 min min_scale mod mode multirange name netmask network
normalize now npoints nth_value ntile nullif num_nonnulls num_nulls numeric numnode nummultirange numrange
obj_description octet_length oid overlay parse_ident path pclose percent_rank percentile_cont percentile_disc
pg_backend_pid pg_char_to_encoding pg_client_encoding pg_collation_for pg_column_size pg_conf_load_time
pg_database_size pg_encoding_to_char pg_function_is_visible pg_get_constraintdef pg_get_expr pg_get_functiondef
pg_get_function_arguments pg_get_function_identity_arguments pg_get_function_result pg_get_indexdef pg_get_keywords
pg_get_partkeydef pg_get_ruledef pg_get_serial_sequence pg_get_triggerdef pg_get_userbyid pg_get_viewdef
pg_indexes_size pg_is_in_recovery pg_is_other_temp_schema pg_my_temp_schema pg_opclass_is_visible
pg_operator_is_visible pg_postmaster_start_time pg_relation_filenode pg_relation_size pg_size_bytes pg_size_pretty
pg_sleep pg_sleep_for pg_sleep_until pg_table_is_visible pg_table_size pg_tablespace_size pg_total_relation_size
pg_type_is_visible pg_typeof phraseto_tsquery pi plainto_tsquery point polygon popen position power querytree
quote_ident quote_literal quote_nullable radians radius random random_normal range_agg range_intersect_agg
range_merge rank regclass regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace
regexp_split_to_array regexp_split_to_table regexp_substr regproc regtype regr_avgx regr_avgy regr_count
regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy repeat replace reverse right rollup round row_number
row_to_json rpad rtrim scale setweight sha224 sha256 sha384 sha512 shobj_description sign sin sind sinh slope split_part
sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array string_to_table strip
strpos substr substring sum tan tand tanh text time timeofday timestamp timestamptz timetz to_ascii to_bin to_char
to_date to_hex to_json to_jsonb to_number to_oct to_regclass to_regnamespace to_regoper to_regproc to_regrole
to_regtype to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trim_array trim_scale trunc
ts_delete ts_filter ts_headline ts_lexize ts_rank ts_rank_cd tsmultirange tsquery_phrase tsrange tstzmultirange
tstzrange tsvector_to_array unistr unnest upper upper_inc upper_inf uuid uuid_extract_timestamp uuid_extract_version
uuidv4 uuidv7 var_pop var_samp variance varchar version websearch_to_tsquery width width_bucket xmlagg`) {
		f[name] = true
	}
	return f
}()

// readOnlyOperators are the operators of pg_catalog, all of which only read. Any other operator
// may be user-defined and call a function that writes.
var readOnlyOperators = func() map[string]bool {
	operators := map[string]bool{}
	for _, op := range strings.Fields("+ - * / % ^ |/ ||/ @ & | # ~ << >> < > <= >= = <> != || ~* !~ !~* ~~ ~~* !~~ !~~* " +
		"-> ->> #> #>> @> <@ ? ?| ?& #- @? @@ @@@ && &< &> <<| |>> &<| |&> ^@ -|- <-> ## ?- ?# ?-| ?|| <^ >^ ~= ~<~ ~<=~ " +
		"~>=~ ~>~ <<= >>= *= *<> *< *> *<= *>= @-@ @@ !! => =-") {
		operators[op] = true
	}
	return operators
}()

// isReadOnlyOperator reports whether an operator of this name is known to only read. Every single
// operator character except ` and ! is the name of a built-in operator.
func isReadOnlyOperator(op string) bool {
	if len(op) == 1 && op[0] != '`' && op[0] != '!' {
		return true
	}
	return readOnlyOperators[op]
}
