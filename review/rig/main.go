// Command rig plays one case of the review: it starts the project's programs and the stand-ins, makes the trouble
// unless TROUBLE=0, and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		giveUp("usage: rig CASE RECORD")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; exit(2) }()
	time.AfterFunc(110*time.Second, func() { giveUp("it took longer than 110 s") })
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecorder(os.Args[2])
	switch os.Args[1] {
	case "transactions":
		transactions(rec, trouble)
	case "chaos":
		chaos(rec, trouble)
	case "sites":
		sites(rec, trouble)
	case "settings":
		settings(rec, trouble)
	case "drain":
		drain(rec, trouble)
	case "order":
		order(rec, trouble)
	default:
		giveUp("unknown case %q", os.Args[1])
	}
}
