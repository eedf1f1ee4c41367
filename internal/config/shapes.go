package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/policy"
)

// Shapes says how statements are classed and costed by their shape: the table [shapes]
// of the PostgreSQL front's deploy file, or a file of its own for the platform's front.
type Shapes struct {
	Enabled              bool         `toml:"enabled"`           // off: classes and estimates are what clients and rules say
	MemoryKB             int          `toml:"memory_kb"`         // of records and their upkeep, 64 to a quarter of memory_mb; default: 2048
	Hysteresis           float64      `toml:"hysteresis"`        // factor past the bound of a class before a shape changes over, 1 to 10; default: 1.3
	CorrectEstimates     bool         `toml:"correct_estimates"` // the expected cost goes to the policy in place of the client's estimate
	OnlyWithEstimate     bool         `toml:"only_told"`         // where clients give no estimate, the policy is given none
	Snapshot             string       `toml:"snapshot"`          // file in which what was learned survives a restart; "": none
	SnapshotEverySeconds float64      `toml:"snapshot_every_s"`  // 10 to 86400; default: 300
	Classes              []ShapeClass `toml:"class"`             // of reading statements, the cheapest first; none: classes are not decided
}

// ShapeClass is a class that reading statements are sorted into.
type ShapeClass struct {
	Name   string  `toml:"name"`
	UpToMS float64 `toml:"up_to_ms"` // expected time; the last class has none
}

// Defaults of Shapes.
const (
	defaultShapesKB        = 2048
	defaultSnapshotSeconds = 300
)

// check sets what is left out and names what can't be used.
func (s *Shapes) check(c *checker, prefix string, classes []policy.Class) {
	if !s.Enabled {
		return
	}
	if s.MemoryKB == 0 {
		s.MemoryKB = defaultShapesKB
	}
	if s.Hysteresis == 0 {
		s.Hysteresis = decide.DefaultHysteresis
	}
	if s.SnapshotEverySeconds == 0 {
		s.SnapshotEverySeconds = defaultSnapshotSeconds
	}
	c.requiref(s.MemoryKB >= 64 && s.MemoryKB <= 1<<20, prefix+"memory_kb", "%d is not from 64 to 1048576", s.MemoryKB)
	c.requiref(s.Hysteresis >= 1 && s.Hysteresis <= 10, prefix+"hysteresis", "%g is not from 1 to 10", s.Hysteresis)
	c.requiref(s.SnapshotEverySeconds >= 10 && s.SnapshotEverySeconds <= 86400, prefix+"snapshot_every_s", "%g is not from 10 to 86400", s.SnapshotEverySeconds)
	if s.Snapshot != "" {
		_, err := os.Stat(filepath.Dir(s.Snapshot))
		c.requiref(err == nil, prefix+"snapshot", "its folder can't be used: %v", err)
	}
	for i := range s.Classes {
		s.checkClass(c, i, fmt.Sprintf("%sclass[%d].", prefix, i), classes)
	}
}

func (s *Shapes) checkClass(c *checker, i int, prefix string, known []policy.Class) {
	class := s.Classes[i]
	found := slices.IndexFunc(known, func(k policy.Class) bool { return k.Name == class.Name })
	c.requiref(found >= 0, prefix+"name", "%q is no class of the settings", class.Name)
	if found >= 0 {
		c.requiref(known[found].Idempotency == policy.Idempotent, prefix+"name", "class %q is not safe to repeat; statements that read are sorted here", class.Name)
	}
	if i == len(s.Classes)-1 {
		c.requiref(class.UpToMS == 0, prefix+"up_to_ms", "the last class has no end")
		return
	}
	rising := class.UpToMS > 0 && (i == 0 || class.UpToMS > s.Classes[i-1].UpToMS)
	c.requiref(rising, prefix+"up_to_ms", "%g is not above the class before", class.UpToMS)
}

// LoadShapes reads a file of its own, for the platform's front.
func LoadShapes(path string) (*Shapes, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("shapes: %w", err)
	}
	var s Shapes
	c := &checker{file: path}
	if decodeTOML(c, raw, &s) {
		c.requiref(len(s.Classes) == 0, "class", "the platform's front is told its classes by the path, and sorts nothing into them")
		s.check(c, "", nil)
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Decide returns the configuration of the cost model.
func (s *Shapes) Decide() decide.Config {
	cfg := decide.Config{Hysteresis: s.Hysteresis}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, decide.Class{Name: c.Name, MaxWorkMS: c.UpToMS})
	}
	return cfg
}

// SnapshotInterval is the time between snapshots.
func (s *Shapes) SnapshotInterval() time.Duration { return FromSeconds(s.SnapshotEverySeconds) }
