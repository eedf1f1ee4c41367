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
	Peers      string // "platform": as the platform's configuration says, where that allows words among front ends; "file": as below
	Listen     string // with "file": own address, IPv4, as others reach it
	Seeds      []string
	Keys       []FleetKey `toml:"key"`
	Admin      string     // the socket that operators speak to, where no other file names one; "": none
	BeatMS     float64    `toml:"beat_ms"`     // 100 to 10,000
	BytesPerS  float64    `toml:"bytes_per_s"` // 100 to 1,000,000
	BurstBytes float64    `toml:"burst_bytes"` // 1,000 to 10,000,000
}

// FleetKey is a secret that members share, with its number.
type FleetKey struct {
	Number int    // 1 to 255
	File   string // 16 to 1,024 bytes but for spaces around; a relative name counts from this file's folder
	Secret []byte `toml:"-"`
}

// LoadFleet reads the file and its keys. What it leaves out is as decide/membership's DefaultConfig says.
func LoadFleet(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	d := decide.DefaultConfig()
	f := Fleet{BeatMS: float64(d.HeartbeatInterval) / float64(time.Millisecond), BytesPerS: d.BytesPerSecond, BurstBytes: d.BurstBytes}
	c := &checker{file: path}
	if decodeTOML(c, raw, &f) {
		f.check(c, filepath.Dir(path))
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// mostSeeds bounds the members that a file names.
const mostSeeds = 1000

func (f *Fleet) check(c *checker, dir string) {
	switch f.Peers {
	case "platform":
		c.must(f.Listen == "", "listen", "the platform's configuration names the address")
		c.must(len(f.Seeds) == 0, "seeds", "the platform's configuration names the others")
		c.must(len(f.Keys) == 0, "key", "words among the platform's front ends are not signed")
	case "file":
		ip4 := func(field, addr string) {
			a, err := netip.ParseAddrPort(addr)
			c.must(err == nil && a.Addr().Is4() && !a.Addr().IsUnspecified() && a.Port() > 0, field, "%q is no IPv4 address with a port, as others reach it", addr)
		}
		ip4("listen", f.Listen)
		for _, s := range f.Seeds {
			ip4("seeds", s)
		}
		c.must(len(f.Seeds) <= mostSeeds, "seeds", "%d are too many, %d are the most", len(f.Seeds), mostSeeds)
		c.must(len(f.Keys) == 1 || len(f.Keys) == 2, "key", "%d keys; wanted is one, or two while they are changed", len(f.Keys))
	default:
		c.add("peers", "%q is neither \"platform\" nor \"file\"", f.Peers)
	}
	for i := range f.Keys {
		k, at := &f.Keys[i], fmt.Sprintf("key[%d].", i)
		c.must(k.Number >= 1 && k.Number <= 255, at+"number", "%d is not from 1 to 255", k.Number)
		c.must(i == 0 || k.Number != f.Keys[0].Number, at+"number", "%d is named twice", k.Number)
		raw, err := os.ReadFile(beside(dir, k.File))
		k.Secret = bytes.TrimSpace(raw)
		switch {
		case k.File == "":
			c.add(at+"file", "missing; wanted is a file with the secret")
		case err != nil:
			c.add(at+"file", "%v", err)
		default:
			c.must(len(k.Secret) >= 16 && len(k.Secret) <= 1024, at+"file", "it holds %d bytes, not 16 to 1,024", len(k.Secret))
		}
	}
	if f.Admin != "" {
		c.must(len(f.Admin) <= mostSocketPath, "admin", "%d bytes are too many for a socket's path, %d are the most", len(f.Admin), mostSocketPath)
	}
	for _, x := range []struct {
		name        string
		v, low, top float64
	}{{"beat_ms", f.BeatMS, 100, 10000}, {"bytes_per_s", f.BytesPerS, 100, 1e6}, {"burst_bytes", f.BurstBytes, 1000, 1e7}} {
		c.must(x.v >= x.low && x.v <= x.top, x.name, "%g is not from %g to %g", x.v, x.low, x.top)
	}
}

// Decide is what the decisions take of it: spans follow the beat.
func (f *Fleet) Decide() decide.Config {
	d := decide.DefaultConfig()
	beat := FromMS(f.BeatMS)
	d.SuspicionTimeout = time.Duration(float64(d.SuspicionTimeout) * float64(beat) / float64(d.HeartbeatInterval))
	d.MaxViewDelay = time.Duration(float64(d.MaxViewDelay) * float64(beat) / float64(d.HeartbeatInterval))
	d.HeartbeatInterval, d.BytesPerSecond, d.BurstBytes = beat, f.BytesPerS, f.BurstBytes
	return d
}
