// Command testbed generates traffic with known costs, runs experiments on the gateway and its
// components, and starts a gateway with emulated engines and services to try it out. A gateway in
// service does not need it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli lists the commands of the program.
type cli struct {
	Traffic  trafficCommand  `cmd:"" help:"Generate, print and summarise recorded traffic." name:"traffic"`
	Shapes   shapesCommand   `cmd:"" help:"Measure the statement classifier: its accuracy, its cache under a flood of new shapes, and its CPU cost." name:"shapes"`
	Run      runCommand      `cmd:"" help:"Run an experiment file, print its table, and optionally write table, figures and chart." name:"run"`
	Compare  compareCommand  `cmd:"" help:"Compare the figures of two runs of an experiment." name:"compare"`
	Replace  replaceCommand  `cmd:"" help:"Hold a listening socket as the platform does, and replace the front end behind it while clients send calls." name:"replace"`
	Conform  conformCommand  `cmd:"" help:"Test a PostgreSQL front end against the wire protocol, message by message." name:"conform"`
	Keys     keysCommand     `cmd:"" help:"Issue test keys and certificates for gateways of several sites." name:"keys"`
	Sitelink sitelinkCommand `cmd:"" help:"Measure throughput and latency of the link between sites, compared with a plain TCP relay." name:"sitelink"`
	Pressure pressureCommand `cmd:"" help:"Measure what usual clients notice, and how much memory the gateway takes, beside clients that misbehave." name:"pressure"`
	Try      tryCommand      `cmd:"" help:"Start emulated engines, an event bus, a Consul substitute and both front ends on loopback, until Ctrl-C." name:"try"`

	Scripted scriptedCommand `cmd:"" hidden:"" help:"Act as a faulty successor process in an upgrade experiment." name:"scripted"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("testbed"), kong.UsageOnError(),
		kong.Description("The testbed of ringwood: traffic generation, simulations and measurements on this machine's loopback interface."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(1)
	}
}
