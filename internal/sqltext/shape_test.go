package sqltext

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Statements that differ in values, case, space, comments and the length of lists have
// one normal form; others have their own.
func TestNormalForm(t *testing.T) {
	for want, stmts := range map[string][]string{
		"select day, count(*) from sales_#.orders where tag = ? group by day": {
			"SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
			"/* class=report */ select  day , COUNT ( * ) from \"sales_3\".orders where tag=$1 group by day -- x",
			"SELECT day,count(*)FROM sales_4.orders WHERE tag=E'\\'' GROUP BY day;",
		},
		"select a from t where b in (?) and c > ?": {
			"SELECT a FROM t WHERE b IN (1, 2, -3) AND c > -5",
			"SELECT a FROM t WHERE b IN ($1) AND c > $2",
			"SELECT a FROM t WHERE b IN (" + strings.Repeat("'x', ", 5000) + "'y') AND c > 1.5e3",
		},
		"insert into t(a, b) values (?, ?) on conflict do nothing": {
			"INSERT INTO t (a, b) VALUES ($1, $2) ON CONFLICT DO NOTHING",
			"INSERT INTO t (a, b) VALUES (1, 'x'), (2, 'y'), (3, 'z') ON CONFLICT DO NOTHING",
		},
		"select f(?, ?), f(?, ?, ?), - a, b - ?":     {"SELECT f(1,2), f(1,2,3), -a, b - 1"},
		"select \"A\", \"select\", b, x::int from t": {"SELECT \"A\", \"select\", \"b\", X::INT FROM t"},
		"select a from t where b = any (array[?])":   {"SELECT a FROM t WHERE b = ANY (ARRAY[1,2,3])", "SELECT a FROM t WHERE b = any(array[1])"},
		"values (?, ?)": {"VALUES (1, 2), (3, 4)", "VALUES (5, 6)"},
		"select a from t where b in (select c from u where d = ?)": {"SELECT a FROM t WHERE b IN (SELECT c FROM u WHERE d = 1)"},
	} {
		for _, s := range stmts {
			r := NewReader()
			if diff := cmp.Diff(want, string(r.Read(s).NormalForm)); diff != "" {
				t.Errorf("%.80s:\n%s", s, diff)
			}
		}
	}
}

func be(n uint64, size int) []byte {
	b := make([]byte, 8)
	binary.BigEndian.PutUint64(b, n)
	return b[8-size:]
}

// array is an array as binary Binds hold it.
func array(n int) []byte {
	b := append(append(append(append(be(1, 4), be(0, 4)...), be(25, 4)...), be(uint64(n), 4)...), be(1, 4)...)
	for range n {
		b = append(append(b, be(2, 4)...), "ab"...)
	}
	return b
}

