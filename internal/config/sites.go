package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	decide "gannetspur/internal/decide/remotesite"
)

// Sites says which gateways at other sites this one works with: a file of its own, for both frontends. It is for installations
// with several sites and a link between them.
type Sites struct {
	Site    string     `toml:"site"`    // where this gateway is
	Gateway string     `toml:"gateway"` // its name there
	Listen  string     `toml:"listen"`  // where gateways of other sites connect; "": it only dials
	Admin   string     `toml:"admin"`   // the socket that operators speak to, where no file of upgrades names one; "": none
	Keys    SiteKeys   `toml:"keys"`
	Peers   []SitePeer `toml:"peer"`
	Pack    bool       `toml:"pack"` // bodies are packed by zstd where that pays

	SharedDedup         bool    `toml:"keys_shared"`      // engines of all sites drop each other's repeats of a key
	UnreachableAfterMS  float64 `toml:"silent_after_ms"`  // 300 to 60,000
	SlowRTTMS           float64 `toml:"slow_above_ms"`    // 1 to 60,000
	RampDurationSeconds float64 `toml:"cold_for_s"`       // 0 to 3,600
	RampStart           float64 `toml:"cold_start"`       // 0.01 to 1
	HopSlackMS          float64 `toml:"slack_ms"`         // 0 to 10,000
	SpillBelow          float64 `toml:"spill_below"`      // 0 to 1
	StopSpillAbove      float64 `toml:"stop_above"`       // spill_below to 1
	MinPeerCapacity     float64 `toml:"take_above"`       // 0 to 1
	LocalReserve        float64 `toml:"reserve"`          // 0 to 1
	ThreadsPerCore      float64 `toml:"threads_per_core"` // 0.1 to 100
	DigestIntervalMS    float64 `toml:"word_every_ms"`    // 20 to 10,000, a third of silent_after_ms at most
	MinPriorityWeight   float64 `toml:"price"`            // 0 or above, in priority weight
	AffinityBonus       float64 `toml:"affinity"`         // 0 to 1
	HedgeRatio          float64 `toml:"hedge_share"`      // 0 to 1
}

// SiteKeys are files in PEM; relative names count from this file's folder.
type SiteKeys struct {
	Certificate string `toml:"certificate"` // of this gateway, which names it by the URI ringwood://SITE/GATEWAY
	Key         string `toml:"key"`
	Authority   string `toml:"authority"` // that peers' certificates are signed by
	Revoked     string `toml:"revoked"`   // the authority's list of revoked certificates; "": none
}

// SitePeer is a gateway at another site.
type SitePeer struct {
	Site    string `toml:"site"`
	Gateway string `toml:"gateway"`
	Address string `toml:"address"` // where it listens; it may be left out where it dials this one
}

