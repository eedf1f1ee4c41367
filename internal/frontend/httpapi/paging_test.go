package httpapi

import (
	"testing"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/netio"
)

// TestReleasedResultLeavesNothing guards against memory that a client fills with results that it deletes at once: the
// timer of a result kept its pages until the request's deadline, and no bound counted them.
func TestReleasedResultLeavesNothing(t *testing.T) {
	loop, err := netio.New(0)
	if err != nil {
		t.Fatal(err)
	}
	f := &Frontend{loop: loop, results: newResultStore("x")}
	for range 100 {
		path := f.results.newPath()
		f.holdResult(resultState{Path: path, Pages: []lineproto.Rows{{[]byte("a\tb\tc\n")}}, HeldUntil: loop.Now() + time.Minute})
		if !f.results.release(path) {
			t.Fatalf("%s was not held, want it held until it is released", path)
		}
	}
	if got := loop.Timers.Len(); got != 0 {
		t.Errorf("timers of released results = %d, want none", got)
	}
}
