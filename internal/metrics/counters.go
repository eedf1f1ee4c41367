// Package metrics counts what the program receives, sends and answers, by name.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Counters counts by name. Names are words joined by dots: the stage, then details such as the
// class. It belongs to one goroutine.
type Counters struct{ counts map[string]int64 }

// New returns counters at zero.
func New() *Counters { return &Counters{counts: map[string]int64{}} }

// Add adds one to a counter.
func (c *Counters) Add(name string) { c.counts[name]++ }

// AddN adds n to a counter.
func (c *Counters) AddN(name string, n int64) { c.counts[name] += n }

// Set copies a count that is kept elsewhere.
func (c *Counters) Set(name string, n int64) { c.counts[name] = n }

// All is a copy of all counts by name.
func (c *Counters) All() map[string]int64 { return maps.Clone(c.counts) }

// Get is the count under a name; 0 if there is none.
func (c *Counters) Get(name string) int64 { return c.counts[name] }

// Sum adds up the counts of all names that begin with the prefix.
func (c *Counters) Sum(prefix string) (sum int64) {
	for name, n := range c.counts {
		if strings.HasPrefix(name, prefix) {
			sum += n
		}
	}
	return sum
}

// Print writes a line for each counter, in order of name. Errors of the writer are dropped:
// the counts are the end of a log, after which nothing can be reported any more.
func (c *Counters) Print(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(w, "count %s %d\n", name, c.counts[name])
	}
}
