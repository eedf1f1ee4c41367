// Command gateway is a front end: it takes requests of clients, has the policy
// module decide where each runs, and relays the answers.
//
// Without arguments it serves the platform's protocol as its configuration says
// ($LB_CONFIG); with --postgres, the PostgreSQL wire protocol as a deploy file says.
// HUP has the file read again, USR1 prints the counters; TERM and INT begin a planned
// stop. Other commands check files and show what is known of statements.
package main

import (
	"errors"
	"fmt"
	"os"

	"gannetspur/internal/config"
	"gannetspur/internal/gateway"
	"gannetspur/internal/logging"

	"github.com/alecthomas/kong"
)

// cli is the grammar of the command line.
type cli struct {
	LogFormat string `enum:"auto,json,text" default:"auto" help:"How events are logged: ${enum}; auto is text on a terminal, else JSON."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"From which level on events are logged: ${enum}."`

	Serve      serveCommand      `cmd:"" default:"withargs" help:"Serve. This is what ringwood does without a command."`
	Upgrade    upgradeCommand    `cmd:"" help:"Have a new version take over from a gateway that serves, without a request lost."`
	Status     statusCommand     `cmd:"" help:"Show how a gateway that serves stands."`
	Site       siteCommand       `cmd:"" help:"How other sites stand, and draining."`
	Members    membersCommand    `cmd:"" help:"Show which other front ends serve, as one of them holds."`
	Check      checkCommand      `cmd:"" help:"Read settings and deploy files and name every fault in them."`
	Shapes     shapesCommand     `cmd:"" help:"What is known of the shapes of statements."`
	Users      usersCommand      `cmd:"" help:"Users of the PostgreSQL front."`
	Completion completionCommand `cmd:"" help:"Print a script that completes commands and flags in a shell."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

type serveCommand struct {
	Config   string `env:"LB_CONFIG" placeholder:"FILE" help:"The platform's configuration, as JSON."`
	Postgres string `placeholder:"FILE" help:"Serve the PostgreSQL wire protocol as this deploy file says, in place of the platform's."`
	Shapes   string `placeholder:"FILE" help:"Estimate by the shapes of statements as this file says; of the platform's front. The PostgreSQL front has [shapes] in its deploy file."`
	Upgrade  string `placeholder:"FILE" help:"Open a socket for operators and let new versions take over, as this file says."`
	Sites    string `placeholder:"FILE" help:"Work with gateways at other sites as this file says."`
	Fleet    string `placeholder:"FILE" help:"Be a member among other front ends as this file says."`
}

func (c *serveCommand) Run(all *cli) error {
	log, err := logging.New(os.Stderr, logging.Options{Format: all.LogFormat, Level: all.LogLevel})
	if err != nil {
		return err
	}
	if err := gateway.Run(gateway.Files{Config: c.Config, Postgres: c.Postgres, Shapes: c.Shapes, Upgrade: c.Upgrade, Sites: c.Sites, Fleet: c.Fleet}, log); err != nil {
		for _, f := range config.FaultsOf(err) {
			log.Error("cannot serve", "file", f.File, "line", f.Line, "field", f.Field, "error", f.Want)
		}
		return errTold
	}
	return nil
}

// errTold is an error that has been told already.
var errTold = errors.New("told")

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("ringwood " + gateway.BuildName())
	return nil
}

// oldFlags are flags of the time before there were commands; they went by one dash.
var oldFlags = map[string]string{"-config": "--config", "-postgres": "--postgres"}

func main() {
	args := make([]string, len(os.Args)-1)
	for i, a := range os.Args[1:] {
		if new, ok := oldFlags[a]; ok {
			a = new
		}
		args[i] = a
	}
	var c cli
	parser, err := kong.New(&c, kong.Name("ringwood"), kong.UsageOnError(),
		kong.Description("A gateway between clients and query engines. It serves as $LB_CONFIG, --config or --postgres says."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "ringwood:", err)
		os.Exit(1)
	}
	ctx, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	if err := ctx.Run(&c, parser); err != nil {
		if !errors.Is(err, errTold) {
			fmt.Fprintln(os.Stderr, "ringwood:", err)
		}
		os.Exit(1)
	}
}