// The values of an execution tell when a shape of a usualLookup is a broad report.
func TestProfile(t *testing.T) {
	text := func(v ...string) (b Binds) {
		for _, s := range v {
			if s == "NULL" {
				b.Values = append(b.Values, nil)
			} else {
				b.Values = append(b.Values, []byte(s))
			}
		}
		return b
	}
	bin := func(oid uint64, v ...[]byte) Binds {
		b := Binds{Values: v, Formats: []byte{0, 1}}
		for range v {
			b.Types = append(b.Types, be(oid, 4)...)
		}
		return b
	}
	for _, tt := range []struct {
		stmt  string
		binds Binds
		want  Profile
	}{
		{"SELECT a FROM t WHERE part = $1", text("p1"), Profile{}},
		{"SELECT a FROM t WHERE part IN (" + strings.Repeat("1,", 4999) + "1)", Binds{}, Profile{Alternatives: 5000}},
		{"SELECT a FROM t WHERE part = ANY($1)", text("{a,\"b,c\",d}"), Profile{Alternatives: 3}},
		{"SELECT a FROM t WHERE part = ANY($1::text[])", bin(1009, array(77)), Profile{Alternatives: 77}},
		{"SELECT a FROM t WHERE part = ANY('{1,2}')", Binds{}, Profile{Alternatives: 2}},
		{"SELECT a FROM t WHERE day BETWEEN $1 AND $2", text("2016-01-01", "2026-01-01"), Profile{Span: 3653}},
		{"SELECT a FROM t WHERE day >= date '2026-01-01' AND day < '2026-02-01'", Binds{}, Profile{Span: 31}},
		{"SELECT a FROM t WHERE day >= $1 AND day <= $2", bin(1082, be(100, 4), be(465, 4)), Profile{Span: 365}},
		{"SELECT a FROM t WHERE ts >= $1 AND ts <= $2", bin(1114, be(0, 8), be(86400e6*7, 8)), Profile{Span: 7}},
		{"SELECT a FROM t WHERE n BETWEEN -5 AND 5", Binds{}, Profile{Span: 10}},
		{"SELECT a FROM t WHERE day > now() - interval '1 year'", Binds{}, Profile{Span: 365.25}},
		{"SELECT a FROM t WHERE day >= $1", text("2026-01-01"), Profile{HalfOpen: true}},
		{"SELECT a FROM t WHERE name LIKE '%x%'", Binds{}, Profile{Pattern: LeadingWildcard, Unrestricted: true}},
		{"SELECT a FROM t WHERE name LIKE $1", text("x%"), Profile{Pattern: PrefixPattern}},
		{"SELECT a FROM t WHERE b = 1 LIMIT $1", text("1000000"), Profile{Limit: 1e6}},
		{"SELECT a FROM t WHERE b = 1 LIMIT $1", bin(20, be(50, 8)), Profile{Limit: 50}},
		{"SELECT a FROM t FETCH FIRST 9 ROWS ONLY", Binds{}, Profile{Limit: 9, Unrestricted: true}},
		{"SELECT a FROM t WHERE $1 IS NULL OR part = $1", text("NULL"), Profile{DisabledRestrictions: 1, Unrestricted: true}},
		{"SELECT a FROM t WHERE ($1::text IS NULL OR part = $1)", text("p"), Profile{}},
		{"SELECT a FROM t WHERE part = coalesce($1, part)", text("NULL"), Profile{DisabledRestrictions: 1, Unrestricted: true}},
		{"SELECT a FROM t WHERE NULL IS NULL OR part = 'p'", Binds{}, Profile{Unrestricted: true}},
		{"SELECT a FROM t WHERE 1 = 1", Binds{}, Profile{Unrestricted: true}},
		{"SELECT a FROM t JOIN u ON t.x = u.y", Binds{}, Profile{Unrestricted: true}},
		{"INSERT INTO t VALUES (1, 2), (3, 4), (5, 6)", Binds{}, Profile{Rows: 3}},
		{"SELECT a FROM t WHERE part = ANY($1)", bin(1009, be(9, 2)), Profile{}},
		{"SELECT a FROM t WHERE part = ANY($1)", bin(1009, append(be(6, 4), make([]byte, 60)...)), Profile{}},
	} {
		r := NewReader()
		got := r.Read(tt.stmt).Profile(tt.stmt, &tt.binds, 1)
		got.Key, got.Column = 0, 0
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%.80s:\n%s", tt.stmt, diff)
		}
	}
}

// A value is the same key however it is written and bound.
func TestKeys(t *testing.T) {
	key := func(stmt string, b Binds) uint64 {
		r := NewReader()
		p := r.Read(stmt).Profile(stmt, &b, 7)
		return p.Key
	}
	one := key("SELECT a FROM t WHERE part = 4711", Binds{})
	for _, other := range []uint64{
		key("SELECT a FROM t WHERE part = '4711'", Binds{}),
		key("SELECT a FROM t WHERE part = $1", Binds{Values: [][]byte{[]byte("4711")}}),
		key("SELECT a FROM t WHERE part = $1", Binds{Values: [][]byte{be(4711, 4)}, Formats: []byte{0, 1}, Types: be(23, 4)}),
	} {
		if other != one || one == 0 {
			t.Errorf("key %x, want %x", other, one)
		}
	}
}

