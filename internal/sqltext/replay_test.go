package sqltext

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var writeReplay = flag.Bool("write-replay", false, "write the digests of the replay instead of comparing them")

// statementGenerator generates statements from a seed: of every form that the package treats
// specially, and malformed ones.
type statementGenerator struct {
	rng *rand.Rand
}

// pick returns one of the texts at random.
func (g *statementGenerator) pick(all ...string) string { return all[g.rng.IntN(len(all))] }

func (g *statementGenerator) name() string {
	return g.pick("part", "day", "a", "b_2", "Note", `"part"`, `"Part"`, `"select"`, `"a""b"`, "o.day", "t.update", "sales_17.orders.part",
		"größe", "x$y", `U&"d\0061t"`, "_", "column_with_a_long_name", `""`, `"übung"`)
}

func (g *statementGenerator) table() string {
	return g.pick("sales_17.orders", "stock_3.parts o", `"sales_9"."orders"`, "staging_4.x", "t", "my_sales_12 . t AS u(a, b)", "register.sales_13.t",
		"generate_series(1, 9) g(i)", "s_x.t", "ONLY sales_5.t", "sales_1234567890123456789.t", "(SELECT 1) z", "LATERAL evil(t.b) x",
		"unnest(x) WITH ORDINALITY", "STAGING_7.y", "sales_2.t NATURAL JOIN (sales_3.u)")
}

func (g *statementGenerator) value() string {
	return g.pick("1", "-5", "+7", "- 3", "1.5e-3", "0x1F", "1_000", ".5", "1.", "1..2", "0b11", "0o17", "1e", "12abc",
		"'x'", "'a''b'", "E'a\\'b'", "'a\\'b'", "N'n'", "B'01'", "X'1f'", "U&'\\0061'", "'a'\n'b'", "'a' 'b'", "'a' -- c\n 'b'", "$$d$$", "$tag$ x $y$ $tag$",
		"$ta$ $tag$ $ta$", "'2026-01-01'", "date '2026-02-03'", "timestamptz '2026-02-03 04:05'", "interval '3 months'", "INTERVAL '1 year 2 days'",
		"interval '90 min'", "interval '5'", "interval '1 week 3 hours 2 d 1 m 9 s'", "NULL", "true", "$1", "$2", "$3", "$4::int", "$5", "$99999999", "$0",
		"'%x%'", "'x%'", "'^ab.*'", "'exact'", "'a\\%'", "'{1,2,3}'", "'{a,\"b,c\",d}'", "ARRAY[1,2,3]", "ARRAY[[1,2],[3,4]]", "array[$1, -2]", "'größe'",
		"1000000", "50", "4711", "'4711'")
}

func (g *statementGenerator) call() string {
	function := g.pick("count", "sum", "MAX", "avg", "lower", "now", "setval", "evil", "pg_catalog.now", "pg_catalog.setval", "public.lower", "coalesce",
		"stock.price_of", "Stock.Price_Of", "is_open", `"Lower"`, `"lower"`, "substring", "jsonb_agg", "string_agg", "percentile_cont", "row", "over", "join", "set_config")
	return function + g.pick("(", " (", "/**/(", "\n(") + g.pick("", "*", g.name(), g.value(), g.name()+", "+g.value()) + ")" +
		g.pick("", "", " OVER (PARTITION BY (c) ORDER BY (d))", " FILTER (WHERE b)", " WITHIN GROUP (ORDER BY a)")
}

func (g *statementGenerator) expression() string {
	if g.rng.IntN(3) == 0 {
		return g.call()
	}
	return g.pick(g.name(), g.value(), "CASE WHEN "+g.name()+" THEN "+g.value()+" END", "CAST("+g.name()+" AS varchar(3))", g.name()+"::numeric(10,2)",
		"-"+g.name(), "("+g.name()+" "+g.pick("+", "-", "*-", "||", "<<<>>>", "#>>", "->>", "@>", "OPERATOR(evil.+)", "+-", "@-")+" "+g.value()+")", "a[1]",
		"a[evil(1)]", "count(DISTINCT x)", "position('a' IN b)", "substring(a FROM 1 FOR 3)")
}

