package workload

import (
	"fmt"
	"math"
	"strconv"
)

// Work of a bulk load, in milliseconds on one core: a fixed part and a part per row. usualLoadRows is
// the number of rows that the usual work of a load assumes.
const (
	loadBaseWork  = 1200
	loadRowWork   = 17
	usualLoadRows = 110
)

// buildFamily maps each family to the method that writes one of its statements and sets the row counts of the
// statement, or the work of a bulk load.
var buildFamily = [families]func(*statementBuilder){
	byPart:           (*statementBuilder).byPart,
	byPartWholesaler: (*statementBuilder).byPartWholesaler,
	partList:         (*statementBuilder).partList,
	dayRange:         (*statementBuilder).dayRange,
	search:           (*statementBuilder).search,
	districts:        (*statementBuilder).districts,
	latest:           (*statementBuilder).latest,
	optionalFilter:   (*statementBuilder).optionalFilter,
	months:           (*statementBuilder).months,
	topParts:         (*statementBuilder).topParts,
	ranking:          (*statementBuilder).ranking,
	distinctRows:     (*statementBuilder).distinctRows,
	batch:            (*statementBuilder).batch,
}

// byPart selects the rows of one part.
func (q *statementBuilder) byPart() {
	p, rowFactor := q.generator.part()
	q.write("SELECT %s FROM %s WHERE %s = ", q.columns, q.from, q.column("part"))
	q.str(p)
	q.actual = rowCounts{indexed: q.rowsPerPart * rowFactor, out: q.rowsPerPart * rowFactor}
	q.usual = rowCounts{indexed: q.rowsPerPart, out: q.rowsPerPart}
}

// byPartWholesaler selects the rows of one part at one wholesaler.
func (q *statementBuilder) byPartWholesaler() {
	p, _ := q.generator.part()
	q.write("SELECT %s FROM %s WHERE %s = ", q.columns, q.from, q.column("part"))
	q.str(p)
	q.write(" AND %s = ", q.column("wholesaler"))
	q.num(q.random.IntN(Wholesalers))
	q.actual = rowCounts{indexed: q.rowsPerPart, out: 1}
	q.usual = q.actual
}

// partList selects the rows of a list of parts: a few, or thousands, always as literals, if the statement is
// broad.
func (q *statementBuilder) partList() {
	n := 2 + q.random.IntN(7)
	if q.broad {
		n = 2000 + q.random.IntN(3000)
		q.hard = "a list of thousands"
	}
	q.write("SELECT %s FROM %s WHERE %s IN (", q.columns, q.from, q.column("part"))
	style := q.style
	if q.broad {
		q.style = literals
	}
	for i := range n {
		if i > 0 {
			q.b.WriteString(", ")
		}
		p, _ := q.generator.part()
		q.str(p)
	}
	q.style = style
	q.b.WriteString(")")
	q.actual = rowCounts{indexed: float64(n)*q.rowsPerPart + 12*float64(n), out: float64(n) * q.rowsPerPart}
	q.usual = rowCounts{indexed: 5*q.rowsPerPart + 60, out: 5 * q.rowsPerPart}
}

// dayRange selects the rows of a range of days: a few days, or years if the statement is broad.
func (q *statementBuilder) dayRange() {
	span := 1 + q.random.IntN(3)
	if q.broad {
		span = Days - 400 - q.random.IntN(800)
		q.hard = "a range of years"
	}
	at := q.random.IntN(Days - span)
	q.write("SELECT %s FROM %s WHERE %s BETWEEN ", q.columns, q.from, q.column(q.template.table.time))
	q.day(at)
	q.write(" AND ")
	q.day(at + span)
	n := q.rows * float64(span) / Days
	q.actual = rowCounts{indexed: n, out: n}
	q.usual = rowCounts{indexed: 2 * q.rows / Days, out: 2 * q.rows / Days}
}

// search selects the rows whose part matches a LIKE pattern. A broad pattern starts with a wildcard, which
// rules out the index.
func (q *statementBuilder) search() {
	pattern := fmt.Sprintf("p-%03d%%", q.random.IntN(400))
	if q.broad {
		pattern = "%" + strconv.Itoa(q.random.IntN(1000)) + "%"
		q.hard = "a wildcard in front"
	}
	q.write("SELECT %s FROM %s WHERE %s LIKE ", q.columns, q.from, q.column("part"))
	q.str(pattern)
	q.actual = rowCounts{indexed: q.rows / 400, out: q.rows / 400}
	q.usual = q.actual
	if q.broad {
		q.actual = rowCounts{scanned: q.rows, out: q.rows / 50}
	}
}

// districts selects the rows of the last 90 days for an array of districts: one or two, or all of them if
// the statement is broad.
func (q *statementBuilder) districts() {
	n := 1 + q.random.IntN(2)
	if q.broad {
		n = Districts
		q.hard = "all districts in an array"
	}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("d%02d", i)
	}
	q.write("SELECT %s FROM %s WHERE %s = ANY(", q.columns, q.from, q.column("district"))
	q.array(names)
	q.write(") AND %s >= ", q.column(q.template.table.time))
	q.day(Days - 90)
	days := 90.0 / Days
	q.actual = rowCounts{indexed: q.rows * days * float64(n) / Districts * 6, out: q.rows * days * float64(n) / Districts}
	q.usual = rowCounts{indexed: q.rows * days / Districts * 9, out: q.rows * days / Districts}
	if n > 15 {
		q.actual.scanned = q.rows
		q.actual.indexed = 0
		q.actual.sorted = q.rows * days
	}
}