// Reading takes no memory of its own and ends on any text; its slots lie within it, and
// the normal form is not longer than twice the text.
func FuzzRead(f *testing.F) {
	f.Add("SELECT a FROM t WHERE b IN (1, -2) AND c LIKE '%x' LIMIT 5", []byte{0, 1, 2, 3})
	f.Add("INSERT INTO s_1.t VALUES (1, ARRAY[2,3]), ((4)) ; VALUES IN (VALUES", []byte{})
	f.Add("ARRAY[IN(ARRAY[IN(1,(2,-", []byte{9})
	f.Fuzz(func(t *testing.T, stmt string, v []byte) {
		r := NewReader()
		r.ClassifyEffect = true
		out := r.Read(stmt)
		if want := EffectOf(stmt, nil); out.Effect != want {
			t.Fatalf("%q: %v on the way, %v by itself", stmt, out.Effect, want)
		}
		first, several := FirstWord(stmt)
		if strings.ToUpper(out.FirstWord) != first || out.MultipleStatements != several {
			t.Fatalf("%q: first %q, several %v; by itself %q, %v", stmt, out.FirstWord, out.MultipleStatements, first, several)
		}
		if len(out.NormalForm) > 2*len(stmt)+16 {
			t.Fatalf("%d bytes of normal form for %d", len(out.NormalForm), len(stmt))
		}
		for _, s := range out.Slots {
			if s.Start < 0 || s.End < s.Start || int(s.End) > len(stmt) || s.Count < 0 {
				t.Fatalf("slot %+v of %d bytes", s, len(stmt))
			}
		}
		for _, formats := range [][]byte{nil, {0, 1}} {
			p := out.Profile(stmt, &Binds{Values: [][]byte{v, nil, v}, Formats: formats, Types: v}, 1)
			_ = p.Bucket()
			if p.Alternatives < 0 || p.Span < 0 || p.Limit < 0 || p.DisabledRestrictions < 0 {
				t.Fatalf("profile %+v", p)
			}
		}
	})
}

const usual = "SELECT o.day, count(*), max(o.note) FROM sales_17.orders o JOIN sales_17.parts p ON p.id = o.part " +
	"WHERE o.tag = $1 AND o.day BETWEEN $2 AND $3 AND o.status IN ('open', 'late') GROUP BY o.day ORDER BY 1 LIMIT 50"

// usualLookup is the statement that most of the Board's traffic is made of.
const usualLookup = "SELECT part, n FROM stock_17.stock WHERE part = 'p-00017'"

func BenchmarkReadLookup(b *testing.B) {
	r := NewReader()
	b.ReportAllocs()
	b.SetBytes(int64(len(usualLookup)))
	for b.Loop() {
		p := r.Read(usualLookup).Profile(usualLookup, &Binds{}, 1)
		_ = p.Bucket()
	}
}

func BenchmarkReadShort(b *testing.B) {
	r := NewReader()
	const short = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"
	b.ReportAllocs()
	b.SetBytes(int64(len(short)))
	for b.Loop() {
		p := r.Read(short).Profile(short, &Binds{}, 1)
		_ = p.Bucket()
	}
}

func BenchmarkRead(b *testing.B) {
	r := NewReader()
	binds := Binds{Values: [][]byte{[]byte("3f9c"), be(100, 4), be(130, 4)}, Formats: []byte{0, 0, 0, 1, 0, 1}, Types: append(append(be(25, 4), be(1082, 4)...), be(1082, 4)...)}
	b.ReportAllocs()
	b.SetBytes(int64(len(usual)))
	for b.Loop() {
		p := r.Read(usual).Profile(usual, &binds, 1)
		_ = p.Bucket()
	}
}

func BenchmarkLong(b *testing.B) {
	var rows, list strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&rows, "('P-%07d', 'hall-a', %d, 'spoke set for a 28 inch wheel'), ", i, i*7)
		fmt.Fprintf(&list, "'P-%07d', ", i)
	}
	for name, stmt := range map[string]string{
		"rows":    "INSERT INTO stock_1.batches VALUES " + strings.TrimSuffix(rows.String(), ", "),
		"list":    "SELECT a FROM stock_1.parts WHERE part IN (" + strings.TrimSuffix(list.String(), ", ") + ")",
		"comment": "SELECT 1 /* " + strings.Repeat("x ", 500000) + "*/",
		"words":   "SELECT " + strings.Repeat("a_column_of_note, ", 60000) + "b FROM t",
		"effect":  "",
	} {
		b.Run(name, func(b *testing.B) {
			if name == "effect" {
				stmt = "SELECT a FROM stock_1.parts WHERE part IN (" + strings.TrimSuffix(list.String(), ", ") + ")"
			}
			r := NewReader()
			b.SetBytes(int64(len(stmt)))
			for b.Loop() {
				if name == "effect" {
					EffectOf(stmt, nil)
				} else {
					r.Read(stmt)
				}
			}
		})
	}
}
