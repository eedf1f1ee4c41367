package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gannetspur/internal/decide/remotesite"
)

// Sites configures the forwarding of queries to gateways at other sites, over links between the sites. It has a file of its
// own, which both frontends use.
type Sites struct {
	Site     string     `toml:"site"`    // name of this gateway's site
	Gateway  string     `toml:"gateway"` // name of this gateway within the site
	Listen   string     `toml:"listen"`  // address for gateways of other sites, HOST:PORT; "" if this gateway only dials
	Admin    string     `toml:"admin"`   // path of the admin socket if no upgrade file sets one; "" for none
	Keys     SiteKeys   `toml:"keys"`
	Peers    []SitePeer `toml:"peer"`
	Compress bool       `toml:"pack"` // true: bodies are compressed with zstd if that shrinks them enough

	SharedDedup         bool    `toml:"keys_shared"`      // true: engines of all sites drop each other's duplicates of an idempotency key
	UnreachableAfterMS  float64 `toml:"silent_after_ms"`  // milliseconds without a reply until a peer is unreachable, 300 to 60,000
	SlowRTTMS           float64 `toml:"slow_above_ms"`    // round trip in milliseconds above which a peer is slow, 1 to 60,000
	RampDurationSeconds float64 `toml:"cold_for_s"`       // seconds over which a peer that was unreachable gets its full load again, 0 to 3,600; at least as long as engines need to warm up
	RampStart           float64 `toml:"cold_start"`       // fraction of its acceptable work that the peer is sent at the start of this time, 0.01 to 1
	HopSlackMS          float64 `toml:"slack_ms"`         // milliseconds of a query's remaining time that each hop reserves for the response, 0 to 10,000
	SpillBelow          float64 `toml:"spill_below"`      // free capacity here, as a fraction, below which queries may be forwarded, 0 to 1
	StopSpillAbove      float64 `toml:"stop_above"`       // free capacity here, as a fraction, above which forwarding stops, SpillBelow to 1
	MinPeerCapacity     float64 `toml:"take_above"`       // free capacity, as a fraction, that a peer must have, 0 to 1
	LocalReserve        float64 `toml:"reserve"`          // fraction of the capacity here that is reserved for clients of this site, 0 to 1
	ThreadsPerCore      float64 `toml:"threads_per_core"` // threads per core at which a site has no free capacity, 0.1 to 100
	DigestIntervalMS    float64 `toml:"word_every_ms"`    // milliseconds between load digests, 20 to 10,000 and at most a third of UnreachableAfterMS
	MinPriorityWeight   float64 `toml:"price"`            // priority weight below which queries are never forwarded, 0 to 1e9
	AffinityBonus       float64 `toml:"affinity"`         // additional free capacity that a peer must have if a query's tables are warm here, 0 to 1
	HedgeRatio          float64 `toml:"hedge_share"`      // limit on hedged requests per forwarded request, 0 to 1
}

// SiteKeys names the files for authentication among gateways, in PEM format. Relative paths are relative to the directory of
// the sites file.
type SiteKeys struct {
	Certificate string `toml:"certificate"` // certificate of this gateway, which names it by the URI ringwood://SITE/GATEWAY
	Key         string `toml:"key"`         // private key of this gateway
	Authority   string `toml:"authority"`   // certificate of the authority that signs the peers' certificates
	Revoked     string `toml:"revoked"`     // certificate revocation list of the authority; "" for none
}

// SitePeer is a gateway at another site.
type SitePeer struct {
	Site    string `toml:"site"`    // name of the peer's site
	Gateway string `toml:"gateway"` // name of the peer within its site
	Address string `toml:"address"` // address on which the peer listens, HOST:PORT; optional if the peer dials this gateway
}

// LoadSites reads and validates the file at path. Thresholds and durations that are left out default to remotesite.Defaults.
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

// defaultSites returns the values of keys that are left out.
func defaultSites() Sites {
	defaults := remotesite.Defaults()
	return Sites{
		UnreachableAfterMS:  milliseconds(defaults.UnreachableAfter),
		SlowRTTMS:           milliseconds(defaults.SlowRTT),
		RampDurationSeconds: defaults.RampDuration.Seconds(),
		RampStart:           defaults.RampStart,
		HopSlackMS:          milliseconds(defaults.HopSlack),
		SpillBelow:          defaults.SpillBelow,
		StopSpillAbove:      defaults.StopSpillAbove,
		MinPeerCapacity:     defaults.MinPeerCapacity,
		LocalReserve:        defaults.LocalReserve,
		ThreadsPerCore:      defaults.ThreadsPerCore,
		DigestIntervalMS:    milliseconds(defaults.DigestInterval),
		MinPriorityWeight:   defaults.MinPriorityWeight,
		AffinityBonus:       defaults.AffinityBonus,
		HedgeRatio:          defaults.HedgeRatio,
	}
}

const (
	maxSitePeers    = 256
	maxSiteNameSize = 63 // bytes

	// staleDigestIntervals is the number of digest intervals after which a site's last load digest is ignored.
	staleDigestIntervals = 8
)

// check validates the fields and resolves the paths of keys. dir is the directory of the sites file.
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

// checkPeers validates the peers. Of two gateways, the one whose SITE/GATEWAY is lower in byte order dials, so it needs the
// address of the other, which must listen.
func (s *Sites) checkPeers(c *checker) {
	c.requiref(len(s.Peers) <= maxSitePeers, "peer", "must be given at most %d times, got %d", maxSitePeers, len(s.Peers))
	own := s.Site + "/" + s.Gateway
	seen := map[string]bool{}
	for i, peer := range s.Peers {
		prefix := fmt.Sprintf("peer[%d].", i)
		checkSiteName(c, prefix+"site", peer.Site)
		checkSiteName(c, prefix+"gateway", peer.Gateway)
		c.requiref(peer.Site != s.Site, prefix+"site", "must be another site, got this gateway's own, %q", peer.Site)
		name := peer.Site + "/" + peer.Gateway
		c.requiref(!seen[name], prefix+"gateway", "must be unique, got %s twice", name)
		seen[name] = true
		switch {
		case peer.Address != "":
			c.requireAddress(prefix+"address", peer.Address)
		case own < name:
			c.addf(prefix+"address", "must be set: this gateway dials %s, as the lower name dials", name)
		case s.Listen == "":
			c.addf("listen", "must be set, as %s dials this gateway", name)
		}
	}
}

// checkSiteName records a fault unless the field is a valid name of a site or gateway.
func checkSiteName(c *checker, field, name string) {
	wellFormed := name != "" && len(name) <= maxSiteNameSize && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	c.requiref(wellFormed, field, "must be 1 to 63 lower-case letters, digits and hyphens, got %q", name)
}

// resolve prefixes relative paths with dir and records a fault for each required path that is missing.
func (k *SiteKeys) resolve(c *checker, dir string) {
	for _, required := range []struct {
		field string
		path  *string
	}{{"keys.certificate", &k.Certificate}, {"keys.key", &k.Key}, {"keys.authority", &k.Authority}} {
		if *required.path == "" {
			c.addf(required.field, "must be set to the path of a PEM file")
			continue
		}
		*required.path = resolvePath(dir, *required.path)
	}
	if k.Revoked != "" {
		k.Revoked = resolvePath(dir, k.Revoked)
	}
}

// ForwardingConfig returns the configuration of the forwarding decisions. maxAttempts limits the attempts of one request over all
// sites.
func (s *Sites) ForwardingConfig(maxAttempts int) remotesite.Config {
	digestInterval := FromMS(s.DigestIntervalMS)
	return remotesite.Config{
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