func (g *statementGenerator) list() string {
	elements := []string{}
	count := 1 + g.rng.IntN(9)
	if g.rng.IntN(60) == 0 {
		count = 4000
	}
	plain := g.pick("1", "'x'", "$1")
	for range count {
		if g.rng.IntN(10) == 0 {
			plain = g.pick("1", "-2", "'y'", "$2", "(1, 2)", "f(3)", "(SELECT 1)", "2::int", "IN (4)", "a")
		}
		elements = append(elements, plain)
	}
	return strings.Join(elements, g.pick(",", ", ", " , ", ",/* c */"))
}

func (g *statementGenerator) condition() string {
	switch g.rng.IntN(14) {
	case 0:
		return g.name() + g.pick(" IN (", " NOT IN (", " in(", " = ANY (", " = SOME(") + g.list() + ")"
	case 1:
		return g.name() + " BETWEEN " + g.pick("", "SYMMETRIC ") + g.value() + " AND " + g.value()
	case 2:
		return g.name() + g.pick(" LIKE ", " NOT LIKE ", " ilike ", " ~ ", " !~* ", " ~~* ", " SIMILAR TO ") + g.value()
	case 3:
		return "$1 IS NULL OR " + g.name() + " = $1"
	case 4:
		return "(" + g.pick("$1::text", "$2", "NULL", g.name()) + " IS " + g.pick("", "NOT ") + "NULL OR " + g.name() + " = " + g.value() + ")"
	case 5:
		return g.name() + " = coalesce(" + g.pick("$1", "$3", "'a'") + ", part)"
	case 6:
		return g.name() + " > now() - interval '1 year'"
	case 7:
		return g.name() + " >= " + g.value() + " AND " + g.name() + " < " + g.value()
	case 8:
		return g.name() + " = ANY (" + g.pick("$1", "$1::text[]", "'{1,2}'", "ARRAY["+g.list()+"]", "SELECT 1") + ")"
	case 9:
		return g.pick("1 = 1", "true", "x IS DISTINCT FROM 3", "EXISTS (SELECT 1 FROM sales_8.u)", "a IN (SELECT c FROM u WHERE d = 1)", "(a, b) = (1, 2)")
	default:
		return g.expression() + g.pick(" = ", "=", " < ", " <= ", " > ", " >= ", " <> ", "=-", " % ") + g.value()
	}
}

func (g *statementGenerator) where() string {
	var text strings.Builder
	for n := g.rng.IntN(5); n > 0; n-- {
		text.WriteString(g.pick(" WHERE ", " AND ", " OR ", " WHERE ") + g.condition())
	}
	return text.String()
}

func (g *statementGenerator) selects() string {
	var columns strings.Builder
	columns.WriteString(g.pick("SELECT ", "select ", "SELECT DISTINCT ", "SELECT DISTINCT ON (a) ", "Select ") + g.expression())
	for n := g.rng.IntN(4); n > 0; n-- {
		columns.WriteString(g.pick(",", ", ", " , ") + g.expression() + g.pick("", " AS x", ` "update"`, " AS delete"))
	}
	text := columns.String() + g.pick(" FROM ", " from ", " INTO x FROM ", " FROM ", " FROM ", " FROM ") + g.table()
	text += g.pick("", "", " JOIN "+g.table()+" USING (x)", " LEFT JOIN "+g.table()+" ON t.x = u.y", ", "+g.table()) + g.where()
	text += g.pick("", "", " GROUP BY day", " GROUP BY GROUPING SETS ((a), ())", " HAVING count(*) > 3", " UNION ALL SELECT 2", " ORDER BY 1", " ORDER BY (a)")
	text += g.pick("", "", " LIMIT 50", " LIMIT $1", " LIMIT "+g.value()+" OFFSET 5", " FETCH FIRST 9 ROWS ONLY", " FETCH NEXT (3) ROWS WITH TIES")
	return text + g.pick("", "", "", "", " FOR UPDATE", " FOR NO KEY UPDATE", " FOR KEY SHARE SKIP LOCKED", " for share")
}

