// Package metrics provides named counters of what the program receives, sends and answers, and the
// memory use of processes.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Counters is a set of named counters. A name is a sequence of words joined by dots: the stage of
// processing, then details such as the class. Counters is not safe for concurrent use.
type Counters struct{ counts map[string]int64 }

// New returns an empty set of counters.
func New() *Counters { return &Counters{counts: map[string]int64{}} }

// Inc adds 1 to a counter.
func (c *Counters) Inc(name string) { c.counts[name]++ }

// AddN adds n to a counter.
func (c *Counters) AddN(name string, n int64) { c.counts[name] += n }

// Set sets a counter to n. It is for counts that are kept elsewhere.
func (c *Counters) Set(name string, n int64) { c.counts[name] = n }

// All returns a copy of all counts by name.
func (c *Counters) All() map[string]int64 { return maps.Clone(c.counts) }

// Get returns the count under a name, or 0 if there is no such counter.
func (c *Counters) Get(name string) int64 { return c.counts[name] }

// Sum returns the sum of all counters whose names begin with the prefix.
func (c *Counters) Sum(prefix string) (sum int64) {
	for name, n := range c.counts {
		if strings.HasPrefix(name, prefix) {
			sum += n
		}
	}
	return sum
}

// Print writes one line per counter, sorted by name. It ignores write errors: the counters are the
// end of a log, and an error could not be reported after it.
func (c *Counters) Print(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(w, "count %s %d\n", name, c.counts[name])
	}
}
