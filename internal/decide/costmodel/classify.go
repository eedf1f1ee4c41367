package costmodel

// Class is a class of reading statements.
type Class struct {
	Name      string
	MaxWorkMS float64 // highest expected work of its statements; 0: unbounded
}

// classIndex returns the class of an expected work without hysteresis.
func (m *Model) classIndex(workMS float64) int {
	for i, c := range m.cfg.Classes {
		if c.MaxWorkMS <= 0 || workMS <= c.MaxWorkMS {
			return i
		}
	}
	return len(m.cfg.Classes) - 1
}

// classify returns the class of an expected work, or -1 without configured classes. A bucket
// holds on to its class until the estimate is past the bound by the hysteresis.
func (m *Model) classify(workMS float64, bucket *Bucket) int {
	if len(m.cfg.Classes) == 0 {
		return -1
	}
	class := m.classIndex(workMS)
	if bucket == nil {
		return class
	}
	if held := int(bucket.HeldClass) - 1; m.holdsClass(held, class, workMS) {
		return held
	}
	bucket.HeldClass = uint8(class + 1)
	return class
}

// holdsClass tells whether a held class stays although the work is that of another one.
func (m *Model) holdsClass(held, class int, workMS float64) bool {
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