func (g *statementGenerator) rows() string {
	row := g.pick("(1, 'x')", "($1, $2)", "(1)", "(1, ARRAY[2,3])", "((4), -5)", "(1,2,3,4)")
	all := []string{}
	count := 1 + g.rng.IntN(6)
	if g.rng.IntN(30) == 0 {
		count = 3000
	}
	for range count {
		if g.rng.IntN(12) == 0 {
			row = g.pick("(7, 'z')", "(DEFAULT, now())", "(1, 2, 3)", "(9)", "row(1)")
		}
		all = append(all, row)
	}
	return "VALUES " + strings.Join(all, g.pick(", ", ",", " , "))
}

func (g *statementGenerator) write() string {
	return g.pick("DELETE FROM "+g.table()+g.where()+" RETURNING *", "UPDATE "+g.table()+" SET a = "+g.value()+g.where(),
		"INSERT INTO "+g.table()+" (a, b) "+g.rows()+" ON CONFLICT DO NOTHING", "insert into t "+g.selects(), "MERGE INTO t USING s ON true",
		"CREATE TABLE x AS SELECT 1", "TRUNCATE t", "DO $$ BEGIN DELETE FROM t; END $$", "CALL f()", "EXECUTE p", "NOTIFY x", "COPY t FROM STDIN",
		"SET LOCAL a.b = 'x'", "BEGIN", "commit", "Vacuum t", "LOCK t", "show timezone", "TABLE t", g.rows(), "grant all on t to u")
}

// randomCharacters returns up to 59 random characters with a meaning to the lexer.
func (g *statementGenerator) randomCharacters() string {
	b := make([]byte, g.rng.IntN(60))
	const characters = `'"$\/*-;:.,()[]{}%_ 	aAeEuU&xX09` + "\n\r\x00\x7f\x80\xff\xc3\xa4"
	for i := range b {
		b[i] = characters[g.rng.IntN(len(characters))]
	}
	return string(b)
}

// statement generates a statement or a malformed text.
func (g *statementGenerator) statement() string {
	text := ""
	switch g.rng.IntN(10) {
	case 0, 1:
		text = g.write()
	case 2:
		text = g.pick("WITH ", "WITH RECURSIVE ", "with ") + g.pick("q AS (", "a (x, y) AS MATERIALIZED (", "b AS NOT MATERIALIZED(", `"Q" AS (`) +
			g.pick(g.selects(), g.write()) + ")" + g.pick(" ", ", z(c) AS (SELECT evil(1)) ", ", z(c) AS (SELECT 3) ") + g.selects()
	case 3:
		text = g.pick("EXPLAIN ", "EXPLAIN ANALYZE ", "explain analyse verbose ", "EXPLAIN (ANALYZE, BUFFERS) ", `EXPLAIN ("analyze" on) `, "EXPLAIN (COSTS off) ") +
			g.pick(g.selects(), g.write(), "("+g.selects()+")")
	case 4:
		text = g.selects() + g.pick("; ", " ;;", ";-- c\n", ";") + g.pick("", g.selects(), g.write())
	case 5:
		text = "(" + g.selects() + ") UNION (" + g.selects() + ")"
	case 6:
		text = g.randomCharacters() + g.pick("", g.selects())
	default:
		text = g.selects()
	}
	text = g.pick("", "", "", "/* class=report */ ", "-- c\n", "-- c\r", " \t\f", "/* a /* b */ c */", "/**/", ";", "/* open ") + text +
		g.pick("", "", "", " -- end", ";", " /* z */", " '", " \"", " $x$", " /* open")
	return g.damaged(text)
}

