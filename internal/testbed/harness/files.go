package harness

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	// spareSockets is the number of sockets allowed beyond the two that each client needs.
	spareSockets = 1024
	// spareClients is the number of clients that the PostgreSQL frontend accepts beyond
	// Options.Clients.
	spareClients = 256
)

// target is the entry of one engine in the platform configuration.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	State    string `json:"state"`
}

// writeFiles writes the configuration of both frontends, given the addresses of the event bus
// and of the Consul agent.
func (h *Harness) writeFiles(opts Options, bus, agent string) error {
	if err := h.writePlatformConfig(opts, bus); err != nil {
		return err
	}
	for _, name := range []string{"postgres.toml", "postgres-settings.json", "shapes.toml"} {
		if err := writeDeployFile(opts, name, agent); err != nil {
			return err
		}
	}
	return nil
}

// writePlatformConfig writes the HTTP frontend's configuration file, based on the one in
// examples/toy.
func (h *Harness) writePlatformConfig(opts Options, bus string) error {
	raw, err := os.ReadFile(filepath.Join(opts.Root, "examples/toy/config.json"))
	if err != nil {
		return fmt.Errorf("cannot read the example configuration; run this from the repository's root: %w", err)
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	var targets []target
	for _, m := range h.Lines.Members() {
		targets = append(targets, target{UID: m.ID, Endpoint: m.Addr.String(), AZ: cmp.Or(m.Zone.Name, "hall-a"), Model: "std-8", State: "in_service"})
	}
	config["listen"] = opts.HTTP
	config["bus"] = bus
	config["known"] = map[string]any{"offset": 1, "batch": []any{
		map[string]any{"offset": 1, "topology": map[string]any{"rev": 1, "all": true, "targets": targets}},
	}}
	if opts.Clients > 0 {
		config["limits"] = map[string]any{"cores": 1, "memory_mb": 1024, "sockets": 2*opts.Clients + spareSockets}
	}
	if opts.MemoryMB > 0 {
		config["limits"] = map[string]any{"cores": 1, "memory_mb": opts.MemoryMB, "sockets": opts.Sockets}
	}
	raw, err = json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	if err := os.WriteFile(h.Config, raw, 0o600); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}

// writeDeployFile writes one of the PostgreSQL frontend's files, based on the one in deploy/.
func writeDeployFile(opts Options, name, agent string) error {
	raw, err := os.ReadFile(filepath.Join(opts.Root, "deploy", name))
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	text := string(raw)
	replace := func(old, replacement string) { text = strings.Replace(text, old, replacement, 1) }
	replace(`"127.0.0.1:5433"`, fmt.Sprintf("%q", opts.Postgres))
	replace(`"127.0.0.1:8500"`, fmt.Sprintf("%q", agent))
	if opts.Clients > 0 {
		replace("memory_mb = 192", "memory_mb = 1024")
		replace("sockets = 1024", fmt.Sprintf("sockets = %d", 2*opts.Clients+spareSockets))
		replace("most_clients = 300", fmt.Sprintf("most_clients = %d", opts.Clients+spareClients))
	}
	if opts.MemoryMB > 0 {
		replace("memory_mb = 192", fmt.Sprintf("memory_mb = %d", opts.MemoryMB))
		replace("sockets = 1024", fmt.Sprintf("sockets = %d", opts.Sockets))
	}
	if opts.Shapes {
		replace("enabled = false", "enabled = true")
	}
	if err := os.WriteFile(filepath.Join(opts.Dir, name), []byte(text), 0o600); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}
