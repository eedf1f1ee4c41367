package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Fleet says how this front end is a member among others: a file of its own.
type Fleet struct {
	Peers  string     `toml:"peers"`  // "platform": as the platform's configuration says, where that allows messages among front ends; "file": as below
	Listen string     `toml:"listen"` // with "file": own address, IPv4, as others reach it
	Seeds  []string   `toml:"seeds"`
	Keys   []FleetKey `toml:"key"`
	Admin  string     `toml:"admin"` // the socket that operators speak to, where no other file names one; "": none

	HeartbeatMS    float64 `toml:"beat_ms"`     // 100 to 10,000
	BytesPerSecond float64 `toml:"bytes_per_s"` // 100 to 1,000,000
	BurstBytes     float64 `toml:"burst_bytes"` // 1,000 to 10,000,000
}

// FleetKey is a secret that members share, with its number.
type FleetKey struct {
	Number int    `toml:"number"` // 1 to 255
	File   string `toml:"file"`   // 16 to 1,024 bytes but for spaces around; a relative name counts from this file's folder
	Secret []byte `toml:"-"`
}

// LoadFleet reads the file and its keys. What the file leaves out is as membership.DefaultConfig says.
func LoadFleet(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	d := decide.DefaultConfig()
	f := Fleet{HeartbeatMS: milliseconds(d.HeartbeatInterval), BytesPerSecond: d.BytesPerSecond, BurstBytes: d.BurstBytes}
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

func (f *Fleet) check(c *checker, dir string) {
	switch f.Peers {
	case "platform":
		c.requiref(f.Listen == "", "listen", "the platform's configuration names the address")
		c.requiref(len(f.Seeds) == 0, "seeds", "the platform's configuration names the others")
		c.requiref(len(f.Keys) == 0, "key", "messages among the platform's front ends are not signed")
	case "file":
		checkMemberAddress(c, "listen", f.Listen)
		for _, seed := range f.Seeds {
			checkMemberAddress(c, "seeds", seed)
		}
		c.requiref(len(f.Seeds) <= maxSeeds, "seeds", "%d are too many, %d are the most", len(f.Seeds), maxSeeds)
		c.requiref(len(f.Keys) == 1 || len(f.Keys) == 2, "key", "%d keys; wanted is one, or two while they are changed", len(f.Keys))
	default:
		c.addf("peers", "%q is neither \"platform\" nor \"file\"", f.Peers)
	}
	for i := range f.Keys {
		prefix := fmt.Sprintf("key[%d].", i)
		f.Keys[i].load(c, prefix, dir)
		c.requiref(i == 0 || f.Keys[i].Number != f.Keys[0].Number, prefix+"number", "%d is named twice", f.Keys[i].Number)
	}
	c.requiref(len(f.Admin) <= maxSocketPathBytes, "admin", "%d bytes are too many for a socket's path, %d are the most", len(f.Admin), maxSocketPathBytes)
	c.requireRanges([]numberRange{
		{"beat_ms", f.HeartbeatMS, 100, 10000},
		{"bytes_per_s", f.BytesPerSecond, 100, 1e6},
		{"burst_bytes", f.BurstBytes, 1000, 1e7},
	})
}

// checkMemberAddress adds a fault unless the field is an IPv4 address with a port that others can reach.
func checkMemberAddress(c *checker, field, address string) {
	a, err := netip.ParseAddrPort(address)
	reachable := err == nil && a.Addr().Is4() && !a.Addr().IsUnspecified() && a.Port() > 0
	c.requiref(reachable, field, "%q is no IPv4 address with a port, as others reach it", address)
}

// load reads the secret.
func (k *FleetKey) load(c *checker, prefix, dir string) {
	c.requiref(k.Number >= 1 && k.Number <= 255, prefix+"number", "%d is not from 1 to 255", k.Number)
	if k.File == "" {
		c.addf(prefix+"file", "missing; wanted is a file with the secret")
		return
	}
	raw, err := os.ReadFile(resolvePath(dir, k.File))
	if err != nil {
		c.addf(prefix+"file", "%v", err)
		return
	}
	k.Secret = bytes.TrimSpace(raw)
	size := len(k.Secret)
	c.requiref(size >= minSecretBytes && size <= maxSecretBytes, prefix+"file", "it holds %d bytes, not 16 to 1,024", size)
}

// Decide returns the configuration of the membership's decisions: their time-outs scale with the heartbeat interval.
func (f *Fleet) Decide() decide.Config {
	d := decide.DefaultConfig()
	interval := FromMS(f.HeartbeatMS)
	scale := func(timeout time.Duration) time.Duration {
		return time.Duration(float64(timeout) * float64(interval) / float64(d.HeartbeatInterval))
	}
	d.SuspicionTimeout = scale(d.SuspicionTimeout)
	d.MaxViewDelay = scale(d.MaxViewDelay)
	d.HeartbeatInterval = interval
	d.BytesPerSecond = f.BytesPerSecond
	d.BurstBytes = f.BurstBytes
	return d
}
