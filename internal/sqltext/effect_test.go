package sqltext

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEffect checks the effect of statements of many forms, by EffectOf and by a Reader. It guards
// above all against a statement that writes, or calls an unknown function, being classified as
// Reads.
func TestEffect(t *testing.T) {
	readOnly := FunctionSet{"stock.price_of": true, "is_open": true}
	for stmt, want := range map[string]Effect{
		"DELETE FROM t":                Writes,
		" /* c */ UPDATE t SET a = 1":  Writes,
		"MERGE INTO t USING s ON true": Writes,
		"CREATE TABLE x AS SELECT 1":   Writes,
		"TRUNCATE t":                   Writes,
		"SELECT a INTO x FROM t":       Writes,
		"SELECT 1INTO x FROM t":        Writes,
		"SELECT $1INTO x":              Writes,
		"WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d":                    Writes,
		"WITH RECURSIVE d(a) AS (SELECT 1), e AS (insert into t select 1) TABLE d": Writes,
		"SELECT * FROM t FOR UPDATE":                                               Writes,
		"SELECT * FROM t FOR NO KEY UPDATE":                                        Writes,
		"SELECT * FROM t FOR KEY SHARE SKIP LOCKED":                                Writes,
		"EXPLAIN ANALYZE DELETE FROM t":                                            Writes,
		"EXPLAIN (ANALYZE, BUFFERS) DELETE FROM t":                                 Writes,
		"EXPLAIN (\"analyze\" on) DELETE FROM t":                                   Writes,
		"explain analyse verbose update t set a = 1":                               Writes,
		"EXPLAIN ANALYZE CREATE TABLE x AS SELECT 1":                               Writes,
		"SELECT 1 -- x\rFROM t FOR UPDATE":                                         Writes,
		"SELECT 1 /* a /* b */ */ FROM x; DELETE FROM t":                           Writes,
		"SELECT 'a''' , b FROM t FOR SHARE":                                        Writes,
		"SELECT E'a\\'', b FROM t FOR SHARE":                                       Writes,
		"SELECT E'a'\n'\\'', b FROM t FOR SHARE":                                   Writes,

		"SELECT setval('s', 1)":                                   Unknown,
		"SELECT \"setval\" ('s', 1)":                              Unknown,
		"SELECT pg_catalog.setval('s', 1)":                        Unknown,
		"SELECT setval/**/('s', 1)":                               Unknown,
		"SELECT public.lower('s')":                                Unknown,
		"SELECT DISTINCT ON (a) setval('s', 1)":                   Unknown,
		"SELECT a FROM unnest(x) WITH ORDINALITY, setval('s', 1)": Unknown,
		"WITH a AS (SELECT 1) SELECT 2, setval('s', 1)":           Unknown,
		"WITH a AS (SELECT 1, evil(2)) SELECT 2":                  Unknown,
		"SELECT \"Lower\"('s')":                                   Unknown,
		"SELECT 1 WHERE a = over(1)":                              Unknown,
		"SELECT 1 WHERE a IN (1) AND join(1) > 0":                 Unknown,
		"EXPLAIN ANALYZE SELECT evil()":                           Unknown,
		"EXPLAIN ANALYZE EXECUTE p":                               Unknown,
		"DO $$ BEGIN DELETE FROM t; END $$":                       Unknown,
		"CALL f()":                                                Unknown, "EXECUTE p": Unknown, "NOTIFY x": Unknown, "": Unknown, "xyz": Unknown,
		"SELECT 'open":                     Unknown,
		"SELECT 1 /* open":                 Unknown,
		"SELECT 'a\\' || 'b'":              Unknown,
		"SELECT U&'\\0061'":                Unknown,
		"SELECT U&\"\\0073etval\"('s', 1)": Unknown,
		"SELECT a OPERATOR(evil.+) b":      Unknown,
		"SELECT a <<<>>> b":                Unknown,
		"SELECT '\xff'":                    Unknown,
		"SELECT query_to_xml('DELETE FROM t', true, true, '')": Unknown,

		"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day": Reads,
		"select pg_catalog.now(), is_open(x), Stock.Price_Of(y) from t":                        Reads,
		"(SELECT 1) UNION ALL (SELECT 2)":                                                      Reads,
		"VALUES (1), (2)":                                                                      Reads, "TABLE t": Reads, "SHOW timezone": Reads,
		"EXPLAIN DELETE FROM t":              Reads,
		"EXPLAIN (COSTS off) SELECT evil()":  Reads,
		"EXPLAIN ANALYZE VERBOSE (SELECT 1)": Reads,
		"WITH a (x, y) AS MATERIALIZED (SELECT 1, 2), b(z) AS (SELECT 3) SELECT * FROM a":               Reads,
		"SELECT t.update, 'DELETE', \"insert\" AS delete FROM t -- INSERT":                              Reads,
		"SELECT a::numeric(10,2), CAST(b AS varchar(3)) FROM t AS u(a, b)":                              Reads,
		"SELECT sum(a) FILTER (WHERE b) OVER (PARTITION BY (c) ORDER BY (d)) FROM t":                    Reads,
		"SELECT * FROM a LEFT JOIN (SELECT 1) b USING (x) WHERE c NOT LIKE ('x')":                       Reads,
		"SELECT i FROM generate_series(1, 9) g(i) WHERE i = ANY ($1) AND $2 IS NULL":                    Reads,
		"SELECT a #>> '{b}', c->>'d', -e, f||g, h !~* 'i', 1.5e-3, $$ DELETE $$ FROM t":                 Reads,
		"SELECT substring(a FROM 1 FOR 3), position('a' IN b) FROM t":                                   Reads,
		"SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY a) FROM t GROUP BY GROUPING SETS ((a), ())": Reads,
	} {
		got := EffectOf(stmt, readOnly)
		if got.Effect != want {
			t.Errorf("EffectOf(%q) = %v (%v), want %v", stmt, got.Effect, got, want)
		}
		r := NewReader()
		r.ClassifyEffect, r.ReadOnlyFunctions = true, readOnly
		if fromReader := r.Read(stmt).Effect; fromReader != got {
			t.Errorf("Read(%q).Effect = %v, want %v as from EffectOf", stmt, fromReader, got)
		}
	}
}

