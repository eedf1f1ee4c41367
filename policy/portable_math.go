package policy

import "math"

// log2 is the binary logarithm. Unlike math.Log2, it gives the same digits on all machines.
func log2(x float64) float64 {
	fraction, exponent := math.Frexp(x)
	return float64(exponent) + math.Log1p(fraction-1)/math.Ln2
}

// exp is the exponential function. Unlike math.Exp, it gives the same digits on all machines.
func exp(x float64) float64 { return 1 + math.Expm1(x) }
