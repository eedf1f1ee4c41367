// Command testbed generates traffic with known costs, runs experiments on the gateway and on
// its parts, and starts a gateway with emulated surroundings for trials. A gateway in service
// doesn't need it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type cli struct {
	Traffic  trafficCommand  `cmd:"" help:"Recorded traffic: make it, look at it, sum it up." name:"traffic"`
	Shapes   shapesCommand   `cmd:"" help:"Evaluate the classifier of statements, and flood its cache." name:"shapes"`
	Run      runCommand      `cmd:"" help:"Play an experiment, and keep its table, figures and chart." name:"run"`
	Compare  compareCommand  `cmd:"" help:"Set the figures of two runs of an experiment side by side." name:"compare"`
	Replace  replaceCommand  `cmd:"" help:"Hold a socket as the platform does, and replace the front end at it under calls." name:"replace"`
	Conform  conformCommand  `cmd:"" help:"Try a PostgreSQL front against the protocol, message by message." name:"conform"`
	Keys     keysCommand     `cmd:"" help:"Make keys for trials with several sites." name:"keys"`
	Sitelink sitelinkCommand `cmd:"" help:"Measure the link between sites against a bare relay." name:"sitelink"`
	Try      tryCommand      `cmd:"" help:"Start emulated engines, a bus, a Consul stand-in and both fronts on loopback, until Ctrl-C." name:"try"`

	Scripted scriptedCommand `cmd:"" hidden:"" help:"Act as a process that was started to take over." name:"scripted"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("testbed"), kong.UsageOnError(),
		kong.Description("The testbed of ringwood: traffic, models and measurements on this machine's loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(1)
	}
}
