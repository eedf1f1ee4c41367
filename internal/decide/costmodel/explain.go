package costmodel

import (
	"fmt"
	"math"
	"strings"
)

// Explain describes for operators how an estimate was made: its components with their weights.
func (e Estimate) Explain() string {
	if !e.Known {
		return "nothing is known: no record, no hint, and the prior has seen too little"
	}
	var descriptions []string
	for _, c := range []struct {
		name string
		Component
	}{
		{"record of the shape", e.History},
		{"similar values", e.SimilarValues},
		{"prior over features", e.Prior},
		{"corrected hint", e.Hint},
	} {
		if c.Samples > 0 {
			descriptions = append(descriptions, fmt.Sprintf("%s %.4g ms, within a factor of %.2g, from %.0f values: %.0f %%",
				c.name, math.Exp2(c.Center), math.Exp2(c.Deviation), c.Samples, 100*c.Weight))
		}
	}
	if e.FrequentValue.Samples > 0 {
		descriptions = append(descriptions, fmt.Sprintf("its value is frequent and costs %.2g times the usual", math.Exp2(e.FrequentValue.Center)))
	}
	return strings.Join(descriptions, "; ")
}