// LoadSites reads the file. What the file leaves out is as remotesite.Defaults says.
func LoadSites(path string) (*Sites, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	s := defaultSites()
	c := &checker{file: path}
	if decodeTOML(c, raw, &s) {
		s.check(c, filepath.Dir(path))
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func defaultSites() Sites {
	d := decide.Defaults()
	return Sites{
		UnreachableAfterMS:  milliseconds(d.UnreachableAfter),
		SlowRTTMS:           milliseconds(d.SlowRTT),
		RampDurationSeconds: d.RampDuration.Seconds(),
		RampStart:           d.RampStart,
		HopSlackMS:          milliseconds(d.HopSlack),
		SpillBelow:          d.SpillBelow,
		StopSpillAbove:      d.StopSpillAbove,
		MinPeerCapacity:     d.MinPeerCapacity,
		LocalReserve:        d.LocalReserve,
		ThreadsPerCore:      d.ThreadsPerCore,
		DigestIntervalMS:    milliseconds(d.DigestInterval),
		MinPriorityWeight:   d.MinPriorityWeight,
		AffinityBonus:       d.AffinityBonus,
		HedgeRatio:          d.HedgeRatio,
	}
}

const (
	maxSitePeers    = 256
	maxSiteNameSize = 63 // bytes

	// staleDigestIntervals is after how many intervals a site's last digest of its load counts for nothing.
	staleDigestIntervals = 8
)

func (s *Sites) check(c *checker, dir string) {
	checkSiteName(c, "site", s.Site)
	checkSiteName(c, "gateway", s.Gateway)
	if s.Listen != "" {
		c.requireAddress("listen", s.Listen)
	}
	s.checkPeers(c)
	s.Keys.resolve(c, dir)
	c.requireRanges([]numberRange{
		{"silent_after_ms", s.UnreachableAfterMS, 300, 60000},
		{"slow_above_ms", s.SlowRTTMS, 1, 60000},
		{"cold_for_s", s.RampDurationSeconds, 0, 3600},
		{"cold_start", s.RampStart, 0.01, 1},
		{"slack_ms", s.HopSlackMS, 0, 10000},
		{"spill_below", s.SpillBelow, 0, 1},
		{"stop_above", s.StopSpillAbove, s.SpillBelow, 1},
		{"take_above", s.MinPeerCapacity, 0, 1},
		{"reserve", s.LocalReserve, 0, 1},
		{"threads_per_core", s.ThreadsPerCore, 0.1, 100},
		{"word_every_ms", s.DigestIntervalMS, 20, min(10000, s.UnreachableAfterMS/3)},
		{"price", s.MinPriorityWeight, 0, 1e9},
		{"affinity", s.AffinityBonus, 0, 1},
		{"hedge_share", s.HedgeRatio, 0, 1},
	})
}

func (s *Sites) checkPeers(c *checker) {
	c.requiref(len(s.Peers) <= maxSitePeers, "peer", "%d are too many, %d are the most", len(s.Peers), maxSitePeers)
	own := s.Site + "/" + s.Gateway
	seen := map[string]bool{}
	for i, peer := range s.Peers {
		prefix := fmt.Sprintf("peer[%d].", i)
		checkSiteName(c, prefix+"site", peer.Site)
		checkSiteName(c, prefix+"gateway", peer.Gateway)
		c.requiref(peer.Site != s.Site, prefix+"site", "%q is this gateway's own site", peer.Site)
		name := peer.Site + "/" + peer.Gateway
		c.requiref(!seen[name], prefix+"gateway", "%s is named twice", name)
		seen[name] = true
		switch {
		case peer.Address != "":
			c.requireAddress(prefix+"address", peer.Address)
		case own < name: // of two gateways, the one whose name comes first dials
			c.addf(prefix+"address", "missing; this gateway dials %s, whose name comes later", name)
		case s.Listen == "":
			c.addf("listen", "missing; %s dials this gateway", name)
		}
	}
}

func checkSiteName(c *checker, field, name string) {
	wellFormed := name != "" && len(name) <= maxSiteNameSize && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	c.requiref(wellFormed, field, "%q is no name of 1 to 63 small letters, digits and hyphens", name)
}

// resolve makes the paths absolute or relative to the process's folder, and names those that are missing.
func (k *SiteKeys) resolve(c *checker, dir string) {
	for _, required := range []struct {
		field string
		path  *string
	}{{"keys.certificate", &k.Certificate}, {"keys.key", &k.Key}, {"keys.authority", &k.Authority}} {
		if *required.path == "" {
			c.addf(required.field, "missing; wanted is a file in PEM")
			continue
		}
		*required.path = resolvePath(dir, *required.path)
	}
	if k.Revoked != "" {
		k.Revoked = resolvePath(dir, k.Revoked)
	}
}

// Decide returns the configuration of the decisions on other sites. maxAttempts bounds the attempts of one request over all sites.
func (s *Sites) Decide(maxAttempts int) decide.Config {
	digestInterval := FromMS(s.DigestIntervalMS)
	return decide.Config{
		UnreachableAfter:  FromMS(s.UnreachableAfterMS),
		SlowRTT:           FromMS(s.SlowRTTMS),
		RampDuration:      FromSeconds(s.RampDurationSeconds),
		RampStart:         s.RampStart,
		HopSlack:          FromMS(s.HopSlackMS),
		SpillBelow:        s.SpillBelow,
		StopSpillAbove:    s.StopSpillAbove,
		MinPeerCapacity:   s.MinPeerCapacity,
		LocalReserve:      s.LocalReserve,
		ThreadsPerCore:    s.ThreadsPerCore,
		DigestMaxAge:      staleDigestIntervals * digestInterval,
		DigestInterval:    digestInterval,
		MaxAttempts:       max(maxAttempts, 1),
		MinPriorityWeight: s.MinPriorityWeight,
		AffinityBonus:     s.AffinityBonus,
		HedgeRatio:        s.HedgeRatio,
		SharedDedup:       s.SharedDedup,
	}
}
