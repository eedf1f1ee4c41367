// Package config reads and validates the platform's configuration and settings (JSON) and the operators' deploy files (TOML).
// Each fault names its file, line and key.
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

// Config is the platform's configuration of one gateway process. Addresses have the form HOST:PORT.
type Config struct {
	Name           string  // name of this gateway
	Listen         string  // address on which clients connect
	Control        string  // address of the control API for operators; "" disables it
	Seed           uint64  // seed of the random number generator
	MemoryMB       int     // memory limit in MB; with 0 there is none, and buffers are sized for the gateway's default
	MaxDescriptors int     // limit on open file descriptors; with 0 there is none, and the limit on clients follows from the gateway's default
	BusAddress     string  // address of the event bus
	LastEvent      uint64  // number of the last known event; 0 if there is none
	KnownEvents    []Event // events from which the initial endpoint list is built, in order
	Site           Site    // settings of the deployment

	PeerListen string   // address on which datagrams of other front ends arrive
	Peers      []string // addresses of all front ends of the tier, including this one
}

// Event is one change to the endpoint list, or the complete list. Config.EventChecksum encodes it under the field names that
// earlier versions used, so that checksums of different versions can be compared.
type Event struct {
	Complete bool          `json:"Whole"`   // Engines is the complete list and replaces the one before
	Engines  []core.Engine `json:"Engines"` // all engines of a complete list, otherwise those that changed
}

// configFile is the configuration as the platform writes it.
type configFile struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Control string `json:"control"`
	Seed    string `json:"seed"` // hexadecimal
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
				All     bool     `json:"all"` // the targets are the complete list
				Targets []target `json:"targets"`
			} `json:"topology"`
		} `json:"batch"`
	} `json:"known"`
	Settings *Site `json:"settings"`
}

// target is one engine in the configuration's list of known endpoints.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // HOST:PORT
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int64   `json:"pod_group"`
	State    string  `json:"state"`   // a key of engineStates
	BootMS   float64 `json:"boot_ms"` // start of the engine in milliseconds of Unix time; 0 if unknown
}

// engineStates maps the values of a target's state.
var engineStates = map[string]policy.EngineState{
	"in_service": policy.EngineLive, "terminating": policy.EngineDraining, "terminated": policy.EngineDeparted,
}

// EventChecksum returns a checksum of the known events and of the number of the last one. If it is equal in two processes, the
// events that follow have the same numbers in both.
func (c *Config) EventChecksum() (uint64, error) {
	b, err := json.Marshal([]any{c.LastEvent, c.KnownEvents})
	if err != nil {
		return 0, fmt.Errorf("configuration: known: %w", err)
	}
	return xxhash.Sum64(b), nil
}

// Load reads and validates the configuration file at path. Its error holds all faults, each with its line and field (see
// FaultsOf).
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parse(raw, path)
}

// Parse validates a configuration that is held in memory. Its faults have "configuration" in place of a file name.
func Parse(raw []byte) (*Config, error) { return parse(raw, "configuration") }

// parse validates a configuration. The path is used in faults.
func parse(raw []byte, path string) (*Config, error) {
	check := &checker{file: path, locate: func(field string) int { return jsonLine(raw, field) }}
	var f configFile
	if err := json.Unmarshal(raw, &f); err != nil {
		check.addJSONError(raw, err)
		return nil, check.err()
	}
	c := &Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Control:        f.Control,
		MemoryMB:       int(f.Limits.MemoryMB),
		MaxDescriptors: int(f.Limits.Sockets),
		BusAddress:     f.Bus,
		LastEvent:      f.Known.Offset,
		PeerListen:     f.PeerListen,
		Peers:          f.Peers,
	}
	f.checkAddresses(check)
	c.readSeed(check, f.Seed)
	c.readKnownEvents(check, &f)
	if f.Settings == nil {
		check.addf("settings", "must be set to the settings object")
		return nil, check.err()
	}
	c.Site = *f.Settings
	check.requiref(c.Site.Policy.Gateways >= 1, "settings.balancers", "must be at least 1, got %d", c.Site.Policy.Gateways)
	check.requiref(len(c.Site.Policy.Classes) > 0, "settings.classes", "must list at least one class")
	if err := check.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// addJSONError records the error that stopped the JSON decoder as the first fault. The decoder of the settings object names
