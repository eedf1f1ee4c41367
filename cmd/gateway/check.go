package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"gannetspur/internal/config"
)

// The first field of a file of sites, of one of upgrades, and of a fleet's.
var (
	peersField = regexp.MustCompile(`(?m)^peers *=`)
	siteField  = regexp.MustCompile(`(?m)^site *=`)
	adminField = regexp.MustCompile(`(?m)^admin *=`)
)

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Settings (JSON), deploy files of the PostgreSQL front, or files of shapes, upgrades, sites or a fleet (TOML)."`
}

// Run names every fault of every file in one pass.
func (c *checkCommand) Run() error {
	total := 0
	for _, path := range c.Files {
		faults := config.FaultsOf(checkFile(path))
		for _, f := range faults {
			fmt.Println(f.Error())
		}
		if len(faults) == 0 {
			fmt.Printf("%s: good\n", path)
		}
		total += len(faults)
	}
	if total > 0 {
		fmt.Printf("%d faults\n", total)
		return errReported
	}
	return nil
}

// checkFile reads a file as the kind that it looks like.
//
// JSON with "settings" is a platform configuration, other JSON the settings object alone. TOML with "peers" is a fleet's file,
// with "site" a file of sites, with "admin" one of upgrades, with an address to listen at or a Consul to poll a deploy file of
// the PostgreSQL frontend, and other TOML a file of shapes.
func checkFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return config.Fault{File: path, Want: err.Error()}
	}
	switch {
	case filepath.Ext(path) == ".json" && bytes.Contains(raw, []byte(`"settings"`)):
		_, err = config.Load(path)
	case filepath.Ext(path) == ".json":
		err = config.CheckSettings(path, raw)
	case filepath.Ext(path) == ".toml" && peersField.Match(raw):
		_, err = config.LoadFleet(path)
	case filepath.Ext(path) == ".toml" && siteField.Match(raw):
		_, err = config.LoadSites(path)
	case filepath.Ext(path) == ".toml" && adminField.Match(raw):
		_, err = config.LoadUpgrade(path)
	case bytes.Contains(raw, []byte("listen")) || bytes.Contains(raw, []byte("[consul]")):
		_, err = config.LoadPostgres(path)
	case filepath.Ext(path) == ".toml":
		_, err = config.LoadShapes(path)
	default:
		err = config.Fault{File: path, Want: "no .json and no .toml: what it is can't be told"}
	}
	return err
}
