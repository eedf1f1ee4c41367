package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"gannetspur/internal/decide/membership"
)

// Fleet configures the membership protocol among front ends. It has a file of its own.
type Fleet struct {
	// Peers selects where the addresses of the front ends come from: "platform" takes them from the platform's
	// configuration, provided that its settings allow messages among front ends; "file" takes Listen and Seeds.
	Peers  string     `toml:"peers"`
	Listen string     `toml:"listen"` // with Peers = "file": this front end's IPv4 address and port, as other members reach it
	Seeds  []string   `toml:"seeds"`  // with Peers = "file": addresses of members to contact first
	Keys   []FleetKey `toml:"key"`    // with Peers = "file": the key of messages, or two during a rotation: the first signs, both are accepted
	Admin  string     `toml:"admin"`  // path of the admin socket if no other file sets one; "" for none

	HeartbeatMS    float64 `toml:"beat_ms"`     // interval between heartbeats in milliseconds, 100 to 10,000
	BytesPerSecond float64 `toml:"bytes_per_s"` // limit on the rate of sent bytes, 100 to 1,000,000
	BurstBytes     float64 `toml:"burst_bytes"` // bytes that may be sent at once after a quiet time, 1,000 to 10,000,000
}

// FleetKey is a numbered secret that the members share.
type FleetKey struct {
	Number int    `toml:"number"` // 1 to 255
	File   string `toml:"file"`   // file that holds the secret; a relative path is relative to the directory of the fleet file
	Secret []byte `toml:"-"`      // content of File without leading and trailing white space, 16 to 1,024 bytes
}

// LoadFleet reads and validates the file at path and the key files that it names. Intervals and rates that are left out
// default to membership.DefaultConfig.
func LoadFleet(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	defaults := membership.DefaultConfig()
	f := Fleet{
		HeartbeatMS:    milliseconds(defaults.HeartbeatInterval),
		BytesPerSecond: defaults.BytesPerSecond,
		BurstBytes:     defaults.BurstBytes,
	}
	c := &checker{file: path}
	if decodeTOML(c, raw, &f) {
		f.check(c, filepath.Dir(path))
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &f, nil
}

const (
	maxSeeds       = 1000
	minSecretBytes = 16
	maxSecretBytes = 1024
)

// check validates the fields and loads the keys. dir is the directory of the fleet file.
func (f *Fleet) check(c *checker, dir string) {
	switch f.Peers {
	case "platform":
		c.requiref(f.Listen == "", "listen", `must be empty with peers = "platform": the platform's configuration sets the address`)
		c.requiref(len(f.Seeds) == 0, "seeds", `must be empty with peers = "platform": the platform's configuration lists the members`)
		c.requiref(len(f.Keys) == 0, "key", `must be left out with peers = "platform": messages among the platform's front ends are not signed`)
	case "file":
		checkMemberAddress(c, "listen", f.Listen)
		for _, seed := range f.Seeds {
			checkMemberAddress(c, "seeds", seed)
		}
		c.requiref(len(f.Seeds) <= maxSeeds, "seeds", "must list at most %d addresses, got %d", maxSeeds, len(f.Seeds))
		c.requiref(len(f.Keys) == 1 || len(f.Keys) == 2, "key", "must be given once, or twice while keys are rotated, got %d", len(f.Keys))
	default:
		c.addf("peers", `must be "platform" or "file", got %q`, f.Peers)
	}
	for i := range f.Keys {
		prefix := fmt.Sprintf("key[%d].", i)
		f.Keys[i].load(c, prefix, dir)
		c.requiref(i == 0 || f.Keys[i].Number != f.Keys[0].Number, prefix+"number", "must be unique, got %d twice", f.Keys[i].Number)
	}
	c.requiref(len(f.Admin) <= maxSocketPathBytes, "admin", "must be a socket path of at most %d bytes, got %d", maxSocketPathBytes, len(f.Admin))
	c.requireRanges([]numberRange{
		{"beat_ms", f.HeartbeatMS, 100, 10000},
		{"bytes_per_s", f.BytesPerSecond, 100, 1e6},
		{"burst_bytes", f.BurstBytes, 1000, 1e7},
	})
}

// checkMemberAddress records a fault unless the field is an IPv4 address and port that other members can send to.
func checkMemberAddress(c *checker, field, address string) {
	addrPort, err := netip.ParseAddrPort(address)
	reachable := err == nil && addrPort.Addr().Is4() && !addrPort.Addr().IsUnspecified() && addrPort.Port() > 0
	c.requiref(reachable, field, "must be an IPv4 address and port that other members can reach, got %q", address)
}

// load validates the number and reads the secret from its file. The prefix is the path of the key, for faults; dir is the
// directory of the fleet file.
func (k *FleetKey) load(c *checker, prefix, dir string) {
	c.requiref(k.Number >= 1 && k.Number <= 255, prefix+"number", "must be between 1 and 255, got %d", k.Number)
	if k.File == "" {
		c.addf(prefix+"file", "must be set to the path of a file with the secret")
		return
	}
	raw, err := os.ReadFile(resolvePath(dir, k.File))
	if err != nil {
		c.addf(prefix+"file", "must be a readable file: %v", err)
		return
	}
	k.Secret = bytes.TrimSpace(raw)
	size := len(k.Secret)
	c.requiref(size >= minSecretBytes && size <= maxSecretBytes, prefix+"file", "must hold between 16 and 1024 bytes, got %d", size)
}

// MembershipConfig returns the configuration of the membership protocol. Its timeouts are the defaults, scaled with the heartbeat
// interval.
func (f *Fleet) MembershipConfig() membership.Config {
	cfg := membership.DefaultConfig()
	interval := FromMS(f.HeartbeatMS)
	scale := func(timeout time.Duration) time.Duration {
		return time.Duration(float64(timeout) * float64(interval) / float64(cfg.HeartbeatInterval))
	}
	cfg.SuspicionTimeout = scale(cfg.SuspicionTimeout)
	cfg.MaxViewDelay = scale(cfg.MaxViewDelay)
	cfg.HeartbeatInterval = interval
	cfg.BytesPerSecond = f.BytesPerSecond
	cfg.BurstBytes = f.BurstBytes
	return cfg
}
