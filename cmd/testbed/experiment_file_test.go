package main

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestExperimentFiles reads every experiment file in the repository: none has an unknown key or a value out of range.
func TestExperimentFiles(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found no experiment files in ../../experiments (error: %v)", err)
	}
	readers := map[string]func(path string) error{
		"upgrades": func(path string) error { _, err := readExperiment(path); return err },
		"service":  func(path string) error { _, err := readService(path); return err },
		"fleet":    func(path string) error { _, err := readFleet(path); return err },
		"growth":   func(path string) error { _, err := readGrowth(path); return err },
		"members":  func(path string) error { _, err := readMembers(path); return err },
		"tier":     func(path string) error { _, err := readCluster(path); return err },
		"sites":    func(path string) error { _, err := readSites(path); return err },
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var header struct{ Kind string }
			if _, err := toml.DecodeFile(path, &header); err != nil {
				t.Fatal(err)
			}
			read := readers[header.Kind]
			if read == nil {
				t.Fatalf("kind %q has no reader", header.Kind)
			}
			if err := read(path); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestExperimentKeys guards the keys of experiment files whose struct fields have other names: a renamed
// field must not rename its key.
func TestExperimentKeys(t *testing.T) {
	decode := func(text string, into any) {
		t.Helper()
		meta, err := toml.Decode(text, into)
		if err != nil {
			t.Fatal(err)
		}
		if left := meta.Undecoded(); len(left) > 0 {
			t.Fatalf("keys not decoded into any field: %v", left)
		}
	}
	check := func(name string, got, want any) {
		t.Helper()
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s = %v, want %v", name, got, want)
		}
	}
	var upgrade upgradeExperiment
	decode("good = 3\nbroken = [\"x\"]", &upgrade)
	check("good", upgrade.ValidUpgrades, 3)
	check("broken", upgrade.FaultyKinds, []string{"x"})

	var service serviceExperiment
	decode("ways = [\"x\"]\nat_once = 4", &service)
	check("ways of service", service.Operations, []string{"x"})
	check("at_once of service", service.Parallel, 4)

	var fleet fleetExperiment
	decode("ways = [\"x\"]\ntold_after_ms = 5.0", &fleet)
	check("ways of fleet", fleet.Strategies, []string{"x"})
	check("told_after_ms", fleet.NotifiedAfterMS, 5.0)

	var sites sitesExperiment
	decode("ways = [\"x\"]\nat_once = 6", &sites)
	check("ways of sites", sites.Strategies, []string{"x"})
	check("at_once of sites", sites.Parallel, 6)

	var members membersExperiment
	decode("[[play]]\nways = [\"x\"]\nmost = 0.5", &members)
	check("ways of members", members.Plays[0].Protocols, []string{"x"})
	check("most", members.Plays[0].FinalCrashShare, 0.5)

	var cluster clusterExperiment
	decode("[[play]]\n[[play.fault]]\nback = true\nshare = 0.25", &cluster)
	check("back", cluster.Plays[0].Faults[0].BothDirections, true)
	check("share", cluster.Plays[0].Faults[0].DroppedShare, 0.25)
}
