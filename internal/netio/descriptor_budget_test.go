package netio

import "testing"

// Where connections have taken all descriptors that they may, a dial fails and one by DialReserved succeeds.
func TestReservedDescriptors(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	ln, _ := serve(t, l, h)
	await(t, "a connection", h.accepted)
	ends := make(chan error, 2)
	l.Post(func() {
		if err := l.LimitDescriptors(1, 0); err != nil {
			t.Error(err)
		}
		report := func(_ *Conn, err error) { ends <- err }
		l.Dial(ln.Addr().String(), maxFlushTime, 1024, newRecorder(), report)
		l.DialReserved(ln.Addr().String(), maxFlushTime, 1024, newRecorder(), report)
	})
	if err := await(t, "an end", ends); !IsDescriptorShortage(err) {
		t.Errorf("a dial: %v", err)
	}
	if err := await(t, "an end", ends); err != nil {
		t.Errorf("the reserved dial: %v", err)
	}
}
