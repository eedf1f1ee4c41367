package workcost

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"
)

// TestDigest compares the cost and the value of requests of every class with those of the first version:
// results must stay comparable with those of earlier runs.
func TestDigest(t *testing.T) {
	const want = "3f7e716af8588d63aef626abff5f3535a98e79ca59ddc4460031eaa9445a350c"
	digest := sha256.New()
	for _, prefix := range "qrkw" {
		for i := range 500 {
			mark := fmt.Sprintf("%c-1-%d", prefix, i)
			work, group := Work(mark)
			_, _ = fmt.Fprintf(digest, "%s %d %d", mark, int64(work), group)
			for latency := time.Duration(0); latency < 12*time.Second; latency += 100 * time.Millisecond {
				_, _ = fmt.Fprintf(digest, " %g", Value(mark, latency))
			}
			query := Query("SELECT 1 /* " + mark + " */")
			_, _ = fmt.Fprintf(digest, " %d %g %d %g %g %v %v %v %v\n", int64(query.Work), query.NeedMB, query.Group,
				query.Class.Threads, query.Class.IO, query.Class.Load, query.Class.Waits, query.Priority, i)
		}
	}
	var seconds [][2]float64
	for i := range 100 {
		seconds = append(seconds, [2]float64{float64(i * 7 % 13), 13})
		_, _ = fmt.Fprintf(digest, "%g\n", WorstTenSeconds(seconds))
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of costs and values = %s, want %s", got, want)
	}
}
