package workload

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// family is a kind of question that programs ask.
type family int

const (
	byPart family = iota
	byPartWholesaler
	partList
	dayRange
	search
	districts
	latest
	optional
	months
	topParts
	share
	everything
	batch
	families
)

// template is a statement as one program writes it.
type template struct {
	family  family
	table   *table
	cols    []string
	style   int // 0: values written out; 1: bound as text; 2: bound, binary where that is usual
	weight  float64
	lower   bool // key words in small letters
	oneOff  bool
	aliased bool
}

func (w *World) template(i int) *template {
	r := w.rng
	f := family(0)
	switch u := r.Float64(); {
	case u < 0.72:
		f = family(r.IntN(int(months)))
	case u < 0.92:
		f = months + family(r.IntN(int(batch-months)))
	default:
		f = batch
	}
	t := &template{family: f, style: r.IntN(3), lower: r.IntN(2) == 0, aliased: r.IntN(3) == 0}
	t.table = &tables[r.IntN(len(tables))]
	switch f {
	case districts, months, topParts, share, everything:
		t.table = &tables[[]int{2, 3}[r.IntN(2)]] // where there are enough rows and a district
	case dayRange, latest, search, optional:
		t.table = &tables[2+r.IntN(3)]
	case byPartWholesaler:
		t.table = &tables[[]int{1, 2, 4}[r.IntN(3)]]
	}
	n := 1 + r.IntN(len(t.table.cols))
	for _, j := range r.Perm(len(t.table.cols))[:n] {
		t.cols = append(t.cols, t.table.cols[j])
	}
	t.weight = 1 / math.Pow(float64(i+1), 0.6)
	switch f { // shares of the brief: lookups 81 %, reports 14 %, loads 5 %
	case months, topParts, share, everything:
		t.weight *= 0.7
	case batch:
		t.weight *= 0.65
	}
	return t
}

// text puts a statement together: values are written out or bound, as the style says.
type text struct {
	b      strings.Builder
	t      *template
	r      *rand.Rand
	values [][]byte
	forms  []byte
	types  []byte
	binary bool
}

const (
	oidInt4  = 23
	oidInt8  = 20
	oidText  = 25
	oidDate  = 1082
	oidTexts = 1009
)

func (x *text) bind(v []byte, form byte, oid uint32) {
	x.values = append(x.values, v)
	x.forms = append(x.forms, 0, form)
	x.types = binary.BigEndian.AppendUint32(x.types, oid)
	fmt.Fprintf(&x.b, "$%d", len(x.values))
}

func (x *text) str(s string) {
	if x.t.style == 0 {
		fmt.Fprintf(&x.b, "'%s'", s)
		return
	}
	x.bind([]byte(s), 0, oidText)
}

func (x *text) num(n int) {
	switch x.t.style {
	case 0:
		fmt.Fprintf(&x.b, "%d", n)
	case 1:
		x.bind(fmt.Append(nil, n), 0, oidInt4)
	default:
		x.bind(binary.BigEndian.AppendUint32(nil, uint32(n)), 1, oidInt4)
	}
}

// day counts from 2016-01-01.
func (x *text) day(n int) {
	y, m, d := 2016+n/365, 1+n%365/31, 1+n%365%31
	if d > 28 {
		d = 28
	}
	s := fmt.Sprintf("%04d-%02d-%02d", y, m, d)
	switch x.t.style {
	case 0:
		fmt.Fprintf(&x.b, "'%s'", s)
	case 1:
		x.bind([]byte(s), 0, oidDate)
	default:
		x.bind(binary.BigEndian.AppendUint32(nil, uint32(16*365+4+n)), 1, oidDate)
	}
}

// array binds a list of texts.
func (x *text) array(list []string) {
	switch x.t.style {
	case 0:
		fmt.Fprintf(&x.b, "'{%s}'", strings.Join(list, ","))
	case 1:
		x.bind([]byte("{"+strings.Join(list, ",")+"}"), 0, oidTexts)
	default:
		var v []byte
		for _, n := range []int{1, 0, oidText, len(list), 1} {
			v = binary.BigEndian.AppendUint32(v, uint32(n))
		}
		for _, s := range list {
			v = append(binary.BigEndian.AppendUint32(v, uint32(len(s))), s...)
		}
		x.bind(v, 1, oidTexts)
	}
}

// words adds text; key words are in capitals there.
func (x *text) words(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	if x.t.lower {
		s = strings.ToLower(s)
	}
	x.b.WriteString(s)
}

