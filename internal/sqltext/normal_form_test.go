package sqltext

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestNormalForm checks that statements that differ only in values, case, space, comments and the
// length of lists have the same normal form.
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
				t.Errorf("normal form of %.80q (-want +got):\n%s", s, diff)
			}
		}
	}
}
