package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gannetspur/internal/decide/costmodel"
	"gannetspur/policy"
)

// Shapes configures the cost model, which learns the cost of each query shape and derives classes and estimates from it. It
// is the table [shapes] of the PostgreSQL frontend's deploy file, or a file of its own for the platform's frontend.
type Shapes struct {
	Enabled              bool         `toml:"enabled"`           // false takes classes and estimates from clients and rules alone
	MemoryKB             int          `toml:"memory_kb"`         // memory for shape records and their overhead, 64 to a quarter of memory_mb; 0 for 2048
	Hysteresis           float64      `toml:"hysteresis"`        // factor by which the cost of a shape must pass a class's bound before the class changes, 1 to 10; 0 for 1.3
	CorrectEstimates     bool         `toml:"correct_estimates"` // true gives the policy the learned cost in place of the client's estimate
	OnlyWithEstimate     bool         `toml:"only_told"`         // true gives the policy no estimate for queries without one of the client
	Snapshot             string       `toml:"snapshot"`          // path of the file that keeps learned costs over a restart, relative to the working directory; "" for none
	SnapshotEverySeconds float64      `toml:"snapshot_every_s"`  // interval between snapshots, 10 to 86,400; 0 for 300
	Classes              []ShapeClass `toml:"class"`             // classes of reading statements by rising cost; empty if classes are not derived
}

// ShapeClass is a class that reading statements are assigned to by their expected time.
type ShapeClass struct {
	Name   string  `toml:"name"`
	UpToMS float64 `toml:"up_to_ms"` // upper bound of the expected time in milliseconds; 0 for the last class, which has none
}

// Defaults of Shapes.MemoryKB and Shapes.SnapshotEverySeconds.
const (
	defaultShapesKB        = 2048
	defaultSnapshotSeconds = 300
)

// check sets defaults and validates the fields. The prefix is the path of the table, for faults; classes are those of the
// settings.
func (s *Shapes) check(c *checker, prefix string, classes []policy.Class) {
	if !s.Enabled {
		return
	}
	if s.MemoryKB == 0 {
		s.MemoryKB = defaultShapesKB
	}
	if s.Hysteresis == 0 {
		s.Hysteresis = costmodel.DefaultHysteresis
	}
	if s.SnapshotEverySeconds == 0 {
		s.SnapshotEverySeconds = defaultSnapshotSeconds
	}
	c.requiref(s.MemoryKB >= 64 && s.MemoryKB <= 1<<20, prefix+"memory_kb", "must be between 64 and 1048576, got %d", s.MemoryKB)
	c.requiref(s.Hysteresis >= 1 && s.Hysteresis <= 10, prefix+"hysteresis", "must be between 1 and 10, got %g", s.Hysteresis)
	c.requiref(s.SnapshotEverySeconds >= 10 && s.SnapshotEverySeconds <= 86400, prefix+"snapshot_every_s", "must be between 10 and 86400, got %g", s.SnapshotEverySeconds)
	if s.Snapshot != "" {
		_, err := os.Stat(filepath.Dir(s.Snapshot))
		c.requiref(err == nil, prefix+"snapshot", "must be a file in an accessible directory: %v", err)
	}
	for i := range s.Classes {
		s.checkClass(c, i, fmt.Sprintf("%sclass[%d].", prefix, i), classes)
	}
}

// checkClass validates the i-th class. Reading statements may be repeated, so its class must be idempotent. All classes but
// the last need rising bounds.
func (s *Shapes) checkClass(c *checker, i int, prefix string, known []policy.Class) {
	class := s.Classes[i]
	found := slices.IndexFunc(known, func(k policy.Class) bool { return k.Name == class.Name })
	c.requiref(found >= 0, prefix+"name", "must be a class of the settings, got %q", class.Name)
	if found >= 0 {
		c.requiref(known[found].Idempotency == policy.Idempotent, prefix+"name", "must be an idempotent class, as it holds reading statements, got %q", class.Name)
	}
	if i == len(s.Classes)-1 {
		c.requiref(class.UpToMS == 0, prefix+"up_to_ms", "must be left out in the last class, got %g", class.UpToMS)
		return
	}
	rising := class.UpToMS > 0 && (i == 0 || class.UpToMS > s.Classes[i-1].UpToMS)
	c.requiref(rising, prefix+"up_to_ms", "must be above 0 and the bound of the previous class, got %g", class.UpToMS)
}

// LoadShapes reads and validates a separate file for the platform's frontend. It may define no classes.
func LoadShapes(path string) (*Shapes, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("shapes: %w", err)
	}
	var s Shapes
	c := &checker{file: path}
	if decodeTOML(c, raw, &s) {
		c.requiref(len(s.Classes) == 0, "class", "must be left out: the platform's frontend takes classes from the request path")
		s.check(c, "", nil)
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// CostModelConfig returns the configuration of the cost model.
func (s *Shapes) CostModelConfig() costmodel.Config {
	cfg := costmodel.Config{Hysteresis: s.Hysteresis}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, costmodel.Class{Name: c.Name, MaxWorkMS: c.UpToMS})
	}
	return cfg
}

// SnapshotInterval returns the time between snapshots.
func (s *Shapes) SnapshotInterval() time.Duration { return FromSeconds(s.SnapshotEverySeconds) }