// TestEffectOfLongText checks that a locking clause after 1 MiB of repeated, nested or malformed
// text is not overlooked.
func TestEffectOfLongText(t *testing.T) {
	for _, fill := range []string{"(", "[", "a,", "'x' ", "/* */", "E'\\\\' ", "$$x$$ ", "1.", "\"q\"", "WITH a AS (", "f.", "'a'\n"} {
		text := "SELECT " + strings.Repeat(fill, 1<<20/len(fill)) + " 1 FOR UPDATE"
		if got := EffectOf(text, nil); got.Effect == Reads {
			t.Errorf("effect of %d bytes of %q followed by FOR UPDATE = %v (%v), want other than %v", len(text), fill, got.Effect, got, Reads)
		}
	}
}

// TestWritesInDisguise checks that a statement that writes, or calls an unknown function, is never
// classified as Reads, whatever comments and spaces separate its words, in either case, and inside
// any enclosing statement.
func TestWritesInDisguise(t *testing.T) {
	writes := []string{
		"DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t VALUES ( 1 )", "SELECT a INTO x FROM t", "SELECT setval ( 's' , 1 )",
		"SELECT a FROM t FOR NO KEY UPDATE", "CALL f ( )", "SELECT public . lower ( 'a' )", "SELECT \"Count\" ( a ) FROM t",
		"SELECT a FROM t , LATERAL evil ( t . b ) x", "SELECT CASE WHEN evil ( a ) THEN 1 END FROM t", "SELECT a [ evil ( 1 ) ] FROM t",
		"SELECT DISTINCT ON ( a ) evil ( b ) FROM t", "SELECT a FROM t ORDER BY evil ( a )", "SELECT a FROM t WHERE a IN ( evil ( 1 ) )",
	}
	separators := []string{" ", "\n", "\t", "/**/", "/* a /* b */ 'c */", "--x\n", "-- '\r", " /* ; */ ", "\f"}
	wraps := []string{"%s", "WITH q AS ( %s ) SELECT 1", "EXPLAIN ANALYZE %s", "EXPLAIN ( ANALYZE , COSTS off ) %s", "explain analyse verbose %s",
		"SELECT 1 FROM ( %s ) z", "( %s )", "WITH a ( b ) AS ( SELECT 1 ) , q AS MATERIALIZED ( %s ) SELECT 2"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Replace(rapid.SampledFrom(wraps).Draw(t, "wrap"), "%s", rapid.SampledFrom(writes).Draw(t, "write"), 1)
		var b strings.Builder
		for _, word := range strings.Fields(text) {
			if !strings.ContainsAny(word, "'\"") && rapid.Bool().Draw(t, "lowercase") {
				word = strings.ToLower(word)
			}
			b.WriteString(word)
			b.WriteString(rapid.SampledFrom(separators).Draw(t, "separator"))
		}
		if got := EffectOf(b.String(), nil); got.Effect == Reads {
			t.Fatalf("EffectOf(%q) = %v (%v), want other than %v", b.String(), got.Effect, got, Reads)
		}
	})
}
