package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	decide "gannetspur/internal/decide/remotesite"
)

// Sites says which gateways at other sites this one works with: a file of its own, for both
// fronts. It is for installations with several sites and a link between them.
type Sites struct {
	Site    string // where this gateway is
	Gateway string // its name there
	Listen  string // where gateways of other sites connect; "": it only dials
	Admin   string // the socket that operators speak to, where no file of upgrades names one; "": none
	Keys    SiteKeys
	Peers   []SitePeer `toml:"peer"`
	Pack    bool       // bodies are packed by zstd where that pays

	KeysShared    bool    `toml:"keys_shared"`      // engines of all sites drop each other's repeats of a key
	SilentAfterMS float64 `toml:"silent_after_ms"`  // 300 to 60,000
	SlowAboveMS   float64 `toml:"slow_above_ms"`    // 1 to 60,000
	ColdForS      float64 `toml:"cold_for_s"`       // 0 to 3,600
	ColdStart     float64 `toml:"cold_start"`       // 0.01 to 1
	SlackMS       float64 `toml:"slack_ms"`         // 0 to 10,000
	SpillBelow    float64 `toml:"spill_below"`      // 0 to 1
	StopAbove     float64 `toml:"stop_above"`       // spill_below to 1
	TakeAbove     float64 `toml:"take_above"`       // 0 to 1
	Reserve       float64 `toml:"reserve"`          // 0 to 1
	Threads       float64 `toml:"threads_per_core"` // 0.1 to 100
	WordEveryMS   float64 `toml:"word_every_ms"`    // 20 to 10,000, a third of silent_after_ms at most
	Price         float64 `toml:"price"`            // 0 or above, in the classes' worth
	Affinity      float64 `toml:"affinity"`         // 0 to 1
	HedgeShare    float64 `toml:"hedge_share"`      // 0 to 1
}

// SiteKeys are files in PEM; relative names count from this file's folder.
type SiteKeys struct {
	Certificate string // of this gateway, which names it by the URI ringwood://SITE/GATEWAY
	Key         string
	Authority   string // that peers' certificates are signed by
	Revoked     string // the authority's list of revoked certificates; "": none
}

// SitePeer is a gateway at another site.
type SitePeer struct {
	Site    string
	Gateway string
	Address string // where it listens; it may be left out where it dials this one
}

// LoadSites reads the file. What it leaves out is as decide/site's Defaults say.
func LoadSites(path string) (*Sites, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	d := decide.Defaults()
	ms := func(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
	s := Sites{
		SilentAfterMS: ms(d.UnreachableAfter), SlowAboveMS: ms(d.SlowRTT), ColdForS: d.RampDuration.Seconds(), ColdStart: d.RampStart, SlackMS: ms(d.HopSlack),
		SpillBelow: d.SpillBelow, StopAbove: d.StopSpillAbove, TakeAbove: d.MinPeerCapacity, Reserve: d.LocalReserve, Threads: d.ThreadsPerCore,
		WordEveryMS: ms(d.DigestInterval), Price: d.MinPriorityWeight, Affinity: d.AffinityBonus, HedgeShare: d.HedgeRatio,
	}
	c := &checker{file: path}
	if decodeTOML(c, raw, &s) {
		s.check(c, filepath.Dir(path))
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// mostSites bounds the peers of one gateway.
const mostSites = 256

func (s *Sites) check(c *checker, dir string) {
	name := func(field, v string) {
		c.must(v != "" && len(v) <= 63 && strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == "", field,
			"%q is no name of 1 to 63 small letters, digits and hyphens", v)
	}
	name("site", s.Site)
	name("gateway", s.Gateway)
	if s.Listen != "" {
		c.address("listen", s.Listen)
	}
	c.must(len(s.Peers) <= mostSites, "peer", "%d are too many, %d are the most", len(s.Peers), mostSites)
	own, seen := s.Site+"/"+s.Gateway, map[string]bool{}
	for i, p := range s.Peers {
		at := func(field string) string { return fmt.Sprintf("peer[%d].%s", i, field) }
		name(at("site"), p.Site)
		name(at("gateway"), p.Gateway)
		c.must(p.Site != s.Site, at("site"), "%q is this gateway's own site", p.Site)
		n := p.Site + "/" + p.Gateway
		c.must(!seen[n], at("gateway"), "%s is named twice", n)
		seen[n] = true
		switch {
		case p.Address != "":
			c.address(at("address"), p.Address)
		case own < n: // of two gateways the one dials whose name comes first
			c.add(at("address"), "missing; this gateway dials %s, whose name comes later", n)
		case s.Listen == "":
			c.add("listen", "missing; %s dials this gateway", n)
		}
	}
	for _, k := range []struct {
		field string
		file  *string
	}{{"keys.certificate", &s.Keys.Certificate}, {"keys.key", &s.Keys.Key}, {"keys.authority", &s.Keys.Authority}, {"keys.revoked", &s.Keys.Revoked}} {
		switch {
		case *k.file == "" && k.field == "keys.revoked":
			continue
		case *k.file == "":
			c.add(k.field, "missing; wanted is a file in PEM")
			continue
		}
		*k.file = beside(dir, *k.file)
	}
	for _, f := range []struct {
		name        string
		v, low, top float64
	}{
		{"silent_after_ms", s.SilentAfterMS, 300, 60000}, {"slow_above_ms", s.SlowAboveMS, 1, 60000}, {"cold_for_s", s.ColdForS, 0, 3600},
		{"cold_start", s.ColdStart, 0.01, 1}, {"slack_ms", s.SlackMS, 0, 10000}, {"spill_below", s.SpillBelow, 0, 1},
		{"stop_above", s.StopAbove, s.SpillBelow, 1}, {"take_above", s.TakeAbove, 0, 1}, {"reserve", s.Reserve, 0, 1},
		{"threads_per_core", s.Threads, 0.1, 100}, {"word_every_ms", s.WordEveryMS, 20, min(10000, s.SilentAfterMS/3)}, {"price", s.Price, 0, 1e9},
		{"affinity", s.Affinity, 0, 1}, {"hedge_share", s.HedgeShare, 0, 1},
	} {
		c.must(f.v >= f.low && f.v <= f.top, f.name, "%g is not from %g to %g", f.v, f.low, f.top)
	}
}

// Decide is what the decisions take of it. tries are the sends of one query over all sites.
func (s *Sites) Decide(tries int) decide.Config {
	word := FromMS(s.WordEveryMS)
	return decide.Config{
		UnreachableAfter: FromMS(s.SilentAfterMS), SlowRTT: FromMS(s.SlowAboveMS), RampDuration: FromMS(1000 * s.ColdForS), RampStart: s.ColdStart, HopSlack: FromMS(s.SlackMS),
		SpillBelow: s.SpillBelow, StopSpillAbove: s.StopAbove, MinPeerCapacity: s.TakeAbove, LocalReserve: s.Reserve, ThreadsPerCore: s.Threads,
		DigestMaxAge: 8 * word, DigestInterval: word, MaxAttempts: max(tries, 1), MinPriorityWeight: s.Price, AffinityBonus: s.Affinity, HedgeRatio: s.HedgeShare, SharedDedup: s.KeysShared,
	}
}
