package metrics

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCounters(t *testing.T) {
	c := New()
	c.Inc("taken.lookup")
	c.AddN("taken.report", 3)
	c.Set("answered", 9)
	c.Set("answered", 2)
	if got := c.Sum("taken."); got != 4 {
		t.Errorf("Sum(taken.) = %d, want 4", got)
	}
	if got := c.Get("no-such-counter"); got != 0 {
		t.Errorf("Get(no-such-counter) = %d, want 0", got)
	}
	c.All()["answered"] = 100 // All returns a copy: the counter stays
	var printed strings.Builder
	c.Print(&printed)
	want := "count answered 2\ncount taken.lookup 1\ncount taken.report 3\n"
	if diff := cmp.Diff(want, printed.String()); diff != "" {
		t.Errorf("printed counters (-want +got):\n%s", diff)
	}
}

func TestResidentBytes(t *testing.T) {
	if got := ResidentBytes(os.Getpid()); got < 1<<16 {
		t.Errorf("ResidentBytes(this process) = %d, want at least %d", got, 1<<16)
	}
	const noProcess = -1
	if got := ResidentBytes(noProcess); got != 0 {
		t.Errorf("ResidentBytes(%d) = %d, want 0", noProcess, got)
	}
}
