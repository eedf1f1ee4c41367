package sqltext

import (
	"fmt"
	"strings"
	"testing"
)

// reportStatement has values of most roles.
const reportStatement = "SELECT o.day, count(*), max(o.note) FROM sales_17.orders o JOIN sales_17.parts p ON p.id = o.part " +
	"WHERE o.tag = $1 AND o.day BETWEEN $2 AND $3 AND o.status IN ('open', 'late') GROUP BY o.day ORDER BY 1 LIMIT 50"

// lookupStatement has the form of most statements in the testbed's traffic.
const lookupStatement = "SELECT part, n FROM stock_17.stock WHERE part = 'p-00017'"

func BenchmarkReadLookup(b *testing.B) {
	r := NewReader()
	b.ReportAllocs()
	b.SetBytes(int64(len(lookupStatement)))
	for b.Loop() {
		p := r.Read(lookupStatement).Profile(lookupStatement, &Binds{}, 1)
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
	binds := Binds{Values: [][]byte{[]byte("3f9c"), bigEndian(100, 4), bigEndian(130, 4)}, Formats: []byte{0, 0, 0, 1, 0, 1}, Types: append(append(bigEndian(25, 4), bigEndian(1082, 4)...), bigEndian(1082, 4)...)}
	b.ReportAllocs()
	b.SetBytes(int64(len(reportStatement)))
	for b.Loop() {
		p := r.Read(reportStatement).Profile(reportStatement, &binds, 1)
		_ = p.Bucket()
	}
}

// longLiterals returns the rows of an INSERT and the list of an IN, with 20,000 elements each.
func longLiterals() (rows, list string) {
	var rowText, listText strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&rowText, "('P-%07d', 'hall-a', %d, 'spoke set for a 28 inch wheel'), ", i, i*7)
		fmt.Fprintf(&listText, "'P-%07d', ", i)
	}
	return strings.TrimSuffix(rowText.String(), ", "), strings.TrimSuffix(listText.String(), ", ")
}

func BenchmarkLong(b *testing.B) {
	rows, list := longLiterals()
	lookup := "SELECT a FROM stock_1.parts WHERE part IN (" + list + ")"
	for name, stmt := range map[string]string{
		"rows":    "INSERT INTO stock_1.batches VALUES " + rows,
		"list":    lookup,
		"comment": "SELECT 1 /* " + strings.Repeat("x ", 500000) + "*/",
		"words":   "SELECT " + strings.Repeat("a_column_of_note, ", 60000) + "b FROM t",
	} {
		b.Run(name, func(b *testing.B) {
			r := NewReader()
			b.SetBytes(int64(len(stmt)))
			for b.Loop() {
				r.Read(stmt)
			}
		})
	}
	b.Run("effect", func(b *testing.B) {
		b.SetBytes(int64(len(lookup)))
		for b.Loop() {
			EffectOf(lookup, nil)
		}
	})
}
