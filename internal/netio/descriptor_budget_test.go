package netio

import "testing"

// Once connections hold all descriptors of their budget, Dial fails and DialReserved succeeds.
func TestReservedDescriptors(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	ln, _ := serve(t, l, h)
	await(t, "a connection", h.accepted)
	results := make(chan error, 2)
	l.Post(func() {
		if err := l.LimitDescriptors(1, 0); err != nil {
			t.Error(err)
		}
		report := func(_ *Conn, err error) { results <- err }
		l.Dial(ln.Addr().String(), maxFlushTime, 1024, newRecorder(), report)
		l.DialReserved(ln.Addr().String(), maxFlushTime, 1024, newRecorder(), report)
	})
	if err := await(t, "the end of Dial", results); !IsDescriptorShortage(err) {
		t.Errorf("Dial reported %v, want a descriptor shortage", err)
	}
	if err := await(t, "the end of DialReserved", results); err != nil {
		t.Errorf("DialReserved reported %v, want no error", err)
	}
}

// Each dial counts as two descriptors, each connection as one; without a limit every dial is allowed.
func TestDescriptorBudget(t *testing.T) {
	budget := descriptorBudget{process: 100, reserved: 40}
	for _, c := range []struct {
		name         string
		share        float64
		conns, dials int
		want         bool
	}{
		{"one dial fits", 1, 58, 0, true},
		{"one connection too many", 1, 59, 0, false},
		{"another dial is in progress", 1, 57, 1, false},
		{"half of the descriptors", 0.5, 8, 0, true},
		{"more than half of them", 0.5, 9, 0, false},
		{"a share below what is reserved", 0.1, 0, 0, false},
	} {
		budget.setShare(c.share)
		if got := budget.allowsDial(c.conns, c.dials); got != c.want {
			t.Errorf("%s: got allowsDial %v, want %v", c.name, got, c.want)
		}
	}
	var unlimited descriptorBudget
	unlimited.setShare(0.5)
	if !unlimited.allowsDial(1<<20, 1<<20) {
		t.Error("got a dial rejected without a limit, want it allowed")
	}
}
