package costmodel

// Class is a class of reading statements.
type Class struct {
	Name      string  // name in the configuration
	MaxWorkMS float64 // largest expected work of its statements in ms; 0 means unbounded
}

// classIndex returns the index of the class for an expected work, without hysteresis; -1 without
// configured classes.
func (m *Model) classIndex(workMS float64) int {
	for i, c := range m.cfg.Classes {
		if c.MaxWorkMS <= 0 || workMS <= c.MaxWorkMS {
			return i
		}
	}
	return len(m.cfg.Classes) - 1
}

// classify returns the index of the class for an expected work, or -1 without configured classes. A
// bucket keeps its class until the work is past the bound by the factor Config.Hysteresis. If bucket is
// nil there is no hysteresis.
func (m *Model) classify(workMS float64, bucket *Bucket) int {
	if len(m.cfg.Classes) == 0 {
		return -1
	}
	class := m.classIndex(workMS)
	if bucket == nil {
		return class
	}
	if held := int(bucket.HeldClass) - 1; m.keepsClass(held, class, workMS) {
		return held
	}
	bucket.HeldClass = uint8(class + 1)
	return class
}

// keepsClass reports whether a bucket keeps its class, held, although the work is in the range of class.
func (m *Model) keepsClass(held, class int, workMS float64) bool {
	if held < 0 || held >= len(m.cfg.Classes) {
		return false
	}
	switch h := m.cfg.Hysteresis; {
	case class > held:
		return m.classIndex(workMS/h) <= held
	case class < held:
		return m.classIndex(workMS*h) >= held
	}
	return false
}
