package workload

import "fmt"

const (
	writeWork     = 300 // ms on one core
	writeTemplate = -2  // the template number of statements that write
)

// writes are formats of statements that change stored data, some in ways that are hard to recognize. Each
// takes the number of a group and the number of a part.
var writes = []string{
	"DELETE FROM stock_%d.returns WHERE part = 'p-%05d'",
	"UPDATE stock_%d.stock SET n = n - 1 WHERE part = 'p-%05d'",
	"MERGE INTO stock_%d.stock s USING stock_1.parts p ON s.part = p.part AND p.part = 'p-%05d' WHEN MATCHED THEN DELETE",
	"WITH gone AS (DELETE FROM stock_%d.returns WHERE part = 'p-%05d' RETURNING *) SELECT count(*) FROM gone",
	"SELECT part FROM stock_%d.stock WHERE part = 'p-%05d' FOR UPDATE",
	"SELECT part INTO stock_%d.x FROM stock_2.parts WHERE part = 'p-%05d'",
	"SELECT setval('stock_%d.numbers', %d)",
	"EXPLAIN ANALYZE DELETE FROM stock_%d.returns WHERE part = 'p-%05d'",
	"SELECT stock_%d.book_in('p-%05d')",
	"SELECT 1 -- looks at one part\r; DELETE FROM stock_%d.returns WHERE part = 'p-%05d'",
	"CREATE TABLE stock_%d.copy AS SELECT * FROM stock_1.parts WHERE part = 'p-%05d'",
	"/* a lookup */ CALL stock_%d.close_month(%d)",
}

// write returns a statement that changes stored data. growth multiplies its work.
func (g *Generator) write(growth float64) Statement {
	statement := Statement{Class: "write", Template: writeTemplate}
	format := writes[g.rng.IntN(len(writes))]
	statement.SQL = fmt.Sprintf(format, 1+g.rng.IntN(Groups), g.rng.IntN(Parts))
	statement.Work = writeWork * growth
	return g.finish(statement, writeWork)
}