// latest selects the latest rows, up to a limit.
func (q *statementBuilder) latest() {
	n := 10 + q.random.IntN(40)
	if q.broad {
		n = 1000000
		q.hard = "a limit of a million"
	}
	q.write("SELECT %s FROM %s ORDER BY %s DESC LIMIT ", q.columns, q.from, q.column(q.template.table.time))
	q.num(n)
	got := math.Min(float64(n), q.rows)
	q.actual = rowCounts{indexed: got, out: got}
	q.usual = rowCounts{indexed: 30, out: 30}
}

// optionalFilter selects the rows of one part by a condition that a null value disables. A broad statement
// has the null value, so it reads all rows.
func (q *statementBuilder) optionalFilter() {
	p, _ := q.generator.part()
	q.write("SELECT %s FROM %s WHERE (", q.columns, q.from)
	v := []byte(p)
	if q.broad {
		v = nil
		q.hard = "a null that switches the restriction off"
	}
	if q.style == literals && !q.broad {
		q.write("'%s' IS NULL OR %s = '%s')", p, q.column("part"), p)
	} else if q.style == literals {
		q.write("NULL IS NULL OR %s = NULL)", q.column("part"))
	} else {
		q.bind(v, 0, oidText)
		q.write(" IS NULL OR %s = $1)", q.column("part"))
	}
	q.actual = rowCounts{indexed: q.rowsPerPart, out: q.rowsPerPart}
	q.usual = q.actual
	if q.broad {
		q.actual = rowCounts{scanned: q.rows, out: q.rows}
	}
}

// months counts and sums the rows of up to 12 months by district.
func (q *statementBuilder) months() {
	n := 1 + q.random.IntN(12)
	q.write("SELECT %s, count(*), sum(%s) FROM %s WHERE %s >= ", q.column("district"), q.column("n"), q.from, q.column(q.template.table.time))
	q.day(Days - 31*n)
	q.write(" AND %s < ", q.column(q.template.table.time))
	q.day(Days - 1)
	q.write(" GROUP BY %s ORDER BY 2 DESC", q.column("district"))
	got := q.rows * float64(31*n) / Days
	q.actual = rowCounts{scanned: q.rows * 0.8, grouped: got, out: Districts}
	q.usual = rowCounts{scanned: q.rows * 0.8, grouped: q.rows * 186 / Days, out: Districts}
}

// topParts joins a table with parts and selects the 20 parts of one kind that have the most rows.
func (q *statementBuilder) topParts() {
	q.write("SELECT p.name, max(%s), count(*) FROM %s JOIN stock_%d.parts p USING (part) WHERE p.kind = ", q.column(q.template.cols[0]), q.from, q.group)
	q.str("gear")
	q.write(" GROUP BY p.name ORDER BY 3 DESC LIMIT ")
	q.num(20)
	q.actual = rowCounts{scanned: q.rows, joined: q.rows, grouped: q.rows / 4, sorted: Parts, out: 20}
	q.usual = q.actual
}

// ranking ranks all rows within their district.
func (q *statementBuilder) ranking() {
	q.write("SELECT %s, %s, rank() OVER (PARTITION BY %s ORDER BY %s) FROM %s", q.column("district"), q.column("part"), q.column("district"), q.column(q.template.table.time), q.from)
	q.actual = rowCounts{scanned: q.rows, sorted: q.rows / 2, out: q.rows / 20}
	q.usual = q.actual
}

// distinctRows selects the distinct rows of a whole table.
func (q *statementBuilder) distinctRows() {
	q.write("SELECT DISTINCT %s FROM %s WHERE %s <> ", q.columns, q.from, q.column("part"))
	q.str("p-0")
	q.actual = rowCounts{scanned: q.rows, sorted: q.rows / 3, out: q.rows / 8}
	q.usual = q.actual
}

// batch loads a batch of rows with an idempotency key, which is always bound, even by programs that
// write other values as literals.
func (q *statementBuilder) batch() {
	n := 20 + q.random.IntN(180)
	style := q.style
	if style == literals {
		q.style = boundText
	}
	q.write("INSERT INTO %s (key, %s, n) VALUES ", q.table, q.template.cols[0])
	for i := range n {
		if i > 0 {
			q.b.WriteString(", ")
		}
		q.b.WriteString("(")
		if i == 0 {
			q.str(fmt.Sprintf("batch-%08x", q.random.Uint32()))
		} else {
			q.b.WriteString("$1")
		}
		_, _ = fmt.Fprintf(&q.b, ", 'p-%05d', %d)", q.random.IntN(Parts), q.random.IntN(500))
	}
	q.style = style
	q.loadWork = loadBaseWork + loadRowWork*float64(n)
}
