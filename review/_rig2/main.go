// Command rig plays a case of the review: rig CASE FOLDER. It writes FOLDER/record.txt and exits with status 1 if the
// rule was broken, 0 if it held, and 2 if the case could not be played. With TROUBLE=0 in the environment it plays the
// same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases play a case and return what broke the rule.
var cases = map[string]func(*rig) []string{
	"zones":    playZones,
	"literals": playLiterals,
	"crowd":    playCrowd,
	"slow":     playSlow,
	"finish":   playFinish,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*rig) []string, folder string) (status int) {
	root, _ := os.Getwd()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	r := &rig{dir: dir, root: root, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	defer func() {
		if p := recover(); p != nil {
			why, ok := p.(cannotRun)
			if !ok {
				r.stop()
				panic(p)
			}
			r.logf("could not run: %s", why.why)
			fmt.Println("could not run:", why.why)
			status = 2
		}
		if keep := os.Getenv("RIG_LOGS"); keep != "" { // the gateways' logs, for a reader
			logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
			for _, l := range logs {
				b, _ := os.ReadFile(l)
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(l)), b, 0o600)
			}
		}
		r.stop()
	}()
	broken := run(r)
	for _, b := range broken {
		r.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
