package sqltext

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTableGroup checks the table group of statements; -1 stands for none.
func TestTableGroup(t *testing.T) {
	for stmt, want := range map[string]int64{
		"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day": 17,
		`select a from "sales_3"."orders"`:                                          3,
		"SELECT 'x FROM sales_1.t' FROM sales_2.t":                                  2,
		"/* FROM sales_1.t */ SELECT 1 -- sales_1.t\nFROM sales_2.t":                2,
		"/* a /* b */ FROM s_1.t */ INSERT INTO sales_5.t SELECT * FROM staging.x":  5,
		"INSERT INTO sales_6.t SELECT * FROM staging_9.x":                           6,
		"SELECT * FROM staging_9.x JOIN sales_4.t USING (a)":                        4,
		"SELECT o_1.day FROM sales_8.orders o_1":                                    8,
		"UPDATE sales_11.t SET a = $$ FROM s_1.t $$ WHERE b = E'it\\'s FROM s_2.t'": 11,
		"SELECT * FROM (SELECT a FROM my_sales_12 . t) x":                           12,
		"SELECT 1 FROM register.sales_13.t":                                         13,
		"SELECT 1":                                                                  -1, "SELECT a.b FROM c": -1, "SELECT 'open": -1, "SELECT s_x.t FROM s_.t": -1,
	} {
		got, ok := TableGroup(stmt)
		if !ok {
			got = -1
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("TableGroup(%q) (-want +got):\n%s", stmt, diff)
		}
	}
}
