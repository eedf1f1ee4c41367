package sqltext

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bigEndian returns the low size bytes of n in big-endian order.
func bigEndian(n uint64, size int) []byte {
	b := make([]byte, 8)
	binary.BigEndian.PutUint64(b, n)
	return b[8-size:]
}

// binaryTextArray returns an array of n texts in PostgreSQL's binary format.
func binaryTextArray(n int) []byte {
	b := append(append(append(append(bigEndian(1, 4), bigEndian(0, 4)...), bigEndian(25, 4)...), bigEndian(uint64(n), 4)...), bigEndian(1, 4)...)
	for range n {
		b = append(append(b, bigEndian(2, 4)...), "ab"...)
	}
	return b
}

// TestProfile checks the profiles of literals and bound values. Executions of one query shape can
// differ widely in cost, and only the profile tells a lookup from a report.
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
			b.Types = append(b.Types, bigEndian(oid, 4)...)
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
		{"SELECT a FROM t WHERE part = ANY($1::text[])", bin(1009, binaryTextArray(77)), Profile{Alternatives: 77}},
		{"SELECT a FROM t WHERE part = ANY('{1,2}')", Binds{}, Profile{Alternatives: 2}},
		{"SELECT a FROM t WHERE day BETWEEN $1 AND $2", text("2016-01-01", "2026-01-01"), Profile{Span: 3653}},
		{"SELECT a FROM t WHERE day >= date '2026-01-01' AND day < '2026-02-01'", Binds{}, Profile{Span: 31}},
		{"SELECT a FROM t WHERE day >= $1 AND day <= $2", bin(1082, bigEndian(100, 4), bigEndian(465, 4)), Profile{Span: 365}},
		{"SELECT a FROM t WHERE ts >= $1 AND ts <= $2", bin(1114, bigEndian(0, 8), bigEndian(86400e6*7, 8)), Profile{Span: 7}},
		{"SELECT a FROM t WHERE n BETWEEN -5 AND 5", Binds{}, Profile{Span: 10}},
		{"SELECT a FROM t WHERE day > now() - interval '1 year'", Binds{}, Profile{Span: 365.25}},
		{"SELECT a FROM t WHERE day >= $1", text("2026-01-01"), Profile{HalfOpen: true}},
		{"SELECT a FROM t WHERE name LIKE '%x%'", Binds{}, Profile{Pattern: LeadingWildcard, Unrestricted: true}},
		{"SELECT a FROM t WHERE name LIKE $1", text("x%"), Profile{Pattern: PrefixPattern}},
		{"SELECT a FROM t WHERE b = 1 LIMIT $1", text("1000000"), Profile{Limit: 1e6}},
		{"SELECT a FROM t WHERE b = 1 LIMIT $1", bin(20, bigEndian(50, 8)), Profile{Limit: 50}},
		{"SELECT a FROM t FETCH FIRST 9 ROWS ONLY", Binds{}, Profile{Limit: 9, Unrestricted: true}},
		{"SELECT a FROM t WHERE $1 IS NULL OR part = $1", text("NULL"), Profile{DisabledRestrictions: 1, Unrestricted: true}},
		{"SELECT a FROM t WHERE ($1::text IS NULL OR part = $1)", text("p"), Profile{}},
		{"SELECT a FROM t WHERE part = coalesce($1, part)", text("NULL"), Profile{DisabledRestrictions: 1, Unrestricted: true}},
		{"SELECT a FROM t WHERE NULL IS NULL OR part = 'p'", Binds{}, Profile{Unrestricted: true}},
		{"SELECT a FROM t WHERE 1 = 1", Binds{}, Profile{Unrestricted: true}},
		{"SELECT a FROM t JOIN u ON t.x = u.y", Binds{}, Profile{Unrestricted: true}},
		{"INSERT INTO t VALUES (1, 2), (3, 4), (5, 6)", Binds{}, Profile{Rows: 3}},
		{"SELECT a FROM t WHERE part = ANY($1)", bin(1009, bigEndian(9, 2)), Profile{}},
		{"SELECT a FROM t WHERE part = ANY($1)", bin(1009, append(bigEndian(6, 4), make([]byte, 60)...)), Profile{}},
	} {
		r := NewReader()
		got := r.Read(tt.stmt).Profile(tt.stmt, &tt.binds, 1)
		got.Key, got.Column = 0, 0
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("profile of %.80q (-want +got):\n%s", tt.stmt, diff)
		}
	}
}

// TestProfileKey checks that a value has the same key as a literal, as a string and bound in text
// or binary format.
func TestProfileKey(t *testing.T) {
	key := func(stmt string, b Binds) uint64 {
		r := NewReader()
		p := r.Read(stmt).Profile(stmt, &b, 7)
		return p.Key
	}
	want := key("SELECT a FROM t WHERE part = 4711", Binds{})
	for _, got := range []uint64{
		key("SELECT a FROM t WHERE part = '4711'", Binds{}),
		key("SELECT a FROM t WHERE part = $1", Binds{Values: [][]byte{[]byte("4711")}}),
		key("SELECT a FROM t WHERE part = $1", Binds{Values: [][]byte{bigEndian(4711, 4)}, Formats: []byte{0, 1}, Types: bigEndian(23, 4)}),
	} {
		if got != want || want == 0 {
			t.Errorf("key = %x, want %x as for the literal, and not 0", got, want)
		}
	}
}