func (w *World) part() (name string, heavy float64) {
	n := int(w.partZipf.Uint64())
	heavy = 1
	if n < 12 { // the parts that every shop sells have by far the most rows
		heavy = 30
	}
	return fmt.Sprintf("p-%05d", n), heavy
}

// instance asks a template's question with values of its own. usual is what the shape
// costs with values as they usually are: what a planner without them would say.
func (w *World) instance(t *template, grown float64) (a Statement, usual float64) {
	r := w.rng
	x := &text{t: t, r: r}
	group := 1 + int(w.groupZipf.Uint64())
	rows := t.table.rows
	if t.table.name == "orders" {
		rows *= grown
	}
	broad := r.Float64() < w.opts.Hard
	name := fmt.Sprintf("stock_%d.%s", group, t.table.name)
	alias := ""
	if t.aliased {
		alias = t.table.name[:1]
	}
	if t.oneOff {
		name = fmt.Sprintf("stock_%d.%s_%d", group, t.table.name, r.IntN(1<<30))
		alias = fmt.Sprintf("t_%d", r.IntN(1<<30))
	}
	from := name
	col := func(c string) string { return c }
	if alias != "" {
		from += " " + alias
		col = func(c string) string { return alias + "." + c }
	}
	list := make([]string, len(t.cols))
	for i, c := range t.cols {
		list[i] = col(c)
	}
	cols := strings.Join(list, ", ")
	perPart := rows / Parts
	var is, often reach
	switch t.family {
	case byPart:
		p, heavy := w.part()
		x.words("SELECT %s FROM %s WHERE %s = ", cols, from, col("part"))
		x.str(p)
		is = reach{indexed: perPart * heavy, out: perPart * heavy}
		often = reach{indexed: perPart, out: perPart}
		broad = false
	case byPartWholesaler:
		p, _ := w.part()
		x.words("SELECT %s FROM %s WHERE %s = ", cols, from, col("part"))
		x.str(p)
		x.words(" AND %s = ", col("wholesaler"))
		x.num(r.IntN(Wholesalers))
		is = reach{indexed: perPart, out: 1}
		often = is
		broad = false
	case partList:
		n := 2 + r.IntN(7)
		if broad {
			n = 2000 + r.IntN(3000)
			a.Hard = "a list of thousands"
		}
		x.words("SELECT %s FROM %s WHERE %s IN (", cols, from, col("part"))
		style := t.style
		if broad {
			t.style = 0
		}
		for i := range n {
			if i > 0 {
				x.b.WriteString(", ")
			}
			p, _ := w.part()
			x.str(p)
		}
		t.style = style
		x.b.WriteString(")")
		is = reach{indexed: float64(n)*perPart + 12*float64(n), out: float64(n) * perPart}
		often = reach{indexed: 5*perPart + 60, out: 5 * perPart}
	case dayRange:
		span := 1 + r.IntN(3)
		if broad {
			span = Days - 400 - r.IntN(800)
			a.Hard = "a range of years"
		}
		at := r.IntN(Days - span)
		x.words("SELECT %s FROM %s WHERE %s BETWEEN ", cols, from, col(t.table.time))
		x.day(at)
		x.words(" AND ")
		x.day(at + span)
		n := rows * float64(span) / Days
		is = reach{indexed: n, out: n}
		often = reach{indexed: 2 * rows / Days, out: 2 * rows / Days}
	case search:
		pattern := fmt.Sprintf("p-%03d%%", r.IntN(400))
		if broad {
			pattern = "%" + fmt.Sprint(r.IntN(1000)) + "%"
			a.Hard = "a wildcard in front"
		}
		x.words("SELECT %s FROM %s WHERE %s LIKE ", cols, from, col("part"))
		x.str(pattern)
		is = reach{indexed: rows / 400, out: rows / 400}
		often = is
		if broad {
			is = reach{scanned: rows, out: rows / 50}
		}
	case districts:
		n := 1 + r.IntN(2)
		if broad {
			n = Districts
			a.Hard = "all districts in an array"
		}
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("d%02d", i)
		}
		x.words("SELECT %s FROM %s WHERE %s = ANY(", cols, from, col("district"))
		x.array(names)
		x.words(") AND %s >= ", col(t.table.time))
		x.day(Days - 90)
		days := 90.0 / Days
		is = reach{indexed: rows * days * float64(n) / Districts * 6, out: rows * days * float64(n) / Districts}
		often = reach{indexed: rows * days / Districts * 9, out: rows * days / Districts}
		if n > 15 {
			is.scanned, is.indexed, is.sorted = rows, 0, rows*days
		}
	case latest:
		n := 10 + r.IntN(40)
		if broad {
			n = 1000000
			a.Hard = "a limit of a million"
		}
		x.words("SELECT %s FROM %s ORDER BY %s DESC LIMIT ", cols, from, col(t.table.time))
		x.num(n)
		got := math.Min(float64(n), rows)
		is = reach{indexed: got, out: got}
		often = reach{indexed: 30, out: 30}
	case optional:
		p, _ := w.part()
		x.words("SELECT %s FROM %s WHERE (", cols, from)
		v := []byte(p)
		if broad {
			v = nil
			a.Hard = "a null that switches the restriction off"
		}
		if t.style == 0 && !broad {
			x.words("'%s' IS NULL OR %s = '%s')", p, col("part"), p)
		} else if t.style == 0 {
			x.words("NULL IS NULL OR %s = NULL)", col("part"))
		} else {
			x.bind(v, 0, oidText)
			x.words(" IS NULL OR %s = $1)", col("part"))
		}
		is = reach{indexed: perPart, out: perPart}
		often = is
		if broad {
			is = reach{scanned: rows, out: rows}
		}
	case months:
		n := 1 + r.IntN(12)
		x.words("SELECT %s, count(*), sum(%s) FROM %s WHERE %s >= ", col("district"), col("n"), from, col(t.table.time))
		x.day(Days - 31*n)
		x.words(" AND %s < ", col(t.table.time))
		x.day(Days - 1)
		x.words(" GROUP BY %s ORDER BY 2 DESC", col("district"))
		got := rows * float64(31*n) / Days
		is = reach{scanned: rows * 0.8, grouped: got, out: Districts}
		often = reach{scanned: rows * 0.8, grouped: rows * 186 / Days, out: Districts}
	case topParts:
		x.words("SELECT p.name, max(%s), count(*) FROM %s JOIN stock_%d.parts p USING (part) WHERE p.kind = ", col(t.cols[0]), from, group)
		x.str("gear")
		x.words(" GROUP BY p.name ORDER BY 3 DESC LIMIT ")
		x.num(20)
		is = reach{scanned: rows, joined: rows, grouped: rows / 4, sorted: Parts, out: 20}
		often = is
	case share:
		x.words("SELECT %s, %s, rank() OVER (PARTITION BY %s ORDER BY %s) FROM %s", col("district"), col("part"), col("district"), col(t.table.time), from)
		is = reach{scanned: rows, sorted: rows / 2, out: rows / 20}
		often = is
	case everything:
		x.words("SELECT DISTINCT %s FROM %s WHERE %s <> ", cols, from, col("part"))
		x.str("p-0")
		is = reach{scanned: rows, sorted: rows / 3, out: rows / 8}
		often = is
	case batch:
		n := 20 + r.IntN(180)
		a.Class, a.Key = "load", 1
		style := t.style
		if style == 0 {
			t.style = 1
		}
		x.words("INSERT INTO %s (key, %s, n) VALUES ", name, t.cols[0])
		for i := range n {
			if i > 0 {
				x.b.WriteString(", ")
			}
			x.b.WriteString("(")
			if i == 0 {
				x.str(fmt.Sprintf("batch-%08x", r.Uint32()))
			} else {
				x.b.WriteString("$1")
			}
			fmt.Fprintf(&x.b, ", 'p-%05d', %d)", r.IntN(Parts), r.IntN(500))
		}
		t.style = style
		a.Work = 1200 + 17*float64(n)
		usual = 1200 + 17*110
	}
	a.SQL, a.Values, a.Formats, a.Types = x.b.String(), x.values, x.forms, x.types
	if t.family == batch {
		return a, usual
	}
	a.Work, usual = is.work(), often.work()
	if r.Float64() < 0.15 { // its group is not in the engine's memory
		a.Work *= coldTimes
	}
	a.Class = "report"
	if a.Work < ReportWork {
		a.Class = "lookup"
		a.Hard = "" // broad by its values, but over a table so small that it stays a lookup
	}
	return a, usual
}

// writes are statements that change what is stored, in plain sight or not.
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

func (w *World) write(grown float64) Statement {
	a := Statement{Class: "write", Template: -2}
	i := w.rng.IntN(len(writes))
	a.SQL = fmt.Sprintf(writes[i], 1+w.rng.IntN(Groups), w.rng.IntN(Parts))
	a.Work = 300 * grown
	return w.finish(a, 300)
}
