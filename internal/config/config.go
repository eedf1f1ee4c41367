// Package config reads what a front end is told: its configuration as JSON, with
// the settings that the adapter reads too, and the deploy file of the second front.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"

	"github.com/cespare/xxhash/v2"
)

// Config is what one front end is told at its start.
type Config struct {
	Name     string
	Listen   string
	Control  string // where operators call; "": nowhere
	Seed     uint64
	MemoryMB int
	Sockets  int
	Bus      string
	Offset   uint64  // of the last known event
	Known    []Event // the roster's events up to now
	Site     Site

	PeerListen string   // where words of other front ends come
	Peers      []string // an address of each front end of the tier, its own included
}

// Event is one change of the list of engines, or the whole of it.
type Event struct {
	Whole   bool
	Engines []core.Engine
}

type file struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Control string `json:"control"`
	Seed    string `json:"seed"`
	Limits  struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Bus        string   `json:"bus"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	Known      struct {
		Offset uint64 `json:"offset"`
		Batch  []struct {
			Offset   uint64 `json:"offset"`
			Topology struct {
				All     bool     `json:"all"`
				Targets []target `json:"targets"`
			} `json:"topology"`
		} `json:"batch"`
	} `json:"known"`
	Settings *Site `json:"settings"`
}

type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	Group    int64   `json:"pod_group"`
	State    string  `json:"state"`
	Boot     float64 `json:"boot_ms"`
}

var states = map[string]policy.EngineState{
	"in_service": policy.EngineLive, "terminating": policy.EngineDraining, "terminated": policy.EngineDeparted,
}

// EventSum is a sum of what the configuration tells of the roster: where two agree, the events
// that follow have the same numbers.
func (c *Config) EventSum() (uint64, error) {
	b, err := json.Marshal([]any{c.Offset, c.Known})
	if err != nil {
		return 0, fmt.Errorf("configuration: known: %w", err)
	}
	return xxhash.Sum64(b), nil
}

// Load reads the file at the path. Its error tells of all faults, each with its line and
// field (see FaultsOf).
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parse(raw, path)
}

// Parse reads a configuration.
func Parse(raw []byte) (*Config, error) { return parse(raw, "configuration") }

func parse(raw []byte, path string) (*Config, error) {
	k := &checker{file: path, locate: func(field string) int { return jsonLine(raw, field) }}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		field, what := splitField(err)
		if line := jsonLine(raw, "settings."+field); field != "" && line > jsonLine(raw, "settings") {
			field = "settings." + field
		}
		k.add(field, "%s", what)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			k.faults[0].Line = 1 + bytes.Count(raw[:min(int(syntax.Offset), len(raw))], []byte("\n"))
		}
		return nil, k.err()
	}
	for _, a := range []struct{ name, addr string }{{"listen", f.Listen}, {"bus", f.Bus}, {"control", f.Control}} {
		if a.addr != "" { // the second front needs none
			k.address(a.name, a.addr)
		}
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Control: f.Control, MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets),
		Bus: f.Bus, Offset: f.Known.Offset, PeerListen: f.PeerListen, Peers: f.Peers,
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		k.must(err == nil, "seed", "%q is not a number of up to 16 hex digits", f.Seed)
		c.Seed = seed
	}
	for i, b := range f.Known.Batch {
		ev := Event{Whole: b.Topology.All}
		for j, t := range b.Topology.Targets {
			ev.Engines = append(ev.Engines, t.engine(k, fmt.Sprintf("known.batch[%d].topology.targets[%d].", i, j)))
		}
		c.Offset = max(c.Offset, b.Offset)
		c.Known = append(c.Known, ev)
	}
	if f.Settings == nil {
		k.add("settings", "missing")
		return nil, k.err()
	}
	c.Site = *f.Settings
	if f.PeerListen != "" {
		k.address("peer_listen", f.PeerListen)
	}
	for i, p := range f.Peers {
		k.address(fmt.Sprintf("peers[%d]", i), p)
	}
	k.must(c.Site.Policy.Gateways >= 1, "settings.balancers", "not at least 1")
	k.must(len(c.Site.Policy.Classes) > 0, "settings.classes", "none")
	if err := k.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// CheckSettings tells what is wrong with a file that holds the settings object alone.
func CheckSettings(path string, raw []byte) error {
	c := &checker{file: path}
	var s Site
	if !c.settings(raw, &s) {
		return c.err()
	}
	c.must(len(s.Policy.Classes) > 0, "classes", "none")
	return c.err()
}

// settings reads the settings object, and names the field at fault.
func (c *checker) settings(raw []byte, s *Site) bool {
	c.locate = func(field string) int { return jsonLine(raw, field) }
	err := json.Unmarshal(raw, s)
	if err == nil {
		return true
	}
	field, what := splitField(err)
	c.add(field, "%s", what)
	return false
}

// splitField parts the field that an error of JSON names from what is wrong with it.
func splitField(err error) (field, what string) {
	text := fieldError(err).Error()
	field, what, ok := strings.Cut(text, ": ")
	if !ok || strings.Contains(field, " ") {
		return "", text
	}
	return field, what
}

// checkAddr tells what is wrong with an address of the form host:port.
func checkAddr(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is no number up to 65535", addr)
	}
	return nil
}

func (t *target) engine(k *checker, at string) core.Engine {
	state, ok := states[t.State]
	k.must(ok, at+"state", "unknown value %q", t.State)
	k.must(t.UID != "", at+"uid", "missing")
	k.address(at+"endpoint", t.Endpoint)
	e := core.Engine{Addr: t.Endpoint, Engine: policy.Engine{
		ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.Group, State: state,
	}}
	e.Started, e.StartKnown = started(t.Boot)
	return e
}

// started reads a Unix millisecond, 0 for long ago. Module time counts from the
// same origin.
func started(ms float64) (time.Duration, bool) {
	if ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func fieldError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("%s: a %s does not fit", t.Field, t.Value)
	}
	return err
}