// damaged returns some texts unchanged and others cut, with random characters inserted, in
// uppercase, with other separators or repeated.
func (g *statementGenerator) damaged(text string) string {
	if len(text) == 0 {
		return text
	}
	at := g.rng.IntN(len(text))
	switch g.rng.IntN(12) {
	case 0:
		return text[:at]
	case 1:
		return text[at:]
	case 2:
		return text[:at] + g.randomCharacters() + text[at:]
	case 3:
		return strings.ToUpper(text)
	case 4:
		return strings.ReplaceAll(text, " ", g.pick("\n", "/* ' */", "  ", "\t"))
	case 5:
		if len(text) < 2000 && g.rng.IntN(10) == 0 {
			return strings.Repeat(text+" , ", 20000/len(text)+1)
		}
	}
	return text
}

// binds generates the values of an execution, some of them with lengths that no type has.
func (g *statementGenerator) binds() Binds {
	var b Binds
	oids := []uint64{20, 21, 23, 25, 700, 701, 1009, 1082, 1114, 1184}
	for range g.rng.IntN(6) {
		oid := oids[g.rng.IntN(len(oids))]
		var value []byte
		switch g.rng.IntN(5) {
		case 0:
		case 1:
			value = bigEndian(g.rng.Uint64(), []int{1, 2, 4, 8}[g.rng.IntN(4)])
		case 2:
			value = bigEndian(uint64(g.rng.IntN(100000)), []int{2, 4, 8}[g.rng.IntN(3)])
		case 3:
			value = binaryTextArray(g.rng.IntN(30))
			if g.rng.IntN(4) == 0 {
				value = value[:g.rng.IntN(len(value))]
			}
		case 4:
			value = []byte(strings.Trim(g.value(), "'"))
		}
		b.Values = append(b.Values, value)
		b.Types = append(b.Types, bigEndian(oid, 4)...)
		b.Formats = append(b.Formats, 0, byte(g.rng.IntN(2)))
	}
	switch g.rng.IntN(5) {
	case 0:
		b.Formats = nil
	case 1:
		b.Formats = []byte{0, 1}
	case 2:
		b.Types = b.Types[:min(len(b.Types), 5)]
	}
	return b
}

// replayRecord hashes the package's results for the statements, with one digest for each area.
// Its lines hold only numbers and strings, so that they don't depend on the names of types and
// fields.
type replayRecord struct {
	digests map[string]hash.Hash
}

// line adds one line of values to the digest of an area.
func (r *replayRecord) line(area string, values ...any) {
	if r.digests[area] == nil {
		r.digests[area] = sha256.New()
	}
	for _, v := range values {
		text := ""
		switch v := v.(type) {
		case string:
			text = strconv.Quote(v)
		case bool:
			text = strconv.FormatBool(v)
		case float64:
			text = strconv.FormatFloat(v, 'g', -1, 64)
		case int64:
			text = strconv.FormatInt(v, 10)
		case uint64:
			text = strconv.FormatUint(v, 10)
		default:
			panic(fmt.Sprintf("replay: unsupported type %T", v))
		}
		_, _ = r.digests[area].Write([]byte(text + " "))
	}
	_, _ = r.digests[area].Write([]byte("\n"))
}

