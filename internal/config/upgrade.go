package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gannetspur/internal/decide/handover"
)

// Upgrade says how a new version takes over: a file of its own, for both fronts. It is for
// installations where one machine runs the old and the new process side by side.
type Upgrade struct {
	Admin       string  // the socket that operators speak to, a path
	Program     string  // what takes over; "": the program that runs, as it is on disk then
	GreetWithin float64 `toml:"greet_within_s"` // 0.1 to 600
	WarmWithin  float64 `toml:"warm_within_s"`  // 0.1 to 600
	ProveFor    float64 `toml:"prove_for_s"`    // 0.1 to 600
	ProveWithin float64 `toml:"prove_within_s"` // at least prove_for_s, to 3600
	SilentFor   float64 `toml:"silent_for_s"`   // 0.3 to 60: it speaks every 0.1 s
	GoodAnswers int     `toml:"good_answers"`   // 0 to 1,000,000
	BadShare    float64 `toml:"bad_share"`      // 0 to 1
	MostMemory  int     `toml:"most_memory_mb"` // 0: no bound
}

// LoadUpgrade reads the file. What it leaves out is as handover.Defaults says.
func LoadUpgrade(path string) (*Upgrade, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	d := handover.DefaultConfig()
	u := Upgrade{
		GreetWithin: d.GreetTimeout.Seconds(), WarmWithin: d.WarmTimeout.Seconds(), ProveFor: d.MinProbation.Seconds(),
		ProveWithin: d.MaxProbation.Seconds(), SilentFor: d.HeartbeatTimeout.Seconds(), GoodAnswers: d.MinGoodAnswers, BadShare: d.MaxBadShare,
	}
	c := &checker{file: path}
	if decodeTOML(c, raw, &u) {
		u.check(c)
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &u, nil
}

// mostSocketPath is what a unix socket's address holds (unix(7)), less the name that it is
// made under first.
const mostSocketPath = 96

func (u *Upgrade) check(c *checker) {
	switch _, err := os.Stat(filepath.Dir(u.Admin)); {
	case u.Admin == "":
		c.add("admin", "missing; wanted is the path of the socket that operators speak to")
	case len(u.Admin) > mostSocketPath:
		c.add("admin", "%d bytes are too many for a socket's path, %d are the most", len(u.Admin), mostSocketPath)
	case err != nil:
		c.add("admin", "its folder can't be used: %v", err)
	}
	if u.Program != "" {
		_, err := os.Stat(u.Program)
		c.must(err == nil, "program", "it can't be started: %v", err)
	}
	for _, f := range []struct {
		name        string
		v, low, top float64
	}{
		{"greet_within_s", u.GreetWithin, 0.1, 600}, {"warm_within_s", u.WarmWithin, 0.1, 600}, {"prove_for_s", u.ProveFor, 0.1, 600},
		{"prove_within_s", u.ProveWithin, u.ProveFor, 3600}, {"silent_for_s", u.SilentFor, 0.3, 60}, {"bad_share", u.BadShare, 0, 1},
		{"good_answers", float64(u.GoodAnswers), 0, 1e6}, {"most_memory_mb", float64(u.MostMemory), 0, 1e6},
	} {
		c.must(f.v >= f.low && f.v <= f.top, f.name, "%g is not from %g to %g", f.v, f.low, f.top)
	}
}

// Decide is what the decisions take of it.
func (u *Upgrade) Decide() handover.Config {
	s := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	return handover.Config{
		GreetTimeout: s(u.GreetWithin), WarmTimeout: s(u.WarmWithin), MinProbation: s(u.ProveFor), MaxProbation: s(u.ProveWithin),
		HeartbeatTimeout: s(u.SilentFor), MinGoodAnswers: u.GoodAnswers, MaxBadShare: u.BadShare, MaxMemory: int64(u.MostMemory) << 20,
	}
}
