package config

import (
	"fmt"
	"os"
	"path/filepath"

	"gannetspur/internal/decide/handover"
)

// Upgrade says how a new version takes over: a file of its own, for both fronts. It is for
// installations where one machine runs the old and the new process side by side.
type Upgrade struct {
	Admin   string `toml:"admin"`   // the socket that operators speak to, a path
	Program string `toml:"program"` // what takes over; "": the program that runs, as it is on disk then

	HelloTimeoutSeconds     float64 `toml:"greet_within_s"` // 0.1 to 600
	WarmUpTimeoutSeconds    float64 `toml:"warm_within_s"`  // 0.1 to 600
	ProbationSeconds        float64 `toml:"prove_for_s"`    // 0.1 to 600
	MaxProbationSeconds     float64 `toml:"prove_within_s"` // at least prove_for_s, to 3600
	HeartbeatTimeoutSeconds float64 `toml:"silent_for_s"`   // 0.3 to 60; a heartbeat comes every 0.1 s
	MinSuccesses            int     `toml:"good_answers"`   // 0 to 1,000,000
	MaxFailureFraction      float64 `toml:"bad_share"`      // 0 to 1
	MaxMemoryMB             int     `toml:"most_memory_mb"` // 0: no bound
}

// LoadUpgrade reads the file. What it leaves out is as handover.DefaultConfig says.
func LoadUpgrade(path string) (*Upgrade, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	d := handover.DefaultConfig()
	u := Upgrade{
		HelloTimeoutSeconds:     d.GreetTimeout.Seconds(),
		WarmUpTimeoutSeconds:    d.WarmTimeout.Seconds(),
		ProbationSeconds:        d.MinProbation.Seconds(),
		MaxProbationSeconds:     d.MaxProbation.Seconds(),
		HeartbeatTimeoutSeconds: d.HeartbeatTimeout.Seconds(),
		MinSuccesses:            d.MinSuccesses,
		MaxFailureFraction:      d.MaxFailureRate,
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

// maxSocketPathBytes is what a unix socket's address holds (unix(7)), less the suffix of the name that it is bound to first.
const maxSocketPathBytes = 96

func (u *Upgrade) check(c *checker) {
	_, err := os.Stat(filepath.Dir(u.Admin))
	switch {
	case u.Admin == "":
		c.addf("admin", "missing; wanted is the path of the socket that operators speak to")
	case len(u.Admin) > maxSocketPathBytes:
		c.addf("admin", "%d bytes are too many for a socket's path, %d are the most", len(u.Admin), maxSocketPathBytes)
	case err != nil:
		c.addf("admin", "its folder can't be used: %v", err)
	}
	if u.Program != "" {
		_, err := os.Stat(u.Program)
		c.requiref(err == nil, "program", "it can't be started: %v", err)
	}
	c.requireRanges([]numberRange{
		{"greet_within_s", u.HelloTimeoutSeconds, 0.1, 600},
		{"warm_within_s", u.WarmUpTimeoutSeconds, 0.1, 600},
		{"prove_for_s", u.ProbationSeconds, 0.1, 600},
		{"prove_within_s", u.MaxProbationSeconds, u.ProbationSeconds, 3600},
		{"silent_for_s", u.HeartbeatTimeoutSeconds, 0.3, 60},
		{"bad_share", u.MaxFailureFraction, 0, 1},
		{"good_answers", float64(u.MinSuccesses), 0, 1e6},
		{"most_memory_mb", float64(u.MaxMemoryMB), 0, 1e6},
	})
}

// Decide returns the configuration of the handover's decisions.
func (u *Upgrade) Decide() handover.Config {
	return handover.Config{
		GreetTimeout:     seconds(u.HelloTimeoutSeconds),
		WarmTimeout:      seconds(u.WarmUpTimeoutSeconds),
		MinProbation:     seconds(u.ProbationSeconds),
		MaxProbation:     seconds(u.MaxProbationSeconds),
		HeartbeatTimeout: seconds(u.HeartbeatTimeoutSeconds),
		MinSuccesses:     u.MinSuccesses,
		MaxFailureRate:   u.MaxFailureFraction,
		MaxMemory:        int64(u.MaxMemoryMB) << 20,
	}
}