// fields relative to that object, so a field that is found there gets the prefix "settings.". A syntax error names no field
// and is located by its offset.
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

// checkAddresses validates the addresses that are set. None is required, as the PostgreSQL frontend works without them.
func (f *configFile) checkAddresses(c *checker) {
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

// readSeed sets the seed from its hexadecimal text. An empty text leaves it 0.
func (c *Config) readSeed(check *checker, text string) {
	if text == "" {
		return
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	check.requiref(err == nil, "seed", "must be a hexadecimal number of up to 16 digits, got %q", text)
	c.Seed = seed
}

// readKnownEvents sets the known events and the number of the last one.
func (c *Config) readKnownEvents(check *checker, f *configFile) {
	for i, batch := range f.Known.Batch {
		event := Event{Complete: batch.Topology.All}
		for j, target := range batch.Topology.Targets {
			prefix := fmt.Sprintf("known.batch[%d].topology.targets[%d].", i, j)
			event.Engines = append(event.Engines, target.engine(check, prefix))
		}
		c.LastEvent = max(c.LastEvent, batch.Offset)
		c.KnownEvents = append(c.KnownEvents, event)
	}
}

// CheckSettings validates a file that holds only the settings object. The path is used in faults and not opened.
func CheckSettings(path string, raw []byte) error {
	c := &checker{file: path}
	var s Site
	if !c.decodeSettings(raw, &s) {
		return c.err()
	}
	c.requiref(len(s.Policy.Classes) > 0, "classes", "must list at least one class")
	return c.err()
}

// decodeSettings decodes the settings object and records the fault of the first invalid field. It reports whether the
// object could be decoded.
func (c *checker) decodeSettings(raw []byte, s *Site) bool {
	c.locate = func(field string) int { return jsonLine(raw, field) }
	err := json.Unmarshal(raw, s)
	if err == nil {
		return true
	}
	field, problem := splitFieldError(err)
	c.addf(field, "%s", problem)
	return false
}

// splitFieldError splits an error of the JSON decoder, or of Site.UnmarshalJSON, into the field that it names and the
// problem. The field is "" if the error names none.
func splitFieldError(err error) (field, problem string) {
	text := fieldError(err).Error()
	field, problem, ok := strings.Cut(text, ": ")
	if !ok || strings.Contains(field, " ") {
		return "", text
	}
	return field, problem
}

// checkAddress returns an error unless the address has the form HOST:PORT with a numeric port.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port must be a number between 0 and 65535", address)
	}
	return nil
}

// engine validates a target and converts it. The prefix is the path of the target, for faults.
func (t *target) engine(check *checker, prefix string) core.Engine {
	state, known := engineStates[t.State]
	check.requiref(known, prefix+"state", `must be "in_service", "terminating" or "terminated", got %q`, t.State)
	check.requiref(t.UID != "", prefix+"uid", "must be set")
	check.requireAddress(prefix+"endpoint", t.Endpoint)
	e := core.Engine{Addr: t.Endpoint, Engine: policy.Engine{
		ID: t.UID, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell, State: state,
	}}
	e.Started, e.StartKnown = startTime(t.BootMS)
	return e
}

// startTime converts the start of an engine from milliseconds of Unix time to the policy's time, which counts from the same
// origin, and reports whether the start is known. 0 and below stand for a start that is unknown, but long ago.
func startTime(ms float64) (time.Duration, bool) {
	if ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// fieldError rewords a type error of the JSON decoder as FIELD: PROBLEM. Other errors are returned as they are.
func fieldError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("%s: a %s does not fit", typeErr.Field, typeErr.Value)
	}
	return err
}
