package sqltext

// Reading is what one pass over a statement tells. It belongs to its Reader.
type Reading struct {
	// Fingerprint is two hashes of the normal form with seeds of this process that nobody
	// outside knows, 128 bits together, so that nobody can write a statement which shares
	// the fingerprint of another. It means nothing to another process.
	Fingerprint [2]uint64
	// NormalForm is the statement with its values, comments, case and spacing taken out,
	// and with lists of alternatives and rows of values as one. The number in the name of a
	// schema is # there, so that statements on all table groups share one. Of a long one
	// only the last part is here, and Truncated is set; the fingerprint is of all of it.
	NormalForm    []byte
	Truncated     bool
	Features      Features
	Slots         []Slot
	TableGroup    int64
	HasTableGroup bool
	Defects       Defect
	// Effect is what EffectOf says, FirstWord and MultipleStatements what the function
	// FirstWord does, read on the way where the Reader classifies effects. Else Effect is
	// Unknown, the most cautious.
	Effect             EffectVerdict
	FirstWord          string // as it stands in the text; "(" for what is no word
	MultipleStatements bool
	// Restrictions counts the comparisons of a name with a value, which can narrow what is
	// read. Unrestricted: one is written so that it holds for all rows (NULL IS NULL OR).
	Restrictions int
	Unrestricted bool
}

// Reader reads statements. It allocates while its buffer grows and not after; it is for one
// goroutine.
type Reader struct {
	// ClassifyEffect has the effect read too. ReadOnlyFunctions are known to read only,
	// beside PostgreSQL's own.
	ClassifyEffect    bool
	ReadOnlyFunctions FunctionSet

	fingerprinter fingerprinter
	normalForm    []byte
	slots         [MaxSlots]Slot
	lists         [maxNestedLists]foldedList
	effect        effectClassifier // apart from the pass, which is cleared for each statement
	out           Reading
}

// NewReader returns a reader whose fingerprints are its own.
func NewReader() *Reader { return &Reader{fingerprinter: newFingerprinter()} }

const (
	// maxKeptBuffer is how large a buffer stays with its Reader, in bytes.
	maxKeptBuffer = 64 << 10
	// maxNormalForm is how long a normal form may become before it is hashed piece by
	// piece, in bytes.
	maxNormalForm = 16 << 10
)

// Fingerprint is the fingerprint of a normal form that is not truncated.
func (r *Reader) Fingerprint(normalForm string) [2]uint64 {
	return r.fingerprinter.ofString(normalForm)
}

// Read reads a statement. What it returns holds until the next call.
func (r *Reader) Read(stmt string) *Reading {
	if cap(r.normalForm) > maxKeptBuffer {
		r.normalForm = nil
	}
	r.out = Reading{}
	p := pass{lexer: Lexer{Src: stmt}, reader: r, out: &r.out, form: r.normalForm[:0]}
	if r.ClassifyEffect {
		r.effect = effectClassifier{readOnly: r.ReadOnlyFunctions}
	}
	for t := p.lexer.Next(); t.Kind != End; t = p.lexer.Next() {
		if r.ClassifyEffect {
			p.firstWord(t)
			if !r.effect.final() {
				r.effect.token(&p.lexer, t)
			}
		}
		p.token(t)
	}
	if r.ClassifyEffect {
		r.out.Effect = r.effect.verdict(&p.lexer)
	}
	p.endLists(-1)
	p.trimForm()
	if r.out.Truncated {
		r.fingerprinter.write(p.form)
		r.out.Fingerprint = r.fingerprinter.sum()
	} else {
		r.out.Fingerprint = r.fingerprinter.ofBytes(p.form)
	}
	r.normalForm = p.form
	r.out.NormalForm = p.form
	r.out.Slots = r.slots[:p.slotCount]
	r.out.TableGroup = p.group.group
	r.out.HasTableGroup = p.group.found
	r.out.Defects = p.lexer.Defects
	return &r.out
}
