package costmodel

// priorModel predicts the cost of unknown shapes from their features: recursive least squares
// with exponential forgetting (Haykin, "Adaptive Filter Theory", chapter on RLS), with clipped
// errors so that one outlier moves little.
type priorModel struct {
	Weights    featureVector                       `cbor:"W"`
	Covariance [featureCount][featureCount]float64 `cbor:"P"` // inverse correlation of the features
	Samples    int                                 `cbor:"N"`
	Error      LogTracker                          `cbor:"Track"` // of its predictions
}

const (
	priorForgetting    = 0.9995 // weight of the past at each sample
	priorRidge         = 0.05   // initial regularization
	maxPriorError      = 3      // log2; larger errors are clipped
	minPriorSamples    = 30     // before it predicts
	maxCovarianceTrace = 1e4    // above it, nothing is forgotten
)

func newPriorModel() *priorModel {
	p := &priorModel{}
	for i := range featureCount {
		p.Covariance[i][i] = 1 / priorRidge
	}
	return p
}

func (p *priorModel) ready() bool { return p.Samples >= minPriorSamples }

// predict returns the expected work of features, log2 of ms.
func (p *priorModel) predict(x *featureVector) (y float64) {
	for i := range x {
		y += p.Weights[i] * x[i]
	}
	return y
}

// learn takes the work y, log2 of ms, of an execution with features x.
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
	if trace > maxCovarianceTrace { // guards against wind-up: forgetting what traffic no longer shows
		forgetting = 1
	}
	for i := range featureCount {
		p.Weights[i] += px[i] / scale * err
		for j := range featureCount {
			p.Covariance[i][j] = (p.Covariance[i][j] - px[i]*px[j]/scale) / forgetting
		}
	}
}
