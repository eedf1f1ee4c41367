package netio

import "testing"

// TestScheduledDataRunsOnce guards against a connection that gets several turns in each iteration of the loop: each
// call of ScheduleData queued a further turn, which queued another while input was left.
func TestScheduledDataRunsOnce(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	_, client := serve(t, l, h)
	c := await(t, "a connection", h.accepted)
	if _, err := client.Write([]byte("abcdef")); err != nil {
		t.Fatal(err)
	}
	if got := await(t, "the first call", h.received); got != "abcdef" {
		t.Fatalf("first call of Data: got %q, want all bytes", got)
	}
	onLoop(t, l, func() {
		for range 5 {
			c.ScheduleData()
		}
	})
	if got := await(t, "the second call", h.received); got != "cdef" {
		t.Errorf("second call of Data: got %q, want the bytes that the first left", got)
	}
	onLoop(t, l, func() {}) // behind all that was queued
	select {
	case got := <-h.received:
		t.Errorf("a further call of Data with %q, want one for all calls of ScheduleData", got)
	default:
	}
}

// TestTurn checks that a turn ends both after many small messages and after one large message.
func TestTurn(t *testing.T) {
	for _, size := range []int{1, 1000, turnBytes} {
		var turn Turn
		messages := 0
		for ; !turn.Over(); messages++ {
			turn.Spend(size)
		}
		if work := messages * (messageCost + size); work >= turnBytes+messageCost+size {
			t.Errorf("messages of %d bytes: the turn ends after %d of them, work %d, want little more than %d", size, messages, work, turnBytes)
		}
	}
}