func (r *replayRecord) String() string {
	lines := []string{}
	for area, digest := range r.digests {
		lines = append(lines, area+" "+hex.EncodeToString(digest.Sum(nil))+"\n")
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}

func (r *replayRecord) tokens(text string) {
	l := Lexer{Src: text}
	for t := l.Next(); ; t = l.Next() {
		r.line("tokens", uint64(t.Kind), int64(t.Start), int64(t.End), uint64(t.nameHash()), uint64(t.traits()), uint64(t.keyword()), t.hasUppercase(), l.Text(t))
		if t.Kind == End {
			break
		}
	}
	r.line("tokens", uint64(l.Defects))
}

func (r *replayRecord) reading(out *Reading) {
	r.line("normal form", string(out.NormalForm), out.Truncated)
	f := &out.Features
	r.line("features", uint64(f.Command), int64(f.Tables), int64(f.Joins), int64(f.Aggregates), int64(f.Windows), int64(f.Groups), int64(f.Sorts),
		int64(f.Distincts), int64(f.Selects), int64(f.Rows), int64(f.Values), f.Where, f.Limited)
	for _, s := range out.Slots {
		r.line("slots", uint64(s.Role), s.NullGuard, uint64(s.Column), int64(s.Param), int64(s.Start), int64(s.End), int64(s.Count))
	}
	r.line("reading", out.TableGroup, out.HasTableGroup, uint64(out.Defects), uint64(out.Effect.Effect), out.Effect.Reason, out.Effect.Word, out.FirstWord, out.MultipleStatements,
		int64(out.Restrictions), out.Unrestricted)
}

func (r *replayRecord) profile(p Profile) {
	r.line("profile", int64(p.Alternatives), p.Span, p.HalfOpen, uint64(p.Pattern), p.Limit, int64(p.DisabledRestrictions), p.Unrestricted, int64(p.Rows), uint64(p.Column), p.Key,
		uint64(p.Bucket()))
}

// textFunctions adds the results of the functions that work on a text without a Reader.
func (r *replayRecord) textFunctions(text, prefix string, readOnly FunctionSet) {
	group, hasGroup := TableGroup(text)
	comment, hasComment := LeadingComment(text)
	word, multiple := FirstWord(text)
	r.line("short readers", group, hasGroup, comment, hasComment, word, multiple, SkipComments(text), HasTokenPrefix(text, prefix), HasTokenPrefix(text, "select"),
		HasTokenPrefix(text, "WITH q"), ContainsName(text, "set_config"))
	for _, part := range SplitStatements(text, len(text)+1) {
		r.line("split", part)
	}
	effect := EffectOf(text, readOnly)
	r.line("effect", uint64(effect.Effect), effect.Reason, effect.Word, effect.String(), effect.Effect.String())
	builtInOnly := EffectOf(text, nil)
	r.line("effect", uint64(builtInOnly.Effect), builtInOnly.String())
}

// TestReplay checks that the package's results for generated statements are unchanged: snapshots
// store normal forms, learned costs depend on features and profiles, and routing depends on
// effects. The digests were written by version c18a9bd.
func TestReplay(t *testing.T) {
	const statements = 6000
	readOnly := FunctionSet{"stock.price_of": true, "is_open": true}
	generator := statementGenerator{rng: rand.New(rand.NewPCG(17, 4))}
	classifying, plain := NewReader(), NewReader()
	classifying.ClassifyEffect, classifying.ReadOnlyFunctions = true, readOnly
	record := replayRecord{digests: map[string]hash.Hash{}}
	firstStatement := map[[2]uint64]int64{} // index of the first statement with each fingerprint
	for i := range int64(statements) {
		text := generator.statement()
		record.tokens(text)
		record.textFunctions(text, generator.pick("SELECT DISTINCT", "-- c\nselect", "(select", "update sales_17.", "", "WITH"), readOnly)
		out := classifying.Read(text)
		record.reading(out)
		if got := classifying.Fingerprint(string(out.NormalForm)); !out.Truncated && got != out.Fingerprint {
			t.Fatalf("fingerprint of the normal form of %q = %x, want %x as from Read", text, got, out.Fingerprint)
		}
		if _, known := firstStatement[out.Fingerprint]; !known {
			firstStatement[out.Fingerprint] = i
		}
		record.line("fingerprints", firstStatement[out.Fingerprint])
		for range 2 {
			binds := generator.binds()
			record.profile(out.Profile(text, &binds, uint64(i)))
		}
		record.reading(plain.Read(text))
	}
	path := filepath.Join("testdata", "replay.txt")
	if *writeReplay {
		if err := os.WriteFile(path, []byte(record.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), record.String()); diff != "" {
		t.Errorf("replay differs from version c18a9bd (-want +got):\n%s", diff)
	}
}
