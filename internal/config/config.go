// Package config reads what a front end is told: its configuration as JSON, with
// the settings that the adapter reads too, and the deploy file of the second front.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

// Config is what one front end is told at its start.
type Config struct {
	Name     string
	Listen   string
	Seed     uint64
	MemoryMB int
	Sockets  int
	Bus      string
	Offset   uint64  // of the last known event
	Known    []Event // the roster's events up to now
	Site     Site
}

// Event is one change of the list of engines, or the whole of it.
type Event struct {
	Whole   bool
	Engines []core.Engine
}

type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Bus   string `json:"bus"`
	Known struct {
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
	"in_service": policy.EngineLive, "terminating": policy.EngineDraining, "terminated": policy.EngineGone,
}

// Load reads the file at the path. Its errors name the field at fault.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration.
func Parse(raw []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fieldError(err)
	}
	if f.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	for _, a := range []struct{ name, addr string }{{"listen", f.Listen}, {"bus", f.Bus}} {
		if a.addr == "" { // the second front needs neither
			continue
		}
		if err := checkAddr(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets),
		Bus: f.Bus, Offset: f.Known.Offset, Site: *f.Settings,
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
		}
		c.Seed = seed
	}
	for i, b := range f.Known.Batch {
		ev := Event{Whole: b.Topology.All}
		for j, t := range b.Topology.Targets {
			e, err := t.engine()
			if err != nil {
				return nil, fmt.Errorf("known.batch[%d].topology.targets[%d].%w", i, j, err)
			}
			ev.Engines = append(ev.Engines, e)
		}
		c.Offset = max(c.Offset, b.Offset)
		c.Known = append(c.Known, ev)
	}
	if c.Site.Policy.Gateways < 1 {
		return nil, errors.New("settings.balancers: not at least 1")
	}
	if len(c.Site.Policy.Classes) == 0 {
		return nil, errors.New("settings.classes: none")
	}
	return c, nil
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

func (t *target) engine() (core.Engine, error) {
	state, ok := states[t.State]
	if !ok {
		return core.Engine{}, fmt.Errorf("state: unknown value %q", t.State)
	}
	if t.UID == "" {
		return core.Engine{}, errors.New("uid: missing")
	}
	if err := checkAddr(t.Endpoint); err != nil {
		return core.Engine{}, fmt.Errorf("endpoint: %w", err)
	}
	e := core.Engine{Addr: t.Endpoint, Engine: policy.Engine{
		ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.Group, State: state,
	}}
	e.Started, e.Fresh = started(t.Boot)
	return e, nil
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
