// Package stats counts what the program takes in, sends and answers.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Counters counts by name. It belongs to the loop's goroutine.
type Counters struct{ n map[string]int64 }

// New returns counters at zero.
func New() *Counters { return &Counters{n: map[string]int64{}} }

// Add counts one, under a name of words joined by dots: stage, then detail.
func (c *Counters) Add(name string) { c.n[name]++ }

// Set gives a figure that is kept elsewhere a name here.
func (c *Counters) Set(name string, n int64) { c.n[name] = n }

// Raise counts several at once.
func (c *Counters) Raise(name string, by int64) { c.n[name] += by }

// All is a copy of all counts by name.
func (c *Counters) All() map[string]int64 { return maps.Clone(c.n) }

// Get is the count under a name.
func (c *Counters) Get(name string) int64 { return c.n[name] }

// Sum is the count under all names that begin with the prefix.
func (c *Counters) Sum(prefix string) (sum int64) {
	for name, n := range c.n {
		if strings.HasPrefix(name, prefix) {
			sum += n
		}
	}
	return sum
}

// Print writes a line for each counter, in order of name.
func (c *Counters) Print(w io.Writer) {
	names := make([]string, 0, len(c.n))
	for name := range c.n {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "count %s %d\n", name, c.n[name])
	}
}
