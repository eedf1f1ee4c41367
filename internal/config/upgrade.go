package config

import (
	"fmt"
	"os"
	"path/filepath"

	"gannetspur/internal/decide/handover"
)

// Upgrade configures the handover to a new version, for installations where one machine runs the old and the new process side
// by side. It has a file of its own, which both frontends use.
type Upgrade struct {
	Admin   string `toml:"admin"`   // path of the admin socket
	Program string `toml:"program"` // path of the new program; "" for the file of the running program, as it is at the upgrade

	HelloTimeoutSeconds     float64 `toml:"greet_within_s"` // limit on the time until the new process's hello, 0.1 to 600
	WarmUpTimeoutSeconds    float64 `toml:"warm_within_s"`  // limit on the time until the new process has applied the transferred state, 0.1 to 600
	ProbationSeconds        float64 `toml:"prove_for_s"`    // minimum time that the new process serves before it takes over for good, 0.1 to 600
	MaxProbationSeconds     float64 `toml:"prove_within_s"` // maximum of that time, reached if there is little work, ProbationSeconds to 3,600
	HeartbeatTimeoutSeconds float64 `toml:"silent_for_s"`   // silence after which the new process is killed, 0.3 to 60; it sends a heartbeat every 0.1 s
	MinSuccesses            int     `toml:"good_answers"`   // successful responses that the new process must give if there is work, 0 to 1,000,000
	MaxFailureFraction      float64 `toml:"bad_share"`      // fraction of the new process's responses that may fail above the usual rate, 0 to 1
	MaxMemoryMB             int     `toml:"most_memory_mb"` // limit on the new process's resident memory in MB, up to 1,000,000; 0 for no limit
}

// LoadUpgrade reads and validates the file at path. Timeouts and limits that are left out default to handover.DefaultConfig.
func LoadUpgrade(path string) (*Upgrade, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	defaults := handover.DefaultConfig()
	u := Upgrade{
		HelloTimeoutSeconds:     defaults.HelloTimeout.Seconds(),
		WarmUpTimeoutSeconds:    defaults.WarmUpTimeout.Seconds(),
		ProbationSeconds:        defaults.MinProbation.Seconds(),
		MaxProbationSeconds:     defaults.MaxProbation.Seconds(),
		HeartbeatTimeoutSeconds: defaults.HeartbeatTimeout.Seconds(),
		MinSuccesses:            defaults.MinSuccesses,
		MaxFailureFraction:      defaults.MaxFailureFraction,
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

// maxSocketPathBytes is the size of the path in a Unix socket address (unix(7)), less room for the suffix of the temporary
// name that the socket is bound to first.
const maxSocketPathBytes = 96

// check validates the fields, and that the directory of the socket and the program exist.
func (u *Upgrade) check(c *checker) {
	_, err := os.Stat(filepath.Dir(u.Admin))
	switch {
	case u.Admin == "":
		c.addf("admin", "must be set to the path of the admin socket")
	case len(u.Admin) > maxSocketPathBytes:
		c.addf("admin", "must be a socket path of at most %d bytes, got %d", maxSocketPathBytes, len(u.Admin))
	case err != nil:
		c.addf("admin", "must be a path in an accessible directory: %v", err)
	}
	if u.Program != "" {
		_, err := os.Stat(u.Program)
		c.requiref(err == nil, "program", "must be an existing file: %v", err)
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

// HandoverConfig returns the configuration of the handover protocol.
func (u *Upgrade) HandoverConfig() handover.Config {
	return handover.Config{
		HelloTimeout:       seconds(u.HelloTimeoutSeconds),
		WarmUpTimeout:      seconds(u.WarmUpTimeoutSeconds),
		MinProbation:       seconds(u.ProbationSeconds),
		MaxProbation:       seconds(u.MaxProbationSeconds),
		HeartbeatTimeout:   seconds(u.HeartbeatTimeoutSeconds),
		MinSuccesses:       u.MinSuccesses,
		MaxFailureFraction: u.MaxFailureFraction,
		MaxMemory:          int64(u.MaxMemoryMB) << 20,
	}
}
