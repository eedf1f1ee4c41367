package workload

import (
	"fmt"
	"math"
	"strconv"
)

// Work of a bulk load in milliseconds: of the load itself, of each row, and the usual rows.
const (
	loadBaseWork  = 1200
	loadRowWork   = 17
	usualLoadRows = 110
)

// writeFamily has the method of each family that adds its statement, and what it reaches.
var writeFamily = [families]func(*question){
	byPart:           (*question).byPart,
	byPartWholesaler: (*question).byPartWholesaler,
	partList:         (*question).partList,
	dayRange:         (*question).dayRange,
	search:           (*question).search,
	districts:        (*question).districts,
	latest:           (*question).latest,
	optional:         (*question).optional,
	months:           (*question).months,
	topParts:         (*question).topParts,
	ranking:          (*question).ranking,
	everything:       (*question).everything,
	batch:            (*question).batch,
}

// byPart asks for the rows of one part.
func (q *question) byPart() {
	p, rowFactor := q.world.part()
	q.write("SELECT %s FROM %s WHERE %s = ", q.columns, q.from, q.column("part"))
	q.str(p)
	q.actual = reach{indexed: q.rowsPerPart * rowFactor, out: q.rowsPerPart * rowFactor}
	q.usual = reach{indexed: q.rowsPerPart, out: q.rowsPerPart}
}

// byPartWholesaler asks for the rows of one part at one wholesaler.
func (q *question) byPartWholesaler() {
	p, _ := q.world.part()
	q.write("SELECT %s FROM %s WHERE %s = ", q.columns, q.from, q.column("part"))
	q.str(p)
	q.write(" AND %s = ", q.column("wholesaler"))
	q.num(q.random.IntN(Wholesalers))
	q.actual = reach{indexed: q.rowsPerPart, out: 1}
	q.usual = q.actual
}

// partList asks for a list of parts.
func (q *question) partList() {
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
		p, _ := q.world.part()
		q.str(p)
	}
	q.style = style
	q.b.WriteString(")")
	q.actual = reach{indexed: float64(n)*q.rowsPerPart + 12*float64(n), out: float64(n) * q.rowsPerPart}
	q.usual = reach{indexed: 5*q.rowsPerPart + 60, out: 5 * q.rowsPerPart}
}

// dayRange asks for a range of days.
func (q *question) dayRange() {
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
	q.actual = reach{indexed: n, out: n}
	q.usual = reach{indexed: 2 * q.rows / Days, out: 2 * q.rows / Days}
}

// search searches parts by a pattern.
func (q *question) search() {
	pattern := fmt.Sprintf("p-%03d%%", q.random.IntN(400))
	if q.broad {
		pattern = "%" + strconv.Itoa(q.random.IntN(1000)) + "%"
		q.hard = "a wildcard in front"
	}
	q.write("SELECT %s FROM %s WHERE %s LIKE ", q.columns, q.from, q.column("part"))
	q.str(pattern)
	q.actual = reach{indexed: q.rows / 400, out: q.rows / 400}
	q.usual = q.actual
	if q.broad {
		q.actual = reach{scanned: q.rows, out: q.rows / 50}
	}
}

// districts asks for recent rows of an array of districts.
func (q *question) districts() {
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
	q.actual = reach{indexed: q.rows * days * float64(n) / Districts * 6, out: q.rows * days * float64(n) / Districts}
	q.usual = reach{indexed: q.rows * days / Districts * 9, out: q.rows * days / Districts}
	if n > 15 {
		q.actual.scanned = q.rows
		q.actual.indexed = 0
		q.actual.sorted = q.rows * days
	}
}

// latest asks for the latest rows.
func (q *question) latest() {
	n := 10 + q.random.IntN(40)
	if q.broad {
		n = 1000000
		q.hard = "a limit of a million"
	}
	q.write("SELECT %s FROM %s ORDER BY %s DESC LIMIT ", q.columns, q.from, q.column(q.template.table.time))
	q.num(n)
	got := math.Min(float64(n), q.rows)
	q.actual = reach{indexed: got, out: got}
	q.usual = reach{indexed: 30, out: 30}
}

// optional has a restriction that a null switches off.
func (q *question) optional() {
	p, _ := q.world.part()
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
	q.actual = reach{indexed: q.rowsPerPart, out: q.rowsPerPart}
	q.usual = q.actual
	if q.broad {
		q.actual = reach{scanned: q.rows, out: q.rows}
	}
}

// months counts and sums rows of months by district.
func (q *question) months() {
	n := 1 + q.random.IntN(12)
	q.write("SELECT %s, count(*), sum(%s) FROM %s WHERE %s >= ", q.column("district"), q.column("n"), q.from, q.column(q.template.table.time))
	q.day(Days - 31*n)
	q.write(" AND %s < ", q.column(q.template.table.time))
	q.day(Days - 1)
	q.write(" GROUP BY %s ORDER BY 2 DESC", q.column("district"))
	got := q.rows * float64(31*n) / Days
	q.actual = reach{scanned: q.rows * 0.8, grouped: got, out: Districts}
	q.usual = reach{scanned: q.rows * 0.8, grouped: q.rows * 186 / Days, out: Districts}
}

// topParts joins and ranks parts.
func (q *question) topParts() {
	q.write("SELECT p.name, max(%s), count(*) FROM %s JOIN stock_%d.parts p USING (part) WHERE p.kind = ", q.column(q.template.cols[0]), q.from, q.group)
	q.str("gear")
	q.write(" GROUP BY p.name ORDER BY 3 DESC LIMIT ")
	q.num(20)
	q.actual = reach{scanned: q.rows, joined: q.rows, grouped: q.rows / 4, sorted: Parts, out: 20}
	q.usual = q.actual
}

// ranking ranks all rows by district.
func (q *question) ranking() {
	q.write("SELECT %s, %s, rank() OVER (PARTITION BY %s ORDER BY %s) FROM %s", q.column("district"), q.column("part"), q.column("district"), q.column(q.template.table.time), q.from)
	q.actual = reach{scanned: q.rows, sorted: q.rows / 2, out: q.rows / 20}
	q.usual = q.actual
}

// everything reads all distinct rows.
func (q *question) everything() {
	q.write("SELECT DISTINCT %s FROM %s WHERE %s <> ", q.columns, q.from, q.column("part"))
	q.str("p-0")
	q.actual = reach{scanned: q.rows, sorted: q.rows / 3, out: q.rows / 8}
	q.usual = q.actual
}

// batch loads a batch of rows under an idempotency key.
func (q *question) batch() {
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
