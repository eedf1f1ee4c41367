package costmodel

// priorModel predicts the work of unknown shapes from their features. It is a linear regression by
// recursive least squares with exponential forgetting (Haykin, "Adaptive Filter Theory", chapter on
// RLS). Errors are clipped so that a single outlier has little effect.
type priorModel struct {
	Weights    featureVector                       `cbor:"W"`     // regression coefficients, log2 of ms
	Covariance [featureCount][featureCount]float64 `cbor:"P"`     // inverse correlation matrix of the features
	Samples    int                                 `cbor:"N"`     // number of executions learned from
	Error      LogTracker                          `cbor:"Track"` // errors of its predictions, log2
}

const (
	priorForgetting    = 0.9995 // factor on the weight of all earlier samples at each new one
	priorRidge         = 0.05   // initial ridge regularization
	maxPriorError      = 3      // errors are clipped to this, log2
	minPriorSamples    = 30     // samples needed before its predictions are used
	maxCovarianceTrace = 1e4    // trace of the covariance above which forgetting is suspended
)

// newPriorModel returns a model that has learned nothing.
func newPriorModel() *priorModel {
	p := &priorModel{}
	for i := range featureCount {
		p.Covariance[i][i] = 1 / priorRidge
	}
	return p
}

// ready reports whether the model has learned enough for its predictions to be used.
func (p *priorModel) ready() bool { return p.Samples >= minPriorSamples }

// predict returns the expected work of a statement with features x, log2 of ms.
func (p *priorModel) predict(x *featureVector) (y float64) {
	for i := range x {
		y += p.Weights[i] * x[i]
	}
	return y
}

// learn updates the model with an execution with features x and work y, log2 of ms.
func (p *priorModel) learn(x *featureVector, y float64, decay Decay) {
	err := y - p.predict(x)
	if p.Samples > 0 {
		p.Error.Add(err, decay)
	}
	if p.ready() {
		err = max(min(err, maxPriorError), -maxPriorError)
	}
	p.Samples++
	forgetting := 1.0
	if decay == WithDecay {
		forgetting = priorForgetting
	}
	var px featureVector // Covariance · x
	scale, trace := forgetting, 0.0
	for i := range featureCount {
		for j := range featureCount {
			px[i] += p.Covariance[i][j] * x[j]
		}
		scale += px[i] * x[i]
		trace += p.Covariance[i][i]
	}
	if trace > maxCovarianceTrace {
		// Prevents covariance wind-up: while traffic does not exercise some features, forgetting would
		// let their entries grow without bound.
		forgetting = 1
	}
	for i := range featureCount {
		p.Weights[i] += px[i] / scale * err
		for j := range featureCount {
			p.Covariance[i][j] = (p.Covariance[i][j] - px[i]*px[j]/scale) / forgetting
		}
	}
}
