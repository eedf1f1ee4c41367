package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/policy"
)

// Shapes says how statements are classed and costed by their shape: the table [shapes]
// of the PostgreSQL front's deploy file, or a file of its own for the platform's front.
type Shapes struct {
	Enabled       bool         // off: classes and estimates are what clients and rules say
	MemoryKB      int          `toml:"memory_kb"`         // of records and their upkeep, 64 to a quarter of memory_mb; usual: 2048
	Hysteresis    float64      `toml:"hysteresis"`        // factor past the bound of a class before a shape changes over, 1 to 10; usual: 1.3
	Correct       bool         `toml:"correct_estimates"` // what is expected goes to the decisions in place of the client's estimate
	OnlyTold      bool         `toml:"only_told"`         // and where clients tell no estimate, the decisions are told none
	Snapshot      string       // file that what was learned survives a restart in; "": none
	SnapshotEvery float64      `toml:"snapshot_every_s"` // 10 to 86400; usual: 300
	Classes       []ShapeClass `toml:"class"`            // of reading statements, the cheapest first; none: classes are not decided
}

// ShapeClass is a class that reading statements are sorted into.
type ShapeClass struct {
	Name string
	UpTo float64 `toml:"up_to_ms"` // expected time; the last class has none
}

// usual figures of Shapes.
const (
	usualShapesKB    = 2048
	usualSnapshotSec = 300
)

// check sets what is left out and names what can't be used.
func (s *Shapes) check(c *checker, prefix string, classes []policy.Class) {
	if !s.Enabled {
		return
	}
	if s.MemoryKB == 0 {
		s.MemoryKB = usualShapesKB
	}
	if s.Hysteresis == 0 {
		s.Hysteresis = decide.DefaultHysteresis
	}
	if s.SnapshotEvery == 0 {
		s.SnapshotEvery = usualSnapshotSec
	}
	c.must(s.MemoryKB >= 64 && s.MemoryKB <= 1<<20, prefix+"memory_kb", "%d is not from 64 to 1048576", s.MemoryKB)
	c.must(s.Hysteresis >= 1 && s.Hysteresis <= 10, prefix+"hysteresis", "%g is not from 1 to 10", s.Hysteresis)
	c.must(s.SnapshotEvery >= 10 && s.SnapshotEvery <= 86400, prefix+"snapshot_every_s", "%g is not from 10 to 86400", s.SnapshotEvery)
	if s.Snapshot != "" {
		_, err := os.Stat(filepath.Dir(s.Snapshot))
		c.must(err == nil, prefix+"snapshot", "its folder can't be used: %v", err)
	}
	for i, sc := range s.Classes {
		at := fmt.Sprintf("%sclass[%d].", prefix, i)
		var found *policy.Class
		for j := range classes {
			if classes[j].Name == sc.Name {
				found = &classes[j]
			}
		}
		c.must(found != nil, at+"name", "%q is no class of the settings", sc.Name)
		c.must(found == nil || found.Idempotency == policy.Idempotent, at+"name", "class %q is not safe to repeat; statements that read are sorted here", sc.Name)
		last := i == len(s.Classes)-1
		c.must(!last || sc.UpTo == 0, at+"up_to_ms", "the last class has no end")
		c.must(last || sc.UpTo > 0 && (i == 0 || sc.UpTo > s.Classes[i-1].UpTo), at+"up_to_ms", "%g is not above the class before", sc.UpTo)
	}
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
		c.must(len(s.Classes) == 0, "class", "the platform's front is told its classes by the path, and sorts nothing into them")
		s.check(c, "", nil)
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Decide is what the decisions take of it.
func (s *Shapes) Decide() decide.Config {
	cfg := decide.Config{Hysteresis: s.Hysteresis}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, decide.Class{Name: c.Name, UpTo: c.UpTo})
	}
	return cfg
}

// Every is the time between snapshots.
func (s *Shapes) Every() time.Duration { return FromMS(s.SnapshotEvery * 1000) }
