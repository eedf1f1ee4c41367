// Package config reads the platform's configuration and settings (JSON) and the operators' deploy files (TOML). It maps their
// keys to the terms of the code, and names every fault by file, line and key.
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

// Config is the platform's configuration of one gateway process.
type Config struct {
	Name     string
	Listen   string
	Control  string // where operators call; "": nowhere
	Seed     uint64
	MemoryMB int
	Sockets  int
	Bus      string
	Offset   uint64  // of the last known event
	Known    []Event // the endpoint list's events up to now
	Site     Site

	PeerListen string   // where datagrams of other front ends arrive
	Peers      []string // an address of each front end of the tier, its own included
}

// Event is one change of the list of engines, or the complete list. EventSum encodes it, under the
// names that earlier versions gave its fields.
type Event struct {
	Complete bool          `json:"Whole"`
	Engines  []core.Engine `json:"Engines"`
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

// EventSum is a checksum of the endpoint list in the configuration. Where two processes agree on it, the events that follow
// have the same numbers.
func (c *Config) EventSum() (uint64, error) {
	b, err := json.Marshal([]any{c.Offset, c.Known})
	if err != nil {
		return 0, fmt.Errorf("configuration: known: %w", err)
	}
	return xxhash.Sum64(b), nil
}

// Load reads the file at the path. Its error lists all faults, each with its line and
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
	check := &checker{file: path, locate: func(field string) int { return jsonLine(raw, field) }}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		check.addJSONError(raw, err)
		return nil, check.err()
	}
	c := &Config{
		Name:       f.Name,
		Listen:     f.Listen,
		Control:    f.Control,
		MemoryMB:   int(f.Limits.MemoryMB),
		Sockets:    int(f.Limits.Sockets),
		Bus:        f.Bus,
		Offset:     f.Known.Offset,
		PeerListen: f.PeerListen,
		Peers:      f.Peers,
	}
	f.checkAddresses(check)
	c.readSeed(check, f.Seed)
	c.readKnownEvents(check, &f)
	if f.Settings == nil {
		check.addf("settings", "missing")
		return nil, check.err()
	}
	c.Site = *f.Settings
	check.requiref(c.Site.Policy.Gateways >= 1, "settings.balancers", "not at least 1")
	check.requiref(len(c.Site.Policy.Classes) > 0, "settings.classes", "none")
	if err := check.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// addJSONError adds the fault that stopped the decoder.
func (c *checker) addJSONError(raw []byte, err error) {
	field, problem := splitFieldError(err)
	inSettings := jsonLine(raw, "settings."+field) > jsonLine(raw, "settings")
	if field != "" && inSettings {
		field = "settings." + field
	}
	c.addf(field, "%s", problem)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		end := min(int(syntax.Offset), len(raw))
		c.faults[0].Line = 1 + bytes.Count(raw[:end], []byte("\n"))
	}
}

// checkAddresses checks those that are there: the PostgreSQL frontend needs none of them.
func (f *file) checkAddresses(c *checker) {
	for _, a := range []struct{ field, address string }{
		{"listen", f.Listen}, {"bus", f.Bus}, {"control", f.Control}, {"peer_listen", f.PeerListen},
	} {
		if a.address != "" {
			c.requireAddress(a.field, a.address)
		}
	}
	for i, peer := range f.Peers {
		c.requireAddress(fmt.Sprintf("peers[%d]", i), peer)
	}
}

func (c *Config) readSeed(check *checker, text string) {
	if text == "" {
		return
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	check.requiref(err == nil, "seed", "%q is not a number of up to 16 hex digits", text)
	c.Seed = seed
}

func (c *Config) readKnownEvents(check *checker, f *file) {
	for i, batch := range f.Known.Batch {
		event := Event{Complete: batch.Topology.All}
		for j, target := range batch.Topology.Targets {
			prefix := fmt.Sprintf("known.batch[%d].topology.targets[%d].", i, j)
			event.Engines = append(event.Engines, target.engine(check, prefix))
		}
		c.Offset = max(c.Offset, batch.Offset)
		c.Known = append(c.Known, event)
	}
}

// CheckSettings returns what is wrong with a file that holds the settings object alone.
func CheckSettings(path string, raw []byte) error {
	c := &checker{file: path}
	var s Site
	if !c.settings(raw, &s) {
		return c.err()
	}
	c.requiref(len(s.Policy.Classes) > 0, "classes", "none")
	return c.err()
}

// settings reads the settings object, and names the field at fault. It reports whether the object could be read.
func (c *checker) settings(raw []byte, s *Site) bool {
	c.locate = func(field string) int { return jsonLine(raw, field) }
	err := json.Unmarshal(raw, s)
	if err == nil {
		return true
	}
	field, problem := splitFieldError(err)
	c.addf(field, "%s", problem)
	return false
}

// splitFieldError splits an error of the JSON decoder, or of Site's own, into the field that it names and the problem.
func splitFieldError(err error) (field, problem string) {
	text := fieldError(err).Error()
	field, problem, ok := strings.Cut(text, ": ")
	if !ok || strings.Contains(field, " ") {
		return "", text
	}
	return field, problem
}

// checkAddress returns what is wrong with an address of the form HOST:PORT.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is no number up to 65535", address)
	}
	return nil
}

func (t *target) engine(check *checker, prefix string) core.Engine {
	state, known := states[t.State]
	check.requiref(known, prefix+"state", "unknown value %q", t.State)
	check.requiref(t.UID != "", prefix+"uid", "missing")
	check.requireAddress(prefix+"endpoint", t.Endpoint)
	e := core.Engine{Addr: t.Endpoint, Engine: policy.Engine{
		ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.Group, State: state,
	}}
	e.Started, e.StartKnown = started(t.Boot)
	return e
}

// started returns the instant of a Unix millisecond, and whether it is known: 0 stands for long ago. Time in the policy counts
// from the same origin.
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
