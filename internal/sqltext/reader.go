package sqltext

// Reading is the result of one pass over a statement. It is owned by its Reader.
type Reading struct {
	// Fingerprint is two 64-bit hashes of the normal form. Their seeds are random and secret
	// to this Reader, so that no client can craft a statement with the fingerprint of another.
	// It is meaningless in another process.
	Fingerprint [2]uint64
	// NormalForm is the statement with each value replaced by ?, without comments, with case
	// and spacing normalized, and with equal elements of lists and rows of VALUES folded into
	// one. The number in the name of a schema is replaced by #, so that statements on different
	// table groups share one normal form. If Truncated is set, the normal form was long and
	// this is only its last part; the fingerprint covers all of it.
	NormalForm    []byte
	Truncated     bool
	Features      Features
	Slots         []Slot // the first MaxSlots values that the size of the result may depend on
	TableGroup    int64  // see the function TableGroup; valid if HasTableGroup
	HasTableGroup bool
	Defects       Defect
	// Effect is the result of EffectOf; FirstWord and MultipleStatements are the results of the
	// function FirstWord, except for the case of the word. They are set only if the Reader classifies effects; otherwise Effect
	// is Unknown, the most cautious value.
	Effect             EffectVerdict
	FirstWord          string // as written in the text; "(" if the statement begins with another token
	MultipleStatements bool
	// Restrictions counts the comparisons of a name with a value, which can reduce the rows
	// read. Unrestricted is set if a comparison is written so that it holds for all rows
	// (NULL IS NULL OR ...).
	Restrictions int
	Unrestricted bool
}

// Reader reads statements. It allocates memory only while its buffer grows. It must not be used
// by several goroutines at once.
type Reader struct {
	// ClassifyEffect makes Read classify the effect of statements. ReadOnlyFunctions are known
	// to only read, in addition to PostgreSQL's built-in ones.
	ClassifyEffect    bool
	ReadOnlyFunctions FunctionSet

	fingerprinter fingerprinter
	normalForm    []byte // buffer, reused by the next call of Read
	slots         [MaxSlots]Slot
	lists         [maxNestedLists]foldedList
	effect        effectClassifier // kept out of pass, so that it is cleared only if effects are classified
	out           Reading
}

// NewReader returns a reader with its own random seeds for fingerprints.
func NewReader() *Reader { return &Reader{fingerprinter: newFingerprinter()} }

const (
	// maxRetainedBuffer is the capacity of the largest buffer that a Reader reuses, in bytes.
	maxRetainedBuffer = 64 << 10
	// maxNormalForm is the length above which a normal form is hashed in parts, in bytes.
	maxNormalForm = 16 << 10
)

// Fingerprint returns the fingerprint of a normal form that is not truncated.
func (r *Reader) Fingerprint(normalForm string) [2]uint64 {
	return r.fingerprinter.ofString(normalForm)
}

// Read reads a statement. The result is valid until the next call.
func (r *Reader) Read(stmt string) *Reading {
	if cap(r.normalForm) > maxRetainedBuffer {
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
