package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"gannetspur/internal/config"
)

// Each pattern matches the field by which checkFile recognizes a kind of TOML file. Sites and fleet files may contain admin
// too, so that checkFile tests adminField last.
var (
	peersField = regexp.MustCompile(`(?m)^peers *=`) // fleet file
	siteField  = regexp.MustCompile(`(?m)^site *=`)  // sites file
	adminField = regexp.MustCompile(`(?m)^admin *=`) // upgrade file
)

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Files to check: platform configuration or settings (JSON); PostgreSQL deploy, shapes, upgrade, sites or fleet files (TOML)."`
}

// Run prints every fault of every file in one pass. The command fails if there is any.
func (c *checkCommand) Run() error {
	total := 0
	for _, path := range c.Files {
		faults := config.FaultsOf(checkFile(path))
		for _, f := range faults {
			fmt.Println(f.Error())
		}
		if len(faults) == 0 {
			fmt.Printf("%s: OK\n", path)
		}
		total += len(faults)
	}
	if total > 0 {
		fmt.Printf("errors found: %d\n", total)
		return errReported
	}
	return nil
}

// checkFile guesses the kind of a file from its extension and fields, loads it as that kind and returns the faults.
//
// JSON that contains "settings" is a platform configuration; other JSON is the settings object alone. The first rule that
// fits decides about all other files: TOML with the field "peers" is a fleet file, with "site" a sites file, and with
// "admin" an upgrade file; any file that contains "listen" or "[consul]" is a deploy file of the PostgreSQL front end; other
// TOML is a shapes file.
func checkFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return config.Fault{File: path, Problem: err.Error()}
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
		err = config.Fault{File: path, Problem: "unknown file type: the name ends in neither .json nor .toml"}
	}
	return err
}
