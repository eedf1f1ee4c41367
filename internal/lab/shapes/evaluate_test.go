package shapes

import (
	"testing"

	"gannetspur/internal/lab/register"
)

// On traffic whose truth is known the classifier keeps what the product promises of it.
func TestEvaluate(t *testing.T) {
	records := Generated(register.Defaults(1), 12000)
	for _, v := range Variants() {
		res, err := Evaluate(records, v, Options{Train: 0.5, Bytes: 2 << 20})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %+v", v.Name, res)
	}
}
