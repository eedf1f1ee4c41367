package lineproto

import (
	"strconv"
	"testing"
	"time"
)

// TestCancelledIDsAreBounded guards against memory that clients fill by leaving at full speed: a connection kept each
// cancelled ID for half a minute, however many there were.
func TestCancelledIDsAreBounded(t *testing.T) {
	c := &connection{backend: &Backend{}, streams: map[string]*stream{}, cancelledIDs: newCancelledIDs()}
	c.backend.site.MaxStreams = 1
	for n := range maxCancelledIDs {
		if !c.accepts("new", 0) {
			t.Fatalf("after %d cancelled IDs the connection accepts no request, want %d", n, maxCancelledIDs)
		}
		c.cancelledIDs.add(strconv.Itoa(n), 0)
	}
	if c.accepts("new", 0) || c.accepts("new", time.Hour) {
		t.Errorf("after %d cancelled IDs the connection accepts a request, want none", maxCancelledIDs)
	}
}
